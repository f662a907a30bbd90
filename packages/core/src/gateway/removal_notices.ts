import type { gateway } from "@ebonypath/protocol";
import * as suspicion from "../suspicion/mod.ts";

/** Most servers on record; the least recent ones are dropped. */
const MAX_SERVERS = 20_000;

/** When a start of a server will be gone. */
type Notice = {
  readonly born: number;
  /** Monotonic time, in milliseconds. */
  endsAt: number;
};

/**
 * When servers will be gone that are removed at short notice. Reports of
 * different age tell different times for the same start of a server: a late one
 * seems to leave it more time than it has, so the earliest end stands.
 *
 * @example
 * ```ts
 * const notices = new RemovalNotices();
 * notices.record({ id: "s1", born: 7 }, 2_000, now);
 * notices.endsAt({ id: "s1", born: 7 }); // now + 2_000
 * ```
 */
export class RemovalNotices {
  readonly #notices = new Map<string, Notice>();

  /**
   * Records what a report leaves a start of a server.
   *
   * @param remainingMs time that remained when the report was made
   * @param reportedAt monotonic time of the report, or of its arrival
   * @returns whether the server ends earlier than was known
   */
  record(
    { born, id }: gateway.ServerStart,
    remainingMs: number,
    reportedAt: number,
  ): boolean {
    const known = this.#notices.get(id);
    if (known !== undefined && known.born > born) return false;
    const endsAt = reportedAt + remainingMs;
    if (known?.born === born && known.endsAt <= endsAt) return false;
    suspicion.setNewest(this.#notices, id, { born, endsAt }, MAX_SERVERS);
    return true;
  }

  /** When a start of a server will be gone; absent if nothing is known. */
  endsAt({ born, id }: gateway.ServerStart): number | undefined {
    const notice = this.#notices.get(id);
    return notice?.born === born ? notice.endsAt : undefined;
  }

  /** Whether a start of a server is gone by what was reported. */
  isOver(start: gateway.ServerStart, now: number): boolean {
    return now >= (this.endsAt(start) ?? Infinity);
  }
}

/** A request that a server runs which is to be removed. */
export type RunAtLeavingServer = {
  readonly startedAt: number;
  /** Longest usual run time of its route, in milliseconds; absent if unknown. */
  readonly longestRunMs: number | undefined;
  /** Whether another server may run it, or go on with it. */
  readonly isRetryable: boolean;
};

/**
 * Whether a request has to go on elsewhere when its server is gone, as far as
 * known: its model is needed on another server then.
 *
 * @example
 * ```ts
 * const run = { startedAt: 0, longestRunMs: 3_000, isRetryable: true };
 * needsSuccessor(run, 2_000); // true
 * ```
 */
export function needsSuccessor(
  { isRetryable, longestRunMs = Infinity, startedAt }: RunAtLeavingServer,
  endsAt: number,
): boolean {
  return isRetryable && startedAt + longestRunMs > endsAt;
}
