/**
 * Checks that the events of a stream that several servers made one after the
 * other follow on from each other.
 *
 * @module
 */

/** How the first event of a server's part of a stream follows on. */
export type EventOrder = "in-order" | "repeated" | "skipped";

/**
 * The ids of a stream's events. Ids increase; where the difference has been the
 * same throughout, a larger one between two servers shows that events are
 * missing. Ids that are not whole numbers are not compared.
 *
 * @example
 * ```ts
 * const sequence = new EventSequence();
 * sequence.begin();
 * sequence.add("1"); // "in-order"
 * sequence.begin(); // another server goes on
 * sequence.add("1"); // "repeated"
 * ```
 */
export class EventSequence {
  #lastId: string | undefined;
  /** Difference of consecutive ids: none known yet, one, or several. */
  #step: number | "none" | "several" = "none";
  #isFirst = true;

  /** @param lastId id of the last event that the caller has already received */
  constructor(lastId?: string) {
    this.#lastId = lastId;
  }

  /** Id of the last event. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Begins the events of a server, which follow on from those before. */
  begin(): void {
    this.#isFirst = true;
  }

  /** Adds the id of the next event, unless it doesn't follow on. */
  add(id: string): EventOrder {
    const difference = differenceOf(this.#lastId, id);
    if (this.#isFirst) {
      if (id === this.#lastId) return "repeated";
      if (difference !== undefined) {
        if (difference <= 0) return "repeated";
        if (typeof this.#step === "number" && difference > this.#step) {
          return "skipped";
        }
      }
    } else if (difference !== undefined) this.#addDifference(difference);
    this.#isFirst = false;
    this.#lastId = id;
    return "in-order";
  }

  #addDifference(difference: number): void {
    this.#step = this.#step === "none" || this.#step === difference
      ? difference
      : "several";
  }
}

function differenceOf(
  previous: string | undefined,
  next: string,
): number | undefined {
  if (previous === undefined) return undefined;
  const difference = parseId(next) - parseId(previous);
  return Number.isNaN(difference) ? undefined : difference;
}

function parseId(text: string): number {
  const id = /^\d+$/.test(text) ? Number(text) : NaN;
  return Number.isSafeInteger(id) ? id : NaN;
}
