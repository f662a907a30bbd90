/** A host that heard no leader for this time starts no work, in ms. */
export const MAX_VIEW_AGE_MS = 4_000;
/** Confirmations that may wait for their changes to arrive. */
const WAITING_CONFIRMATIONS = 32;

interface Confirmation {
  readonly sentAt: number;
  readonly index: number;
}

/**
 * Tells whether a host's view is current.
 *
 * The leader answers each exchange, under its lease, with the index of the
 * latest change of the view. Once the host has applied that index, its view
 * was current at the time when it sent the exchange. Counting from the
 * sending, not from the arrival, makes a late answer harmless.
 *
 * @example
 * ```ts
 * freshness.confirm(sentAt, answer.viewIndex, view.index);
 * if (!freshness.isCurrent(performance.now())) refuse();
 * ```
 */
export class FreshnessTracker {
  #currentAt = Number.NEGATIVE_INFINITY;
  #waiting: Confirmation[] = [];

  /** Whether the view was current within the last {@link MAX_VIEW_AGE_MS}. */
  isCurrent(now: number): boolean {
    return this.ageMs(now) < MAX_VIEW_AGE_MS;
  }

  /** Time since the view was known to be current, in milliseconds. */
  ageMs(now: number): number {
    return now - this.#currentAt;
  }

  /** Takes a leader's answer to an exchange that was sent at `sentAt`. */
  confirm(sentAt: number, index: number, appliedIndex: number): void {
    this.#waiting.push({ sentAt, index });
    if (this.#waiting.length > WAITING_CONFIRMATIONS) this.#waiting.shift();
    this.applied(appliedIndex);
  }

  /** Notes that all changes up to `appliedIndex` are applied. */
  applied(appliedIndex: number): void {
    const met = this.#waiting.filter((one) => one.index <= appliedIndex);
    for (const one of met) {
      this.#currentAt = Math.max(this.#currentAt, one.sentAt);
    }
    this.#waiting = this.#waiting.filter((one) => one.index > appliedIndex);
  }
}
