/** What happens to bytes that go one way; may be changed at any time. */
export class Direction {
  /** Delay of each chunk, in milliseconds. */
  delayMs = 0;
  /** Bandwidth in bytes per second; `Infinity` for no limit. */
  bytesPerSecond = Infinity;
  /** Bytes that were delivered. */
  bytes = 0;
  #silent = false;
  readonly #listeners = new Set<() => void>();

  /** Whether bytes are held back at present. */
  get isSilent(): boolean {
    return this.#silent;
  }

  /** Holds all bytes back, on open and on new connections. */
  hold(): void {
    this.#silent = true;
    this.#notify();
  }

  /** Delivers what was held back, late, and all that follows. */
  release(): void {
    this.#silent = false;
    this.#notify();
  }

  /** Removes every fault of this direction. */
  heal(): void {
    this.delayMs = 0;
    this.bytesPerSecond = Infinity;
    this.release();
  }

  /** Calls back whenever bytes are held back or released. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}
