import type * as protocol from "@ebonypath/protocol";

/** Changes of the view kept for hosts that were away for a short time. */
const RETAINED_CHANGES = 10_000;

interface Step {
  readonly index: number;
  readonly changes: readonly protocol.state.ViewChange[];
}

/** The latest changes of the view, in the order of the log. */
export class ChangeLog {
  readonly #steps: Step[] = [];
  /** Every change above this index is retained. */
  #floor: number;
  #index: number;

  /** Starts after a view at log index `index`. */
  constructor(index: number) {
    this.#floor = index;
    this.#index = index;
  }

  /** Log index of the latest change. */
  get index(): number {
    return this.#index;
  }

  /** Adds the changes that the log entry at `index` made. */
  append(
    index: number,
    changes: readonly protocol.state.ViewChange[],
  ): void {
    if (changes.length === 0) return;
    this.#steps.push({ index, changes });
    this.#index = index;
    while (this.#steps.length > RETAINED_CHANGES) {
      const oldest = this.#steps.shift();
      this.#floor = oldest?.index ?? this.#floor;
    }
  }

  /** Starts anew after a snapshot at log index `index`. */
  reset(index: number): void {
    this.#steps.length = 0;
    this.#floor = index;
    this.#index = index;
  }

  /**
   * The changes after `index`, or null where some of them are no longer
   * retained.
   *
   * @example
   * ```ts
   * log.since(view.index) ?? sendSnapshot();
   * ```
   */
  since(index: number): protocol.state.ViewChange[] | null {
    if (index < this.#floor) return null;
    return this.#steps
      .filter((step) => step.index > index)
      .flatMap((step) => step.changes);
  }
}
