import type * as protocol from "@ebonypath/protocol";

/** Changes of the view that one log entry made. */
export interface ViewEntry {
  readonly index: number;
  readonly changes: readonly protocol.state.ViewChange[];
}

/**
 * The newest changes of the view, for followers that resume by index.
 *
 * @example
 * ```ts
 * const entries = log.since(follower.index);
 * if (entries === undefined) sendWholeView();
 * ```
 */
export class ViewLog {
  readonly #capacity: number;
  #entries: ViewEntry[] = [];
  /** Changes up to here are not kept. */
  #start: number;

  constructor(start: number, capacity = 1_000) {
    this.#start = start;
    this.#capacity = capacity;
  }

  add(index: number, changes: readonly protocol.state.ViewChange[]): void {
    if (changes.length === 0) return;
    this.#entries.push({ index, changes });
    if (this.#entries.length <= this.#capacity) return;
    this.#start = this.#entries.shift()?.index ?? this.#start;
  }

  /** Entries above `index`, or undefined if some of them are not kept. */
  since(index: number): readonly ViewEntry[] | undefined {
    if (index < this.#start) return undefined;
    return this.#entries.filter((entry) => entry.index > index);
  }
}
