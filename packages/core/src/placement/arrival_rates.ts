/** Maximum number of models with a recorded history. */
const MAX_MODELS = 20_000;
/** Assumed mean interval of a model that has only one recorded arrival. */
const DEFAULT_INTERVAL_MS = 300_000;
/** Weight of the newest interval in the moving average. */
const NEWEST_INTERVAL_WEIGHT = 0.2;

interface ArrivalHistory {
  lastMs: number;
  intervalMs: number;
}

/** Estimates the request rate of each model from its recorded arrivals. */
export class ArrivalRates {
  /** Least recently used model first. */
  readonly #histories = new Map<string, ArrivalHistory>();

  recordArrivals(model: string, count: number, nowMs: number): void {
    if (count <= 0) return;
    const history = this.#histories.get(model);
    const updated = { lastMs: nowMs, intervalMs: DEFAULT_INTERVAL_MS };
    if (history !== undefined) {
      const interval = (nowMs - history.lastMs) / count;
      updated.intervalMs = (1 - NEWEST_INTERVAL_WEIGHT) * history.intervalMs +
        NEWEST_INTERVAL_WEIGHT * interval;
    }
    this.#histories.delete(model);
    this.#histories.set(model, updated);
    this.#evictOldest();
  }

  /**
   * Expected arrivals per second. The rate decays once no request has arrived
   * for longer than the model's mean interval.
   */
  ratePerSecond(model: string, nowMs: number): number {
    const history = this.#histories.get(model);
    if (history === undefined) return 0;
    const silentMs = nowMs - history.lastMs;
    return 1_000 / Math.max(history.intervalMs, silentMs, 1);
  }

  /** Time of the last arrival; undefined if none is recorded. */
  lastArrivalMs(model: string): number | undefined {
    return this.#histories.get(model)?.lastMs;
  }

  /** Models with a recorded history, least recently used first. */
  models(): string[] {
    return [...this.#histories.keys()];
  }

  #evictOldest(): void {
    if (this.#histories.size <= MAX_MODELS) return;
    for (const oldest of this.#histories.keys()) {
      this.#histories.delete(oldest);
      return;
    }
  }
}
