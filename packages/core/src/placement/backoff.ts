/** Most pairs of server and model that are remembered. */
const MAX_ENTRIES = 10_000;
const FIRST_PAUSE_MS = 1_000;
const LONGEST_PAUSE_MS = 30_000;

interface Pause {
  readonly untilMs: number;
  readonly lengthMs: number;
}

/** Pauses after failed loads, doubled with each further failure. */
export class Backoff {
  readonly #pauses = new Map<string, Pause>();

  fail(server: string, model: string, nowMs: number): void {
    const name = `${server} ${model}`;
    const lengthMs = Math.min(
      LONGEST_PAUSE_MS,
      2 * (this.#pauses.get(name)?.lengthMs ?? FIRST_PAUSE_MS / 2),
    );
    this.#pauses.delete(name);
    this.#pauses.set(name, { untilMs: nowMs + lengthMs, lengthMs });
    this.#bound();
  }

  succeed(server: string, model: string): void {
    this.#pauses.delete(`${server} ${model}`);
  }

  isPaused(server: string, model: string, nowMs: number): boolean {
    const pause = this.#pauses.get(`${server} ${model}`);
    return pause !== undefined && nowMs < pause.untilMs;
  }

  #bound(): void {
    if (this.#pauses.size <= MAX_ENTRIES) return;
    for (const oldest of this.#pauses.keys()) {
      this.#pauses.delete(oldest);
      return;
    }
  }
}
