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
    it(`formats ${bytes} bytes as ${text}`, () => {
      expect(quantity.renderBytes(bytes)).to.equal(text);
    });
  }

  it("parses the text that it formats", () => {
    fc.assert(
      fc.property(fc.nat(2 ** 40), (value) => {
        const bytes = quantity.parseBytes(quantity.renderBytes(value));
        const durationMs = quantity.parseDurationMs(
          quantity.renderDurationMs(value),
        );
        return bytes === value && durationMs === value;
      }),
      { seed: 7 },
    );
  });
});
