/**
 * Where log lines go: bounded, and without waiting for the reader.
 *
 * @module
 */
import * as fs from "node:fs";

/** Bytes that wait for a slow reader; what comes beyond is left out. */
const PENDING_BYTES = 512 * 1024;
/** Time over which lines are written together, in milliseconds. */
const COLLECT_MS = 50;
/** Lines of one kind in a second; what comes beyond is counted. */
const LINES_PER_SECOND = 200;
const SECOND_MS = 1_000;

/** Lines of one kind in the second that runs. */
type Kind = { since: number; written: number; leftOut: number };

/**
 * Limits the lines of each kind, so that a fault that repeats does not fill the
 * log or take the processor.
 *
 * @example
 * ```ts
 * const limit = new LineLimit();
 * if (limit.admit("entry refused", now).isAdmitted) write(line);
 * ```
 */
export class LineLimit {
  readonly #kinds = new Map<string, Kind>();

  /** Whether a line may be written, and how many were left out before it. */
  admit(
    name: string,
    now: number,
  ): { readonly isAdmitted: boolean; readonly leftOut: number } {
    const known = this.#kinds.get(name);
    if (known === undefined || now - known.since >= SECOND_MS) {
      this.#kinds.set(name, { since: now, written: 1, leftOut: 0 });
      return { isAdmitted: true, leftOut: known?.leftOut ?? 0 };
    }
    if (known.written >= LINES_PER_SECOND) {
      known.leftOut += 1;
      return { isAdmitted: false, leftOut: 0 };
    }
    known.written += 1;
    return { isAdmitted: true, leftOut: 0 };
  }
}

/**
 * Writes lines to a file descriptor, many at once. A reader that is too slow
 * loses lines, and is told how many.
 *
 * @example
 * ```ts
 * const sink = new LineSink(1);
 * sink.write("event=started");
 * ```
 */
export class LineSink {
  readonly #descriptor: number;
  #pending: string[] = [];
  #bytes = 0;
  #dropped = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(descriptor: number) {
    this.#descriptor = descriptor;
  }

  write(line: string): void {
    if (this.#bytes + line.length > PENDING_BYTES) {
      this.#dropped += 1;
      return;
    }
    this.#pending.push(line);
    this.#bytes += line.length;
    this.#timer ??= setTimeout(() => this.#flush(), COLLECT_MS).unref();
  }

  /** Writes what waits before the process ends. */
  flushNow(): void {
    const text = this.#take();
    try {
      if (text !== "") fs.writeSync(this.#descriptor, text);
    } catch {
      // The reader is gone or full: there is nowhere left to say so.
    }
  }

  #flush(): void {
    this.#timer = undefined;
    if (this.#isWriting) return;
    const text = this.#take();
    if (text === "") return;
    this.#isWriting = true;
    fs.write(this.#descriptor, text, () => {
      // A failed write means that nobody reads; the next one tries again.
      this.#isWriting = false;
      if (this.#pending.length > 0) this.#flush();
    });
  }

  #take(): string {
    const lines = this.#pending;
    if (this.#dropped > 0) lines.push(`event=lines-dropped n=${this.#dropped}`);
    this.#pending = [];
    this.#bytes = 0;
    this.#dropped = 0;
    return lines.map((line) => `${line}\n`).join("");
  }
}
