/**
 * When a holder reports one share, and which grant answers its report.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import {
  EXCHANGE_TIMEOUT_MS,
  SHARE_RENEWAL_MS,
  URGENT_RENEWAL_MS,
} from "./types.ts";

/** How soon the leader should hear of a share. */
export type Urgency =
  /** Something is wanted that the leader does not know yet. */
  | "at-once"
  /** Requests wait, or something given back is not acknowledged. */
  | "soon"
  | "renewal";

/**
 * Whether a grant may be applied to the share in force: it starts a new share,
 * or it continues the very grant that the share rests on.
 */
export function continues(
  grant: { readonly continues?: protocol.limits.GrantId | undefined },
  inForce: protocol.limits.GrantId | undefined,
): boolean {
  const base = grant.continues;
  return base === undefined ||
    (inForce !== undefined && inForce.term === base.term &&
      inForce.exchange === base.exchange);
}

/** The outstanding report of one share. */
export class Renewal {
  #outstanding: number | undefined;
  #reportedAt = -Infinity;

  /** Notes that the share is reported in the exchange with this number. */
  begin(exchange: number, now: number): void {
    this.#outstanding = exchange;
    this.#reportedAt = now;
  }

  /**
   * Ends the outstanding exchange and returns when its report was made, or
   * returns nothing if `exchange` is not the latest one or is answered already.
   */
  end(exchange: number): number | undefined {
    if (this.#outstanding !== exchange) {
      return undefined;
    }
    this.#outstanding = undefined;
    return this.#reportedAt;
  }

  /** Whether an answer may still come. */
  isOutstanding(now: number): boolean {
    return this.#outstanding !== undefined &&
      now < this.#reportedAt + EXCHANGE_TIMEOUT_MS;
  }

  /** When the share is to be reported next. */
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
