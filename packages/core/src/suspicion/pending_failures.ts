/** Most failures kept until their servers are known to have restarted. */
const MAX_PENDING_FAILURES = 1_024;
/**
 * Largest age of a failure that the restart of its server accounts for, in
 * milliseconds.
 */
const PENDING_FAILURE_MS = 5_000;

/**
 * Failures of servers that may have crashed: the later start of a server tells.
 *
 * @example
 * ```ts
 * failures.add({ server, at: now });
 * const crashed = failures.takeRestarted(({ server }) => isNew(server), now);
 * ```
 */
export class PendingFailures<Failure extends { readonly at: number }> {
  /** Oldest first. */
  #failures: Failure[] = [];

  /** @param failure with the monotonic time of it, in milliseconds */
  add(failure: Failure): void {
    this.#failures = [...this.#failures, failure].slice(-MAX_PENDING_FAILURES);
  }

  /**
   * Removes and returns the failures whose servers have restarted; drops those
   * that are too old.
   */
  takeRestarted(
    hasRestarted: (failure: Failure) => boolean,
    now: number,
  ): Failure[] {
    if (this.#failures.length === 0) return [];
    const restarted = new Set(this.#failures.filter(hasRestarted));
    this.#failures = this.#failures.filter((failure) =>
      !restarted.has(failure) && now - failure.at < PENDING_FAILURE_MS
    );
    return [...restarted];
  }
}
