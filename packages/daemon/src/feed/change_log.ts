import type * as protocol from "@ebonypath/protocol";

/**
 * Maximum number of log entries whose changes are retained, so that hosts can
 * resume the feed after a short disconnection without a snapshot.
 */
const MAX_RETAINED_ENTRIES = 10_000;

/** The view changes that one log entry made. */
interface LogEntry {
  readonly index: number;
  readonly changes: readonly protocol.state.ViewChange[];
}

/** The latest view changes, in log order. */
export class ChangeLog {
  readonly #entries: LogEntry[] = [];
  /** All changes after this log index are retained. */
  #retainedAfter: number;
  #index: number;

  /** Creates an empty log for a view at log index `index`. */
  constructor(index: number) {
    this.#retainedAfter = index;
    this.#index = index;
  }

  /** Log index of the latest change. */
  get index(): number {
    return this.#index;
  }

  /** Appends the changes that the log entry at `index` made. */
  append(
    index: number,
    changes: readonly protocol.state.ViewChange[],
  ): void {
    if (changes.length === 0) return;
    this.#entries.push({ index, changes });
    this.#index = index;
    while (this.#entries.length > MAX_RETAINED_ENTRIES) {
      const oldest = this.#entries.shift();
      this.#retainedAfter = oldest?.index ?? this.#retainedAfter;
    }
  }

  /** Clears the log after a snapshot at log index `index`. */
  reset(index: number): void {
    this.#entries.length = 0;
    this.#retainedAfter = index;
    this.#index = index;
  }

  /**
   * Returns the changes after `index`, or null if some of them are no longer
   * retained.
   *
   * @example
   * ```ts
   * log.since(view.index) ?? sendSnapshot();
   * ```
   */
  since(index: number): protocol.state.ViewChange[] | null {
    if (index < this.#retainedAfter) return null;
    return this.#entries
      .filter((entry) => entry.index > index)
      .flatMap((entry) => entry.changes);
  }
}
