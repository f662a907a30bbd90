import { expect } from "chai";
import * as errors from "../../src/errors/mod.ts";

function responseFor(
  definition: errors.ProblemDefinition,
  options: errors.RefusalOptions = {},
): errors.ProblemResponse {
  const refusal = new errors.Refusal(definition, "for a réason", options);
  return errors.problemResponse(refusal, { requestId: "r1" });
}

describe("problem responses", () => {
  it("contain the outcome, the request ID and the length in bytes", () => {
    const { status, headers, body } = responseFor(errors.NO_CAPACITY);
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

  const delays = [
    { seconds: 0, header: "1" },
    { seconds: 0.2, header: "1" },
    { seconds: 2.01, header: "3" },
    { seconds: undefined, header: undefined },
  ];
  for (const { seconds, header } of delays) {
    it(`send retry-after ${header} for a delay of ${seconds} seconds`, () => {
      const { headers } = responseFor(
        errors.NO_CAPACITY,
        seconds === undefined ? {} : { retryAfterSeconds: seconds },
      );
      expect(headers["retry-after"]).to.equal(header);
    });
  }

  it("request credentials if the key is refused", () => {
    const { headers } = responseFor(errors.KEY_REFUSED);
    expect(headers["www-authenticate"]).to.equal("Bearer");
    expect(responseFor(errors.NO_CAPACITY).headers)
      .not.to.have.property("www-authenticate");
  });

  it("contain extension members", () => {
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
