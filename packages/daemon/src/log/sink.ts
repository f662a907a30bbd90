/**
 * Log output with a rate limit and a bounded buffer, which does not wait for a
 * slow reader.
 *
 * @module
 */
import * as fs from "node:fs";

/** Maximum length of buffered lines, in characters; drops further lines. */
const MAX_PENDING_CHARACTERS = 512 * 1024;
/** Time for which lines are collected before a write, in milliseconds. */
const FLUSH_DELAY_MS = 50;
/** Maximum lines per second and event; further lines are only counted. */
const MAX_LINES_PER_SECOND = 200;
const SECOND_MS = 1_000;

/** Lines of one event in the current one-second window. */
type Window = { startMs: number; written: number; leftOut: number };

/**
 * Limits the rate of lines for each event, so that a repeating fault neither
 * fills the log nor uses up the CPU.
 *
 * @example
 * ```ts
 * const limit = new LineLimit();
 * if (limit.admit("entry refused", now).isAdmitted) write(line);
 * ```
 */
export class LineLimit {
  readonly #windows = new Map<string, Window>();

  /** Returns whether a line may be written, and how many were omitted before. */
  admit(
    event: string,
    nowMs: number,
  ): { readonly isAdmitted: boolean; readonly leftOut: number } {
    const window = this.#windows.get(event);
    if (window === undefined || nowMs - window.startMs >= SECOND_MS) {
      this.#windows.set(event, { startMs: nowMs, written: 1, leftOut: 0 });
      return { isAdmitted: true, leftOut: window?.leftOut ?? 0 };
    }
    if (window.written >= MAX_LINES_PER_SECOND) {
      window.leftOut += 1;
      return { isAdmitted: false, leftOut: 0 };
    }
    window.written += 1;
    return { isAdmitted: true, leftOut: 0 };
  }
}

/**
 * Writes lines to a file descriptor in batches. Drops lines if the reader is too
 * slow, and logs how many.
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
  #pendingCharacters = 0;
  #dropped = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(descriptor: number) {
    this.#descriptor = descriptor;
  }

  write(line: string): void {
    if (this.#pendingCharacters + line.length > MAX_PENDING_CHARACTERS) {
      this.#dropped += 1;
      return;
    }
    this.#pending.push(line);
    this.#pendingCharacters += line.length;
    this.#timer ??= setTimeout(() => this.#flush(), FLUSH_DELAY_MS).unref();
  }

  /** Writes all buffered lines synchronously, before the process exits. */
  flushNow(): void {
    const text = this.#takePending();
    try {
      if (text !== "") fs.writeSync(this.#descriptor, text);
    } catch {
      // The reader is gone or its pipe is full; no other output can report it.
    }
  }

  #flush(): void {
    this.#timer = undefined;
    if (this.#isWriting) return;
    const text = this.#takePending();
    if (text === "") return;
    this.#isWriting = true;
    fs.write(this.#descriptor, text, () => {
      // A write fails if there is no reader: ignores the error, since the next
      // batch is attempted anyway.
      this.#isWriting = false;
      if (this.#pending.length > 0) this.#flush();
    });
  }

  #takePending(): string {
    const lines = this.#pending;
    if (this.#dropped > 0) lines.push(`event=lines-dropped n=${this.#dropped}`);
    this.#pending = [];
    this.#pendingCharacters = 0;
    this.#dropped = 0;
    return lines.map((line) => `${line}\n`).join("");
  }
}
