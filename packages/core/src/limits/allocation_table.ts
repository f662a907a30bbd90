/**
 * The leader's record of which holder may use which part of one pool.
 *
 * For each holder the leader knows the share that the holder last reported and
 * at most one newer offer. Whether the offer arrived shows in the holder's next
 * report, since a holder ignores a grant once it has sent a later report. Until
 * then the larger of the two counts, so a reduction frees nothing before it is
 * acknowledged or expired.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import { SHARE_LIFETIME_MS } from "./types.ts";

/** Most holders that one pool keeps; reports of further ones are not answered. */
export const MAX_HOLDERS_PER_POOL = 1024;

/** A part of a pool. */
export type ShareSize = {
  /** Tokens, or slots. */
  readonly capacity: number;
  /** Tokens per second; zero for slots. */
  readonly rate: number;
};

/** A share that a holder reports, or one that the leader offers. */
export type Share = {
  readonly id: protocol.limits.GrantId;
  readonly amount: ShareSize;
};

/** A grant that may not have reached its holder. */
export type PendingGrant = Share & {
  /** Tokens that move to the holder with the grant. */
  readonly level: number;
};

/** What the ledger keeps about one holder. */
export type HolderAllocation = {
  /** Number of the latest report. */
  readonly exchange: number;
  readonly expiresAt: number;
  readonly held?: Share;
  readonly offered?: PendingGrant;
  /** Capacity in use without a live share. */
  readonly unleased: number;
  /** The share as it was adopted from an earlier leader. */
  readonly adopted: ShareSize;
};

/** How a report relates to what the ledger knew. */
export type ReportClassification =
  /** An old or repeated report, or one holder too many: not to be answered. */
  | { readonly kind: "ignored" }
  /** The holder has no live share. */
  | { readonly kind: "unleased" }
  /** The share was granted by an earlier leader and now counts here. */
  | { readonly kind: "adopted"; readonly share: Share }
  /** The holder goes on with its share; `returned` tokens never reached it. */
  | {
    readonly kind: "continued";
    readonly share: Share;
    readonly returned: number;
  };

const NOTHING: ShareSize = { capacity: 0, rate: 0 };

/** Holders and their parts of one pool, as one leader knows them. */
export class AllocationTable {
  readonly #entries = new Map<string, HolderAllocation>();
  readonly #adoptsUntil: number;
  /** Most that earlier leaders can have granted in all. */
  #granted: ShareSize;
  #isAdopting = true;

  /**
   * @param granted Most that earlier leaders can have granted in all.
   * @param adoptsUntil When the last share of an earlier leader has expired.
   */
  constructor(granted: ShareSize, adoptsUntil: number) {
    this.#granted = granted;
    this.#adoptsUntil = adoptsUntil;
  }

  /** Holders that have or may have a share. */
  get entries(): ReadonlyMap<string, HolderAllocation> {
    return this.#entries;
  }

