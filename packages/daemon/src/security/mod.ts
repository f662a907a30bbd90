/**
 * Bearer tokens, digests, random identifiers and constant-time comparison.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as crypto from "node:crypto";

/** Random bytes generated at once, to be used for many identifiers. */
const RANDOM_POOL_BYTES = 4_096;

const randomPool = Buffer.alloc(RANDOM_POOL_BYTES);
let unusedPoolBytes = 0;

const BEARER_HEADER = /^Bearer +([\x21-\x7e]{1,512})$/i;

/**
 * Returns the token of an `Authorization: Bearer` header, or null if the header
 * is missing or malformed.
 *
 * @example
 * ```ts
 * bearerToken("Bearer abc"); // "abc"
 * ```
 */
export function bearerToken(header: string | undefined): string | null {
  if (header === undefined) return null;
  return BEARER_HEADER.exec(header)?.[1] ?? null;
}

/**
 * Returns the SHA-256 digest of a text, in hexadecimal.
 *
 * @example
 * ```ts
 * digest("abc").length; // 64
 * ```
 */
export function digest(text: string): string {
  return crypto.hash("sha256", text, "hex");
}

/**
 * Returns the SHA-256 digest of bytes, in hexadecimal.
 *
 * @example
 * ```ts
 * digestBytes(Buffer.from("abc")).length; // 64
 * ```
 */
export function digestBytes(bytes: Uint8Array): string {
  return crypto.hash("sha256", bytes, "hex");
}

/**
 * Compares two secrets. The time taken does not depend on where they differ.
 *
 * @example
 * ```ts
 * equalSecrets("abc", "abc"); // true
 * ```
 */
export function equalSecrets(left: string, right: string): boolean {
  const leftDigest = crypto.createHash("sha256").update(left).digest();
  const rightDigest = crypto.createHash("sha256").update(right).digest();
  return crypto.timingSafeEqual(leftDigest, rightDigest);
}

/**
 * Returns a new random identifier of `bytes` bytes, in hexadecimal.
 *
 * @throws {RangeError} if `bytes` is greater than 4,096
 *
 * @example
 * ```ts
 * randomId(16).length; // 32
 * ```
 */
export function randomId(bytes: number): string {
  if (bytes > RANDOM_POOL_BYTES) {
    throw new RangeError(`${bytes} bytes are too many`);
  }
  if (bytes > unusedPoolBytes) {
    crypto.randomFillSync(randomPool);
    unusedPoolBytes = RANDOM_POOL_BYTES;
  }
  const end = unusedPoolBytes;
  unusedPoolBytes -= bytes;
  return randomPool.toString("hex", unusedPoolBytes, end);
}
