import * as crypto from "node:crypto";
import type * as types from "./types.ts";

/** Value of `previous` in the first entry of an audit trail. */
export const GENESIS_DIGEST = "0".repeat(64);

/** One operator change, chained to the entry before by its digest. */
export interface AuditEntry {
  readonly index: number;
  readonly timeMs: number;
  readonly operator: string;
  readonly changeId: string;
  /** Kind of the command, such as `publish`. */
  readonly action: string;
  /** Identifies what was changed, such as a key id. */
  readonly subject: string;
  /** SHA-256 of the command. */
  readonly contentDigest: string;
  /** Digest of the entry before. */
  readonly previous: string;
  /** SHA-256 of all other members. */
  readonly digest: string;
}

/** Outcome of the verification of an audit trail. */
export type AuditVerification =
  | { readonly kind: "valid"; readonly entries: number; readonly last: string }
  | {
    readonly kind: "broken";
    readonly index: number;
    readonly reason: string;
  };

/** Computes the SHA-256 digest of a text, in hexadecimal. */
export function sha256Hex(text: string): string {
  return crypto.createHash("sha256").update(text).digest("hex");
}

function computeEntryDigest(entry: Omit<AuditEntry, "digest">): string {
  return sha256Hex(JSON.stringify([
    entry.previous,
    entry.index,
    entry.timeMs,
    entry.operator,
    entry.changeId,
    entry.action,
    entry.subject,
    entry.contentDigest,
  ]));
}

/**
 * Verifies that no entry of an audit trail was altered, removed or reordered.
 *
 * `previous` is the digest that the first entry must follow, if it is known
 * from an earlier verification. Without it the removal of the oldest entries
 * can't be detected.
 *
 * @example
 * ```ts
 * const verification = verifyAuditTrail(state.auditEntries(0, 1_000));
 * ```
 */
export function verifyAuditTrail(
  entries: readonly AuditEntry[],
  previous: string = entries[0]?.previous ?? GENESIS_DIGEST,
): AuditVerification {
  let last = previous;
  let lastIndex = -1;
  for (const entry of entries) {
    const reason = findChainFault(entry, last, lastIndex);
    if (reason !== undefined) {
      return { kind: "broken", index: entry.index, reason };
    }
    last = entry.digest;
    lastIndex = entry.index;
  }
  return { kind: "valid", entries: entries.length, last };
}

function findChainFault(
  entry: AuditEntry,
  previous: string,
  previousIndex: number,
): string | undefined {
  if (entry.index <= previousIndex) return "the entry is out of order";
  if (entry.previous !== previous) return "an entry before it is missing";
  if (entry.digest !== computeEntryDigest(entry)) {
    return "the entry was altered";
  }
  return undefined;
}

/** Bounded, hash-chained log of the newest operator changes. */
export class AuditTrail {
  readonly #limits: types.Limits;
  #entries: AuditEntry[];

  constructor(limits: types.Limits, savedEntries: readonly AuditEntry[] = []) {
    this.#limits = limits;
    this.#entries = [...savedEntries];
  }

  /** Appends an entry; drops the oldest one beyond the limit. */
  append(entry: Omit<AuditEntry, "digest" | "previous">): void {
    const previous = this.#entries.at(-1)?.digest ?? GENESIS_DIGEST;
    const chainedEntry = { ...entry, previous };
    this.#entries.push({
      ...chainedEntry,
      digest: computeEntryDigest(chainedEntry),
    });
    if (this.#entries.length > this.#limits.auditEntries) {
      this.#entries.shift();
    }
  }

  /**
   * Returns up to `limit` entries with an index above `after`, oldest first.
   */
  list(after: number, limit: number): AuditEntry[] {
    const start = this.#entries.findIndex((entry) => entry.index > after);
    return start < 0 ? [] : this.#entries.slice(start, start + limit);
  }

  toSnapshot(): AuditEntry[] {
    return [...this.#entries];
  }
}
