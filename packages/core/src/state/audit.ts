import * as crypto from "node:crypto";
import type * as types from "./types.ts";

/** Digest before the first entry of a trail. */
export const GENESIS_DIGEST = "0".repeat(64);

/** One operator change; each entry carries the digest of the one before. */
export interface AuditEntry {
  readonly index: number;
  readonly timeMs: number;
  readonly operator: string;
  readonly changeId: string;
  /** Kind of the command, for instance `publish`. */
  readonly action: string;
  /** What was changed, for instance a key id. */
  readonly subject: string;
  /** SHA-256 of the command. */
  readonly contentDigest: string;
  readonly previous: string;
  readonly digest: string;
}

/** The outcome of verifying a trail. */
export type AuditVerification =
  | { readonly kind: "valid"; readonly entries: number; readonly last: string }
  | {
    readonly kind: "broken";
    readonly index: number;
    readonly reason: string;
  };

/** Computes the SHA-256 digest of a text in hexadecimal. */
export function sha256Hex(text: string): string {
  return crypto.createHash("sha256").update(text).digest("hex");
}

function chainDigest(entry: Omit<AuditEntry, "digest">): string {
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
 * Verifies that no entry of a trail was changed, removed or reordered.
 *
 * `previous` is the digest before the first entry, when it is known from an
 * earlier verification; a removed beginning is detected only with it.
 *
 * @example
 * ```ts
 * const verification = verifyAudit(state.audit(0, 1_000));
 * ```
 */
export function verifyAuditTrail(
  entries: readonly AuditEntry[],
  previous: string = entries[0]?.previous ?? GENESIS_DIGEST,
): AuditVerification {
  let last = previous;
  let lastIndex = -1;
  for (const entry of entries) {
    const reason = faultOf(entry, last, lastIndex);
    if (reason !== undefined) {
      return { kind: "broken", index: entry.index, reason };
    }
    last = entry.digest;
    lastIndex = entry.index;
  }
  return { kind: "valid", entries: entries.length, last };
}

function faultOf(
  entry: AuditEntry,
  previous: string,
  previousIndex: number,
): string | undefined {
  if (entry.index <= previousIndex) return "the entry is out of order";
  if (entry.previous !== previous) return "an entry before it is missing";
  if (entry.digest !== chainDigest(entry)) return "the entry was altered";
  return undefined;
}

/** The newest operator changes, hash-chained. */
export class AuditTrail {
  readonly #limits: types.Limits;
  #entries: AuditEntry[];

  constructor(limits: types.Limits, saved: readonly AuditEntry[] = []) {
    this.#limits = limits;
    this.#entries = [...saved];
  }

  add(entry: Omit<AuditEntry, "digest" | "previous">): void {
    const previous = this.#entries.at(-1)?.digest ?? GENESIS_DIGEST;
    const chained = { ...entry, previous };
    this.#entries.push({ ...chained, digest: chainDigest(chained) });
    if (this.#entries.length > this.#limits.auditEntries) {
      this.#entries.shift();
    }
  }

  /** Up to `limit` entries with an index above `after`, oldest first. */
  list(after: number, limit: number): AuditEntry[] {
    const start = this.#entries.findIndex((entry) => entry.index > after);
    return start < 0 ? [] : this.#entries.slice(start, start + limit);
  }

  toSnapshot(): AuditEntry[] {
    return [...this.#entries];
  }
}
