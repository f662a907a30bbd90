import * as util from "node:util";
import type * as protocol from "@ebonypath/protocol";

/**
 * Whether an announcement changes what placement can do, so that planning
 * should not wait for the next tick. Counts of requests change all the time
 * and are none of that.
 */
export function isNews(
  known: protocol.backend.Announcement | undefined,
  next: protocol.backend.Announcement,
): boolean {
  if (known === undefined) return true;
  return known.incarnation !== next.incarnation ||
    known.leaving !== next.leaving ||
    known.concurrency !== next.concurrency ||
    known.memoryBytes !== next.memoryBytes ||
    !util.isDeepStrictEqual(known.loaded, next.loaded) ||
    !util.isDeepStrictEqual(known.services, next.services);
}
