import type * as protocol from "@ebonypath/protocol";
import type * as types from "./types.ts";

/** First result of an operator's change, by which a resend is recognised. */
export interface RecordedChange {
  readonly changeId: string;
  /** SHA-256 of the command: the same id with another command is invalid. */
  readonly contentDigest: string;
  readonly result: protocol.state.CommandResult;
}

/**
 * First results of the newest operator changes by change id, so that a resend
 * returns the first result instead of applying the change again.
 */
export class ChangeResults {
  readonly #limits: types.Limits;
  readonly #byId = new Map<string, RecordedChange>();

  constructor(
    limits: types.Limits,
    savedChanges: readonly RecordedChange[] = [],
  ) {
    this.#limits = limits;
    for (const change of savedChanges) this.#byId.set(change.changeId, change);
  }

  get(changeId: string): RecordedChange | undefined {
    return this.#byId.get(changeId);
  }

  add(change: RecordedChange): void {
    this.#byId.set(change.changeId, change);
    if (this.#byId.size <= this.#limits.changeIds) return;
    for (const oldest of this.#byId.keys()) {
      this.#byId.delete(oldest);
      return;
    }
  }

  toSnapshot(): RecordedChange[] {
    return [...this.#byId.values()];
  }
}
