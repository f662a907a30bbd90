import { expect } from "chai";
import { Buffer } from "node:buffer";
import * as security from "../../src/security/mod.ts";

/** SHA-256 of `abc`, from FIPS 180-2. */
const DIGEST =
  "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

describe("security", () => {
  it("digests texts and bytes alike", () => {
    expect(security.digest("abc")).to.equal(DIGEST);
    expect(security.digestBytes(Buffer.from("abc"))).to.equal(DIGEST);
  });

  it("gives identifiers of the length that was asked for", () => {
    for (const bytes of [1, 12, 16, 4_096]) {
      expect(security.randomId(bytes)).to.match(/^[0-9a-f]+$/)
        .and.have.length(2 * bytes);
    }
    expect(() => security.randomId(4_097)).to.throw(RangeError);
  });

  it("never gives an identifier twice", () => {
    const ids = Array.from({ length: 10_000 }, () => security.randomId(12));
    expect(new Set(ids).size).to.equal(ids.length);
  });

  it("uses no random byte in two identifiers", () => {
    // Parts of four bytes of 12,000 identifiers: by chance alone one pair in
    // four billion is alike, so a second use of the drawn bytes would show.
    const parts = Array.from({ length: 12_000 }, () => security.randomId(12))
      .flatMap((id) => [id.slice(0, 8), id.slice(8, 16), id.slice(16)]);
    const alike = parts.length - new Set(parts).size;
    expect(alike).to.be.below(20);
  });
});
