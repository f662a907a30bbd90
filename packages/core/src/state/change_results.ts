import type * as protocol from "@ebonypath/protocol";
import type * as types from "./types.ts";

/** A change id with the digest of its command and its first result. */
export interface RememberedChange {
  readonly changeId: string;
  readonly contentDigest: string;
  readonly result: protocol.state.CommandResult;
}

/** Results of the newest changes, so that a resend gets the first one. */
export class ChangeLog {
  readonly #limits: types.Limits;
  readonly #byId = new Map<string, RememberedChange>();

  constructor(limits: types.Limits, saved: readonly RememberedChange[] = []) {
    this.#limits = limits;
    for (const change of saved) this.#byId.set(change.changeId, change);
  }

  get(changeId: string): RememberedChange | undefined {
    return this.#byId.get(changeId);
  }

  add(change: RememberedChange): void {
    this.#byId.set(change.changeId, change);
    if (this.#byId.size <= this.#limits.changeIds) return;
    for (const oldest of this.#byId.keys()) {
      this.#byId.delete(oldest);
      return;
    }
  }

  toSnapshot(): RememberedChange[] {
    return [...this.#byId.values()];
  }
}
