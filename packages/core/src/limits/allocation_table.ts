/**
 * The leader's record of which holder is allocated which part of one pool.
 *
 * For each holder the leader keeps the share from the holder's latest report
 * and at most one newer grant. A holder ignores a grant once it has sent a
 * later report, so its next report shows whether the grant arrived. Until then,
 * the larger of the two counts as allocated, and a reduction frees nothing
 * before it is acknowledged or expires.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import { SHARE_LIFETIME_MS } from "./types.ts";

/**
 * Maximum number of holders per pool. Reports of further holders are ignored.
 */
export const MAX_HOLDERS_PER_POOL = 1024;

/** Size of a part of a pool. */
export type ShareSize = {
  /** Tokens or slots. */
  readonly capacity: number;
  /** Refill rate, in tokens per second; zero for slots. */
  readonly rate: number;
};

/** A share that a holder has reported or the leader has granted. */
export type Share = {
  readonly id: protocol.limits.GrantId;
  readonly size: ShareSize;
};

/** A grant that the holder has not acknowledged yet. */
export type PendingGrant = Share & {
  /** Tokens that are transferred to the holder with the grant. */
  readonly level: number;
};

/** The allocation of one holder. */
export type HolderAllocation = {
  /** Number of the holder's latest report. */
  readonly exchange: number;
  readonly expiresAt: number;
  /** The share in the holder's latest report, if it is live. */
  readonly confirmed?: Share;
  /** The grant that answered the latest report. */
  readonly pending?: PendingGrant;
  /** Capacity in use although the holder has no live share. */
  readonly unleased: number;
  /** The size that was adopted from an earlier leader's grant. */
  readonly adopted: ShareSize;
};

/** How a report relates to the recorded allocation. */
export type ReportClassification =
  /**
   * The report is old or repeated, or the pool has too many holders; it gets no
   * answer.
   */
  | { readonly kind: "ignored" }
  /** The holder has no live share. */
  | { readonly kind: "unleased" }
  /** The share was granted by an earlier leader and is now recorded here. */
  | { readonly kind: "adopted"; readonly share: Share }
  /**
   * The holder continues its share. `undelivered` tokens of the latest grant
   * never reached it.
   */
  | {
    readonly kind: "continued";
    readonly share: Share;
    readonly undelivered: number;
  };

const NO_SHARE: ShareSize = { capacity: 0, rate: 0 };

/** The allocations of one pool, as the current leader knows them. */
export class AllocationTable {
  readonly #holders = new Map<string, HolderAllocation>();
  readonly #adoptionEndsAt: number;
  /** Upper bound of what earlier leaders have granted in total. */
  #maxInherited: ShareSize;
  #isAdopting = true;

  /**
   * @param maxInherited Upper bound of what earlier leaders have granted in
   *   total.
   * @param adoptionEndsAt Time at which the last share of an earlier leader has
   *   expired.
   */
  constructor(maxInherited: ShareSize, adoptionEndsAt: number) {
    this.#maxInherited = maxInherited;
    this.#adoptionEndsAt = adoptionEndsAt;
  }

  /** Holders that have or may have a share. */
  get holders(): ReadonlyMap<string, HolderAllocation> {
    return this.#holders;
  }

