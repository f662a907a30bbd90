/**
 * Repeats file operations until the disk has space for them.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import { createLog } from "../log/mod.ts";
import { NoSpaceError, StorageError } from "./errors.ts";

/** Pause between two attempts on a full disk, in milliseconds. */
const RETRY_INTERVAL_MS = 100;

const log = createLog("storage");

/** Called when the disk has become full, and when it has space again. */
export type SpaceListener = (hasSpace: boolean) => void;

/**
 * Waits for space on the disk of one store.
 *
 * @example
 * ```ts
 * const space = new SpaceWaiter("/var/lib/ebonypath");
 * await space.run(() => folder.writeAtomically("identity.bin", [data]));
 * ```
 */
export class SpaceWaiter {
  readonly #folder: string;
  readonly #listeners = new Set<SpaceListener>();
  readonly #closed = new AbortController();
  #fullSince: number | null = null;

  constructor(folder: string) {
    this.#folder = folder;
  }

  /** Whether no operation waits for space. */
  get hasSpace(): boolean {
    return this.#fullSince === null;
  }

  /**
   * Calls a listener when the disk becomes full or has space again.
   *
   * @returns removes the listener
   */
  onChange(listener: SpaceListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Runs an operation, and repeats it while the disk is full. It must have the
   * same effect after it has failed halfway. Only one may run at a time.
   *
   * @throws {StorageError} the operation failed for another reason, or
   * {@link SpaceWaiter.close} was called while the disk was full
   */
  async run<T>(operation: () => Promise<T>): Promise<T> {
    for (;;) {
      try {
        const result = await operation();
        this.#recordSpace();
        return result;
      } catch (error) {
        if (!(error instanceof NoSpaceError)) throw error;
        this.#recordFull(error);
        await this.#pause(error);
      }
    }
  }

  /** Fails the operation that waits for space, and those that find none. */
  close(): void {
    this.#closed.abort();
  }

  async #pause(cause: NoSpaceError): Promise<void> {
    const { signal } = this.#closed;
    try {
      await timers.setTimeout(RETRY_INTERVAL_MS, undefined, { signal });
    } catch {
      // The only reason for which a timer is rejected is the signal.
      const message = "the store was closed while its disk was full";
      throw new StorageError("closed", this.#folder, message, cause);
    }
  }

  #recordFull(error: NoSpaceError): void {
    if (this.#fullSince !== null) return;
    this.#fullSince = performance.now();
    log("disk-full", { folder: this.#folder, error });
    this.#listeners.forEach((listener) => listener(false));
  }

  #recordSpace(): void {
    if (this.#fullSince === null) return;
    const fullMs = Math.round(performance.now() - this.#fullSince);
    this.#fullSince = null;
    log("disk-has-space", { folder: this.#folder, full_ms: fullMs });
    this.#listeners.forEach((listener) => listener(true));
  }
}
