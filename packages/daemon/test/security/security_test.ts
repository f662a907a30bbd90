import { expect } from "chai";
import { Buffer } from "node:buffer";
import * as security from "../../src/security/mod.ts";

/** SHA-256 digest of `abc`, from FIPS 180-2. */
const DIGEST =
  "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

describe("security", () => {
  it("computes the same digest for text and bytes", () => {
    expect(security.digest("abc")).to.equal(DIGEST);
    expect(security.digestBytes(Buffer.from("abc"))).to.equal(DIGEST);
  });

  it("returns identifiers of the requested length", () => {
    for (const bytes of [1, 12, 16, 4_096]) {
      expect(security.randomId(bytes)).to.match(/^[0-9a-f]+$/)
        .and.have.length(2 * bytes);
    }
    expect(() => security.randomId(4_097)).to.throw(RangeError);
  });

  it("does not repeat identifiers", () => {
    const ids = Array.from({ length: 10_000 }, () => security.randomId(12));
    expect(new Set(ids).size).to.equal(ids.length);
  });

  it("does not reuse random bytes between identifiers", () => {
    // Splits 12,000 identifiers into parts of four bytes. By chance only one
    // pair of parts in four billion is equal, so reused bytes are noticeable.
    const parts = Array.from({ length: 12_000 }, () => security.randomId(12))
      .flatMap((id) => [id.slice(0, 8), id.slice(8, 16), id.slice(16)]);
    const duplicates = parts.length - new Set(parts).size;
    expect(duplicates).to.be.below(20);
  });
});
