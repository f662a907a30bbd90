/** Maximum number of server and model pairs that are tracked. */
const MAX_ENTRIES = 10_000;
const INITIAL_DELAY_MS = 1_000;
const MAX_DELAY_MS = 30_000;

interface BackoffEntry {
  readonly untilMs: number;
  readonly delayMs: number;
}

/** Exponential backoff after failed loads, per server and model. */
export class Backoff {
  readonly #entries = new Map<string, BackoffEntry>();

  recordFailure(server: string, model: string, nowMs: number): void {
    const key = `${server} ${model}`;
    const delayMs = Math.min(
      MAX_DELAY_MS,
      2 * (this.#entries.get(key)?.delayMs ?? INITIAL_DELAY_MS / 2),
    );
    this.#entries.delete(key);
    this.#entries.set(key, { untilMs: nowMs + delayMs, delayMs });
    this.#evictOldest();
  }

  recordSuccess(server: string, model: string): void {
    this.#entries.delete(`${server} ${model}`);
  }

  isBackingOff(server: string, model: string, nowMs: number): boolean {
    const entry = this.#entries.get(`${server} ${model}`);
    return entry !== undefined && nowMs < entry.untilMs;
  }

  #evictOldest(): void {
    if (this.#entries.size <= MAX_ENTRIES) return;
    for (const oldest of this.#entries.keys()) {
      this.#entries.delete(oldest);
      return;
    }
  }
}
