/** Most changes that are remembered. */
const KEPT_CHANGES = 4_096;

/** Counts requests in flight and can tell the count of a moment ago. */
export class LoadReport {
  #running = 0;
  readonly #changes: Array<{ atMs: number; running: number }> = [];

  get running(): number {
    return this.#running;
  }

  add(change: 1 | -1): void {
    this.#running += change;
    this.#changes.push({ atMs: performance.now(), running: this.#running });
    if (this.#changes.length > KEPT_CHANGES) this.#changes.shift();
  }

  /** Returns the count as it was `lagMs` ago. */
  runningBefore(lagMs: number): number {
    if (lagMs === 0) return this.#running;
    const at = performance.now() - lagMs;
    return this.#changes.findLast((change) => change.atMs <= at)?.running ?? 0;
  }
}
