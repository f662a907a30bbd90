const LOADS_PER_SECOND = 4;
const CONCURRENT_LOADS = 4;

/** A weight store without any delay of control before it. */
export class IdealStore {
  readonly #loadMs: number;
  readonly #ends: number[] = [];
  #nextStartMs = 0;

  constructor(loadMs: number) {
    this.#loadMs = loadMs;
  }

  /** Milliseconds from `atMs` until a load asked for then is complete. */
  load(atMs: number): number {
    const busy = this.#ends.filter((end) => end > atMs).sort((a, b) => a - b);
    const freeMs = busy.length < CONCURRENT_LOADS
      ? atMs
      : busy[busy.length - CONCURRENT_LOADS] as number;
    const startMs = Math.max(freeMs, this.#nextStartMs);
    this.#nextStartMs = startMs + 1_000 / LOADS_PER_SECOND;
    this.#ends.push(startMs + this.#loadMs);
    return startMs + this.#loadMs - atMs;
  }
}
