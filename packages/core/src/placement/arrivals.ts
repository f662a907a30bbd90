/** Most models whose arrivals are remembered. */
const MAX_MODELS = 20_000;
/** Mean time between arrivals of a model that is hardly known. */
const DEFAULT_INTERVAL_MS = 300_000;
/** Weight of the newest interval. */
const WEIGHT = 0.2;

interface History {
  lastMs: number;
  intervalMs: number;
}

/** Learns how often each model is needed. */
export class ArrivalRates {
  /** The longest unneeded model first. */
  readonly #histories = new Map<string, History>();

  /** Records that requests for a model arrived. */
  recordArrivals(model: string, count: number, nowMs: number): void {
    if (count <= 0) return;
    const history = this.#histories.get(model);
    const updated = { lastMs: nowMs, intervalMs: DEFAULT_INTERVAL_MS };
    if (history !== undefined) {
      const interval = (nowMs - history.lastMs) / count;
      updated.intervalMs = (1 - WEIGHT) * history.intervalMs +
        WEIGHT * interval;
    }
    this.#histories.delete(model);
    this.#histories.set(model, updated);
    this.#bound();
  }

  /**
   * Expected arrivals per second. It falls while a model stays unneeded for
   * longer than its mean interval.
   */
  ratePerSecond(model: string, nowMs: number): number {
    const history = this.#histories.get(model);
    if (history === undefined) return 0;
    const silentMs = nowMs - history.lastMs;
    return 1_000 / Math.max(history.intervalMs, silentMs, 1);
  }

  /** When a model was needed last; undefined if it is not known. */
  lastArrivalMs(model: string): number | undefined {
    return this.#histories.get(model)?.lastMs;
  }

  /** Models that are remembered, the longest unneeded first. */
  models(): string[] {
    return [...this.#histories.keys()];
  }

  #bound(): void {
    if (this.#histories.size <= MAX_MODELS) return;
    for (const oldest of this.#histories.keys()) {
      this.#histories.delete(oldest);
      return;
    }
  }
}
