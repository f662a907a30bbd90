/**
 * Limits the memory of all request bodies that are held at the same time.
 *
 * @example
 * ```ts
 * const budget = new BodyBudget(64 * 1024 * 1024);
 * using body = budget.open();
 * if (!body.tryAdd(part.length)) return refuse(503);
 * ```
 */
export class BodyBudget {
  readonly #maxBytes: number;
  #bytes = 0;

  /** @param maxBytes limit of all bodies together */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Size of all bodies, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Fraction of the limit that is used, from 0 to 1. */
  get use(): number {
    return this.#bytes / this.#maxBytes;
  }

  /** Begins a body, which the caller must dispose of. */
  open(): BodyReservation {
    return new BodyReservation((bytes) => {
      if (this.#bytes + bytes > this.#maxBytes) return false;
      this.#bytes += bytes;
      return true;
    });
  }
}

/** What one body takes of a {@link BodyBudget}. */
export class BodyReservation implements Disposable {
  readonly #take: (bytes: number) => boolean;
  #bytes = 0;

  constructor(take: (bytes: number) => boolean) {
    this.#take = take;
  }

  /** Adds a part of the body; returns false if there is no memory for it. */
  tryAdd(bytes: number): boolean {
    if (!this.#take(bytes)) return false;
    this.#bytes += bytes;
    return true;
  }

  [Symbol.dispose](): void {
    this.#take(-this.#bytes);
    this.#bytes = 0;
  }
}
