import { expect } from "chai";
import * as requestAttributes from "../../src/gateway/entry/request_attributes.ts";

const CONTENT: requestAttributes.SharedContent = {
  service: "pool",
  model: "m",
  adapter: "a3",
  promptParts: ["5c", "91"],
};

function namesOf(overrides: Partial<requestAttributes.SharedContent>) {
  return requestAttributes.listAttributes({ ...CONTENT, ...overrides })
    .map(({ kind, name }) => `${kind} ${name}`);
}

function fingerprintsOf(overrides: Partial<requestAttributes.SharedContent>) {
  return requestAttributes.listAttributes({ ...CONTENT, ...overrides })
    .map(({ fingerprint }) => fingerprint);
}

describe("the attributes of a request", () => {
  it("are listed from narrow to wide, combinations last", () => {
    expect(namesOf({})).to.deep.equal([
      "prompt-part 91",
      "prompt-part 5c",
      "adapter m/a3",
      "model m",
      "prompt-prefix m 5c,91",
    ]);
  });

  it("are none for a request that shares nothing", () => {
    const content = { model: undefined, adapter: undefined, promptParts: [] };
    expect(namesOf(content)).to.deep.equal([]);
    expect(namesOf({ ...content, promptParts: [""] })).to.deep.equal([]);
  });

  it("are those of one service, whatever else the request holds", () => {
    const [part] = fingerprintsOf({});
    expect(fingerprintsOf({ model: "n", promptParts: ["aa", "91"] })[0])
      .to.equal(part);
    expect(fingerprintsOf({ service: "desk" })[0]).to.not.equal(part);
  });

  it("are bounded in number and in length", () => {
    const promptParts = Array.from(
      { length: 5_000 },
      (_, index) => `${index}`.padStart(300, "x"),
    );
    const attributes = requestAttributes.listAttributes({
      ...CONTENT,
      promptParts,
    });
    expect(attributes.length).to.be.at.most(32);
    for (const { name } of attributes) expect(name.length).to.be.at.most(256);
  });
});
