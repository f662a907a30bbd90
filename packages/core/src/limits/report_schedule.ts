/**
 * Schedules the reports of one share and matches answers to reports.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import {
  EXCHANGE_TIMEOUT_MS,
  SHARE_RENEWAL_MS,
  URGENT_RENEWAL_MS,
} from "./types.ts";

/** How soon the leader should learn about a share. */
export type Urgency =
  /** There is demand that the leader doesn't know about yet. */
  | "at-once"
  /** Requests are waiting, or returned capacity is not acknowledged yet. */
  | "soon"
  | "renewal";

/**
 * Whether a grant may be applied to the current share: it either starts a new
 * share or continues exactly the grant that the current share is based on.
 */
export function canApply(
  grant: { readonly continues?: protocol.limits.GrantId | undefined },
  current: protocol.limits.GrantId | undefined,
): boolean {
  const base = grant.continues;
  return base === undefined ||
    (current !== undefined && current.term === base.term &&
      current.exchange === base.exchange);
}

/** Tracks the latest report of one share and when the next one is due. */
export class ReportSchedule {
  #outstanding: number | undefined;
  #reportedAt = -Infinity;

  /** Records that the share is reported in the exchange with this number. */
  begin(exchange: number, now: number): void {
    this.#outstanding = exchange;
    this.#reportedAt = now;
  }

  /**
   * Completes the outstanding exchange and returns the time of its report.
   * Returns undefined if `exchange` is not the latest one or is already
   * answered.
   */
  end(exchange: number): number | undefined {
    if (this.#outstanding !== exchange) {
      return undefined;
    }
    this.#outstanding = undefined;
    return this.#reportedAt;
  }

  /** Whether an answer may still arrive. */
  isOutstanding(now: number): boolean {
    return this.#outstanding !== undefined &&
      now < this.#reportedAt + EXCHANGE_TIMEOUT_MS;
  }

  /** Returns when the share should be reported next. */
  dueAt(urgency: Urgency): number {
    if (this.#outstanding !== undefined) {
      return this.#reportedAt + EXCHANGE_TIMEOUT_MS;
    }
    switch (urgency) {
      case "at-once":
        return this.#reportedAt;
      case "soon":
        return this.#reportedAt + URGENT_RENEWAL_MS;
      case "renewal":
        return this.#reportedAt + SHARE_RENEWAL_MS;
    }
  }
}
