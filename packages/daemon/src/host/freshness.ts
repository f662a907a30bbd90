/** A host starts no new work if its view is older than this, in milliseconds. */
export const MAX_VIEW_AGE_MS = 4_000;
/** Maximum number of confirmations whose changes have not arrived yet. */
const MAX_PENDING_CONFIRMATIONS = 32;

/** The leader's statement of the latest view index, for one exchange. */
interface Confirmation {
  readonly sentAt: number;
  readonly index: number;
}

/**
 * Tracks when a host's view was last known to be current.
 *
 * While it holds its lease, the leader answers each exchange with the log index
 * of the latest view change. Once the host has applied that index, its view is
 * known to have been current when the exchange was sent. The age counts from
 * the send time and not from the receive time, so that a delayed answer cannot
 * make the view look more recent than it is.
 *
 * @example
 * ```ts
 * freshness.confirm(sentAt, answer.viewIndex, view.index);
 * if (!freshness.isCurrent(performance.now())) refuse();
 * ```
 */
export class FreshnessTracker {
  #currentAt = Number.NEGATIVE_INFINITY;
  #pending: Confirmation[] = [];

  /** Whether the view was current within the last {@link MAX_VIEW_AGE_MS}. */
  isCurrent(now: number): boolean {
    return this.ageMs(now) < MAX_VIEW_AGE_MS;
  }

  /** Time since the view was last known to be current, in milliseconds. */
  ageMs(now: number): number {
    return now - this.#currentAt;
  }

  /** Records a leader's answer to an exchange that was sent at `sentAt`. */
  confirm(sentAt: number, index: number, appliedIndex: number): void {
    this.#pending.push({ sentAt, index });
    if (this.#pending.length > MAX_PENDING_CONFIRMATIONS) this.#pending.shift();
    this.applied(appliedIndex);
  }

  /** Records that all changes up to `appliedIndex` have been applied. */
  applied(appliedIndex: number): void {
    const reached = this.#pending.filter((confirmation) =>
      confirmation.index <= appliedIndex
    );
    for (const confirmation of reached) {
      this.#currentAt = Math.max(this.#currentAt, confirmation.sentAt);
    }
    this.#pending = this.#pending.filter((confirmation) =>
      confirmation.index > appliedIndex
    );
  }
}
