/**
 * Bearer tokens, digests and comparisons that leak no timing.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as crypto from "node:crypto";

/** Random bytes that are drawn at once for many identifiers. */
const POOL_BYTES = 4_096;

const pool = Buffer.alloc(POOL_BYTES);
let unusedBytes = 0;

const BEARER = /^Bearer +([\x21-\x7e]{1,512})$/i;

/**
 * Returns the token of an `Authorization: Bearer` header, or null.
 *
 * @example
 * ```ts
 * bearerToken("Bearer abc"); // "abc"
 * ```
 */
export function bearerToken(header: string | undefined): string | null {
  if (header === undefined) return null;
  return BEARER.exec(header)?.[1] ?? null;
}

/**
 * SHA-256 of a text, in hexadecimal.
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
 * SHA-256 of bytes, in hexadecimal.
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
 * Compares two secrets in a time that does not depend on where they differ.
 *
 * @example
 * ```ts
 * equalSecrets("abc", "abc"); // true
 * ```
 */
export function equalSecrets(left: string, right: string): boolean {
  const one = crypto.createHash("sha256").update(left).digest();
  const other = crypto.createHash("sha256").update(right).digest();
  return crypto.timingSafeEqual(one, other);
}

/**
 * A fresh random identifier of `bytes` bytes, in hexadecimal.
 *
 * @throws {RangeError} more than 4,096 bytes
 *
 * @example
 * ```ts
 * randomId(16).length; // 32
 * ```
 */
export function randomId(bytes: number): string {
  if (bytes > POOL_BYTES) throw new RangeError(`${bytes} bytes are too many`);
  if (bytes > unusedBytes) {
    crypto.randomFillSync(pool);
    unusedBytes = POOL_BYTES;
  }
  const end = unusedBytes;
  unusedBytes -= bytes;
  return pool.toString("hex", unusedBytes, end);
}
