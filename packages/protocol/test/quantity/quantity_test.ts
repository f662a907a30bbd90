import { expect } from "chai";
import * as fc from "fast-check";
import * as quantity from "../../src/quantity/mod.ts";

const CASES: [bytes: number, text: string][] = [
  [0, "0 B"],
  [999, "999 B"],
  [8e9, "8 GB"],
  [1.5e9, "1500 MB"],
  [2 ** 30, "1073741824 B"],
];

describe("quantities", () => {
  for (const [bytes, text] of CASES) {
    it(`renders ${bytes} bytes as ${text}`, () => {
      expect(quantity.renderBytes(bytes)).to.equal(text);
    });
  }

  it("reads what it renders", () => {
    fc.assert(
      fc.property(fc.nat(2 ** 40), (value) => {
        const bytes = quantity.parseBytes(quantity.renderBytes(value));
        const time = quantity.parseDurationMs(quantity.renderDurationMs(value));
        return bytes === value && time === value;
      }),
      { seed: 7 },
    );
  });
});