  /** Part of the pool that is taken as in use by holders known by name. */
  held(): ShareSize {
    return [...this.#entries.values()].map(allocatedTo).reduce(added, NOTHING);
  }

  /** Part of the pool that must be taken as in use. */
  counted(): ShareSize {
    return added(this.held(), this.#unknown());
  }

  /** Whether shares of earlier leaders may still be live. */
  get isAdopting(): boolean {
    return this.#isAdopting;
  }

  /** Takes in a limit; earlier leaders may have granted under it. */
  limitIs(limit: ShareSize): void {
    if (this.#isAdopting) {
      this.#granted = {
        capacity: Math.max(this.#granted.capacity, limit.capacity),
        rate: Math.max(this.#granted.rate, limit.rate),
      };
    }
  }

  /** Forgets expired shares and returns them. */
  expire(now: number): Map<string, HolderAllocation> {
    const expired = new Map<string, HolderAllocation>();
    for (const [holder, entry] of this.#entries) {
      if (entry.expiresAt <= now) {
        expired.set(holder, entry);
        this.#entries.delete(holder);
      }
    }
    return expired;
  }

  /**
   * Ends the time in which shares of earlier leaders are adopted, once the last
   * of them has expired. Returns the part that no holder reported.
   */
  closeAdoption(now: number): ShareSize {
    if (now < this.#adoptsUntil) {
      return NOTHING;
    }
    const unknown = this.#unknown();
    this.#isAdopting = false;
    return unknown;
  }

  /**
   * Records a report. The amount of `share` is the holder's word and is
   * believed as far as it does not exceed what the leader counts for it.
   *
   * @param unleased Capacity in use even if the share is not live.
   */
  receive(
    holder: string,
    exchange: number,
    share: Share | undefined,
    unleased: number,
    now: number,
  ): ReportClassification {
    const known = this.#entries.get(holder);
    if (known !== undefined && exchange <= known.exchange) {
      return { kind: "ignored" };
    }
    if (known === undefined && this.#entries.size >= MAX_HOLDERS_PER_POOL) {
      return { kind: "ignored" };
    }
    const receipt = classify(known, share, this.#isAdopting);
    const adopted = adoptedOf(known, receipt);
    const live = receipt.kind === "adopted" || receipt.kind === "continued";
    this.#entries.set(holder, {
      exchange,
      expiresAt: now + SHARE_LIFETIME_MS,
      unleased: live ? 0 : unleased,
      adopted,
      ...(live ? { held: receipt.share } : {}),
    });
    return receipt;
  }

  /** Records what the leader answers to the latest report of `holder`. */
  offer(holder: string, offer: PendingGrant): void {
    const entry = this.#entries.get(holder);
    if (entry !== undefined) {
      this.#entries.set(holder, { ...entry, offered: offer });
    }
  }

  /** What holders may have from earlier leaders without having reported it. */
  #unknown(): ShareSize {
    if (!this.#isAdopting) {
      return NOTHING;
    }
    const adopted = [...this.#entries.values()].map((entry) => entry.adopted)
      .reduce(added, NOTHING);
    return {
      capacity: Math.max(0, this.#granted.capacity - adopted.capacity),
      rate: Math.max(0, this.#granted.rate - adopted.rate),
    };
  }
}

/**
 * What counts as adopted after a report. A share that its holder does not go on
 * with was out of date when it was adopted, and another holder may have it by
 * now, so it is unknown again.
 */
function adoptedOf(
  known: HolderAllocation | undefined,
  receipt: ReportClassification,
): ShareSize {
  switch (receipt.kind) {
    case "adopted":
      return receipt.share.amount;
    case "continued":
      return known?.adopted ?? NOTHING;
    case "ignored":
    case "unleased":
      return NOTHING;
  }
}

function classify(
  known: HolderAllocation | undefined,
  share: Share | undefined,
  isAdopting: boolean,
): ReportClassification {
  if (share === undefined) {
    return { kind: "unleased" };
  }
  const offered = known?.offered;
  if (offered !== undefined && sameGrant(offered.id, share.id)) {
    return { kind: "continued", share: atMost(share, known!), returned: 0 };
  }
  if (known?.held !== undefined && sameGrant(known.held.id, share.id)) {
    const returned = offered?.level ?? 0;
    return { kind: "continued", share: atMost(share, known), returned };
  }
  return isAdopting ? { kind: "adopted", share } : { kind: "unleased" };
}

/** What the leader must count for one holder. */
export function allocatedTo(entry: HolderAllocation): ShareSize {
  const held = entry.held?.amount ?? { capacity: entry.unleased, rate: 0 };
  const offered = entry.offered;
  if (offered === undefined) {
    return held;
  }
  return {
    capacity: Math.max(held.capacity + offered.level, offered.amount.capacity),
    rate: Math.max(held.rate, offered.amount.rate),
  };
}

function atMost(share: Share, known: HolderAllocation): Share {
  const most = allocatedTo(known);
  return {
    id: share.id,
    amount: {
      capacity: Math.min(share.amount.capacity, most.capacity),
      rate: Math.min(share.amount.rate, most.rate),
    },
  };
}

function sameGrant(
  a: protocol.limits.GrantId,
  b: protocol.limits.GrantId,
): boolean {
  return a.term === b.term && a.exchange === b.exchange;
}

function added(a: ShareSize, b: ShareSize): ShareSize {
  return { capacity: a.capacity + b.capacity, rate: a.rate + b.rate };
}