  /**
   * Part of the pool that counts as allocated to holders that have reported to
   * this leader.
   */
  allocatedToKnownHolders(): ShareSize {
    return [...this.#holders.values()].map(allocatedTo).reduce(sum, NO_SHARE);
  }

  /**
   * Part of the pool that counts as allocated, including shares of earlier
   * leaders that no holder has reported yet.
   */
  allocated(): ShareSize {
    return sum(this.allocatedToKnownHolders(), this.#unreported());
  }

  /** Whether shares of earlier leaders may still be live. */
  get isAdopting(): boolean {
    return this.#isAdopting;
  }

  /**
   * Takes a new limit into account: earlier leaders may have granted up to it.
   */
  observeLimit(limit: ShareSize): void {
    if (this.#isAdopting) {
      this.#maxInherited = {
        capacity: Math.max(this.#maxInherited.capacity, limit.capacity),
        rate: Math.max(this.#maxInherited.rate, limit.rate),
      };
    }
  }

  /** Removes and returns the allocations that have expired. */
  removeExpired(now: number): Map<string, HolderAllocation> {
    const expired = new Map<string, HolderAllocation>();
    for (const [holder, allocation] of this.#holders) {
      if (allocation.expiresAt <= now) {
        expired.set(holder, allocation);
        this.#holders.delete(holder);
      }
    }
    return expired;
  }

  /**
   * Ends the adoption of earlier leaders' shares once the last of them has
   * expired. Returns the part of the pool that no holder reported.
   */
  endAdoption(now: number): ShareSize {
    if (now < this.#adoptionEndsAt) {
      return NO_SHARE;
    }
    const unreported = this.#unreported();
    this.#isAdopting = false;
    return unreported;
  }

  /**
   * Records a report. The size of `share` is the holder's own claim; it is
   * accepted up to what the leader has recorded as allocated to that holder.
   * The size of an adopted share is accepted as reported.
   *
   * @param unleased Capacity in use even if the share is not live.
   */
  recordReport(
    holder: string,
    exchange: number,
    share: Share | undefined,
    unleased: number,
    now: number,
  ): ReportClassification {
    const known = this.#holders.get(holder);
    if (known !== undefined && exchange <= known.exchange) {
      return { kind: "ignored" };
    }
    if (known === undefined && this.#holders.size >= MAX_HOLDERS_PER_POOL) {
      return { kind: "ignored" };
    }
    const classification = classifyReport(known, share, this.#isAdopting);
    const adopted = adoptedAfter(known, classification);
    const isLive = classification.kind === "adopted" ||
      classification.kind === "continued";
    this.#holders.set(holder, {
      exchange,
      expiresAt: now + SHARE_LIFETIME_MS,
      unleased: isLive ? 0 : unleased,
      adopted,
      ...(isLive ? { confirmed: classification.share } : {}),
    });
    return classification;
  }

  /** Records the grant that answers the latest report of `holder`. */
  recordGrant(holder: string, grant: PendingGrant): void {
    const allocation = this.#holders.get(holder);
    if (allocation !== undefined) {
      this.#holders.set(holder, { ...allocation, pending: grant });
    }
  }

  /** What holders may have from earlier leaders without having reported it. */
  #unreported(): ShareSize {
    if (!this.#isAdopting) {
      return NO_SHARE;
    }
    const adopted = [...this.#holders.values()].map((holder) => holder.adopted)
      .reduce(sum, NO_SHARE);
    return {
      capacity: Math.max(0, this.#maxInherited.capacity - adopted.capacity),
      rate: Math.max(0, this.#maxInherited.rate - adopted.rate),
    };
  }
}

/**
 * Returns the size that counts as adopted after a report. If the holder doesn't
 * continue an adopted share, the share was already outdated when it was adopted
 * and another holder may have it by now. It then counts as unreported again.
 */
function adoptedAfter(
  known: HolderAllocation | undefined,
  classification: ReportClassification,
): ShareSize {
  switch (classification.kind) {
    case "adopted":
      return classification.share.size;
    case "continued":
      return known?.adopted ?? NO_SHARE;
    case "ignored":
    case "unleased":
      return NO_SHARE;
  }
}

function classifyReport(
  known: HolderAllocation | undefined,
  share: Share | undefined,
  isAdopting: boolean,
): ReportClassification {
  if (share === undefined) {
    return { kind: "unleased" };
  }
  const pending = known?.pending;
  if (pending !== undefined && isSameGrant(pending.id, share.id)) {
    return {
      kind: "continued",
      share: cappedByAllocation(share, known!),
      undelivered: 0,
    };
  }
  if (
    known?.confirmed !== undefined && isSameGrant(known.confirmed.id, share.id)
  ) {
    const undelivered = pending?.level ?? 0;
    return {
      kind: "continued",
      share: cappedByAllocation(share, known),
      undelivered,
    };
  }
  return isAdopting ? { kind: "adopted", share } : { kind: "unleased" };
}

/** Returns what counts as allocated to one holder. */
export function allocatedTo(allocation: HolderAllocation): ShareSize {
  const confirmed = allocation.confirmed?.size ??
    { capacity: allocation.unleased, rate: 0 };
  const pending = allocation.pending;
  if (pending === undefined) {
    return confirmed;
  }
  return {
    capacity: Math.max(
      confirmed.capacity + pending.level,
      pending.size.capacity,
    ),
    rate: Math.max(confirmed.rate, pending.size.rate),
  };
}

function cappedByAllocation(share: Share, known: HolderAllocation): Share {
  const allocated = allocatedTo(known);
  return {
    id: share.id,
    size: {
      capacity: Math.min(share.size.capacity, allocated.capacity),
      rate: Math.min(share.size.rate, allocated.rate),
    },
  };
}

function isSameGrant(
  a: protocol.limits.GrantId,
  b: protocol.limits.GrantId,
): boolean {
  return a.term === b.term && a.exchange === b.exchange;
}

function sum(a: ShareSize, b: ShareSize): ShareSize {
  return { capacity: a.capacity + b.capacity, rate: a.rate + b.rate };
}
