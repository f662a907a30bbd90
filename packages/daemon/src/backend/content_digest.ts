import * as crypto from "node:crypto";
import type * as protocol from "@ebonypath/protocol";

/** Length of a digest, in characters of base64url: 96 bits. */
const DIGEST_LENGTH = 16;

/**
 * Names the content of an announcement: everything but the counts of requests
 * and the sequence, which change without news.
 *
 * @example
 * ```ts
 * contentDigest(before) === contentDigest({ ...before, running: 3 }); // true
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
