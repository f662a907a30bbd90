import * as protocol from "@ebonypath/protocol";
import * as failure from "../failure.ts";

/** A stream that takes text. */
export interface Sink {
  write(text: string): unknown;
}

// deno-lint-ignore no-control-regex
const CONTROL_CHARACTERS = /[\u0000-\u0008\u000a-\u001f\u007f-\u009f]/g;

/** Prints lines for people, or one JSON document for programs. */
export class Output {
  readonly #out: Sink;
  readonly #error: Sink;
  readonly #isJson: boolean;

  constructor(out: Sink, error: Sink, isJson: boolean) {
    this.#out = out;
    this.#error = error;
    this.#isJson = isJson;
  }

  /** Prints lines for people; nothing with `--json`. */
  lines(...lines: readonly string[]): void {
    if (this.#isJson) return;
    for (const line of lines) this.#out.write(`${clean(line)}\n`);
  }

  /** Prints the result for programs; nothing without `--json`. */
  result(value: unknown): void {
    if (this.#isJson) this.#out.write(`${JSON.stringify(value, null, 2)}\n`);
  }

  /** Prints why a command failed, on both streams where that helps. */
  failure(error: Error): void {
    this.result({ error: describe(error) });
    for (const line of renderFailure(error)) {
      this.#error.write(`${clean(line)}\n`);
    }
  }
}

/** Keeps text from a server from steering the terminal. */
function clean(line: string): string {
  return line.replace(CONTROL_CHARACTERS, "?");
}

function renderFailure(error: Error): string[] {
  if (error instanceof protocol.toml.FileError) {
    return error.findings.map(protocol.toml.renderFinding);
  }
  if (error instanceof failure.Failure) {
    return [`ebonypath: ${error.message}`, `hint: ${error.hint}`];
  }
  return `ebonypath: ${error.stack ?? error.message}`.split("\n");
}

function describe(error: Error): unknown {
  const { name, message } = error;
  if (error instanceof protocol.toml.FileError) {
    return { name, findings: error.findings };
  }
  if (error instanceof failure.RefusedError) {
    const { hint, problem, server } = error;
    return { name, message, hint, server, problem };
  }
  if (error instanceof failure.Failure) {
    return { name, message, hint: error.hint };
  }
  return { name, message };
}
