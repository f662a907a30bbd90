import { expect } from "chai";
import * as errors from "../../src/errors/mod.ts";

function messageOf(
  definition: errors.ProblemDefinition,
  options: errors.RefusalOptions = {},
): errors.ProblemResponse {
  const refusal = new errors.Refusal(definition, "for a réason", options);
  return errors.problemResponse(refusal, { requestId: "r1" });
}

describe("problem messages", () => {
  it("say the outcome, the request and the length in bytes", () => {
    const { status, headers, body } = messageOf(errors.NO_CAPACITY);
    expect(status).to.equal(503);
    expect(headers).to.include({
      "content-type": "application/problem+json",
      "content-length": String(body.length),
      "ebonypath-outcome": "not-run",
      "ebonypath-request-id": "r1",
    });
    expect(JSON.parse(body.toString())).to.include({
      detail: "for a réason",
      outcome: "not-run",
      requestId: "r1",
    });
  });

  const waits = [
    { seconds: 0, header: "1" },
    { seconds: 0.2, header: "1" },
    { seconds: 2.01, header: "3" },
    { seconds: undefined, header: undefined },
  ];
  for (const { seconds, header } of waits) {
    it(`ask for ${header} whole seconds where ${seconds} are left`, () => {
      const { headers } = messageOf(
        errors.NO_CAPACITY,
        seconds === undefined ? {} : { retryAfterSeconds: seconds },
      );
      expect(headers["retry-after"]).to.equal(header);
    });
  }

  it("ask for credentials where those are refused", () => {
    const { headers } = messageOf(errors.KEY_REFUSED);
    expect(headers["www-authenticate"]).to.equal("Bearer");
    expect(messageOf(errors.NO_CAPACITY).headers)
      .not.to.have.property("www-authenticate");
  });

  it("carry further members", () => {
    const refusal = new errors.Refusal(errors.KEY_REFUSED, "no key");
    const members = errors.callerExtensionMembers(refusal, "r2");
    const { body } = errors.problemResponse(refusal, {
      requestId: "r2",
      members,
    });
    expect(JSON.parse(body.toString()).error).to.deep.equal(
      refusal.toProblem("r2"),
    );
  });
});
