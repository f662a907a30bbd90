/**
 * Reading of the monotonic clock and the wall clock, in milliseconds. The
 * monotonic clock stops while the host is suspended, the wall clock doesn't.
 */
export type ClockReading = {
  readonly monotonicMs: number;
  readonly wallMs: number;
};

/** Units that were lent together. */
type Loan = { units: number; readonly requestedAt: ClockReading };

/**
 * Units of one shared limit that the leader has lent to this host. They expire
 * a fixed time after they were requested, by both clocks, so that units from
 * before a suspension are not used after it. A step of the wall clock may
 * expire units early, which costs another request.
 *
 * @example
 * ```ts
 * units.add(2, requestedAt);
 * if (units.tryTake(now)) send();
 * ```
 */
export class BorrowedUnits {
  readonly #lifetimeMs: number;
  #loans: Loan[] = [];

  /** @param lifetimeMs time from the request within which units may be used */
  constructor(lifetimeMs: number) {
    this.#lifetimeMs = lifetimeMs;
  }

  /** Adds units that were lent. */
  add(units: number, requestedAt: ClockReading): void {
    if (units > 0) this.#loans.push({ units, requestedAt });
  }

  /** Takes a unit; returns false if none is valid. */
  tryTake(now: ClockReading): boolean {
    this.#loans = this.#loans.filter((loan) =>
      loan.units > 0 && this.#isValid(loan, now)
    );
    const [oldest] = this.#loans;
    if (oldest === undefined) return false;
    oldest.units -= 1;
    return true;
  }

  #isValid({ requestedAt }: Loan, now: ClockReading): boolean {
    const wallAge = now.wallMs - requestedAt.wallMs;
    return now.monotonicMs - requestedAt.monotonicMs <= this.#lifetimeMs &&
      wallAge >= 0 && wallAge <= this.#lifetimeMs;
  }
}
