import type * as stream from "node:stream";

const INDENT = "  ";

/** Prints what happens, for a person. */
export class Printer {
  readonly #out: stream.Writable;
  #step = 0;

  constructor(out: stream.Writable) {
    this.#out = out;
  }

  /** Starts a numbered step. */
  step(title: string): void {
    this.#step += 1;
    this.heading(`${this.#step}. ${title}`);
  }

  heading(title: string): void {
    this.#out.write(`\n${title}\n`);
  }

  /** Prints indented lines. */
  lines(...lines: readonly string[]): void {
    for (const line of lines) {
      for (const part of line.split("\n")) {
        this.#out.write(part === "" ? "\n" : `${INDENT}${part}\n`);
      }
    }
  }

  /** Prints a part of a line, as it arrives. */
  part(text: string): void {
    this.#out.write(text);
  }

  /** Starts a line of parts; `part("\n")` ends it. */
  start(text: string): void {
    this.#out.write(INDENT + text);
  }
}
