import * as crypto from "node:crypto";
import type * as protocol from "@ebonypath/protocol";

/** Length of a digest in base64url characters; 16 characters hold 96 bits. */
const DIGEST_LENGTH = 16;

/**
 * Computes a digest of an announcement without its request counts and its
 * sequence, which change although the rest of the announcement does not.
 *
 * @example
 * ```ts
 * contentDigest(first) === contentDigest({ ...first, running: 3 }); // true
 * ```
 */
export function contentDigest(
  announcement: protocol.backend.Announcement,
): string {
  const content = {
    ...announcement,
    running: undefined,
    queued: undefined,
    sequence: undefined,
  };
  return crypto.createHash("sha256")
    .update(JSON.stringify(content))
    .digest("base64url")
    .slice(0, DIGEST_LENGTH);
}
