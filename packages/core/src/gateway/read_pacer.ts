/** Chunks in one read up to which its cost counts as that of its bytes. */
const MAX_CHUNKS = 200;
/** Part of the time that reads with more chunks may take together. */
const MAX_BUSY_FRACTION = 1 / 4;
/**
 * Longest time that a read counts as, in milliseconds. What takes longer was
 * spent elsewhere, for instance while the process was suspended.
 */
const MAX_READ_MS = 50;

/** What was read from a connection at once. */
export type ChunkedRead = {
  readonly chunks: number;
  /** Time that it took to handle them, in milliseconds. */
  readonly tookMs: number;
};

/**
 * Bounds the processor time of responses in small chunks, each of which costs as
 * much as a large one. Their connections are read in turn, with rests between
 * them, so that other requests are served meanwhile, however many of these
 * responses arrive.
 *
 * @example
 * ```ts
 * const delayMs = pacer.delayMs({ chunks: 10_900, tookMs: 12 }, now);
 * if (delayMs > 0) pauseFor(delayMs);
 * ```
 */
export class ReadPacer {
  /** Monotonic time until which the reads so far use up their part, in ms. */
  #usedUntil = -Infinity;

  /** Time until a connection may be read again after a read, in milliseconds. */
  delayMs({ chunks, tookMs }: ChunkedRead, now: number): number {
    if (chunks <= MAX_CHUNKS) return 0;
    const cost = Math.min(tookMs, MAX_READ_MS);
    const startedAt = now - cost;
    this.#usedUntil = Math.max(this.#usedUntil, startedAt) +
      cost / MAX_BUSY_FRACTION;
    return Math.max(0, this.#usedUntil - now);
  }
}
