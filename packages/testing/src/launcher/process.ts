import * as childProcess from "node:child_process";
import process from "node:process";
import * as readline from "node:readline";
import type * as stream from "node:stream";
import * as wait from "../wait.ts";

/** Most log lines that are kept. */
const KEPT_LINES = 20_000;
/** Log lines shown when a wait fails. */
const SHOWN_LINES = 30;
/** Time between SIGTERM and SIGKILL on disposal, in milliseconds. */
const STOP_TIMEOUT_MS = 2_000;

/** How a process ended. */
export interface Exit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A child process with its log. */
export class Process {
  /** Log lines of both outputs, in the order of their arrival. */
  readonly lines: string[] = [];
  readonly #child: childProcess.ChildProcess;
  readonly #exited: Promise<Exit>;
  #exit: Exit | undefined;

  constructor(child: childProcess.ChildProcess) {
    this.#child = child;
    this.#collect(child.stdout);
    this.#collect(child.stderr);
    this.#exited = new Promise((resolve) => {
      child.once("error", (error) => {
        this.lines.push(`event=spawn-failed error=${error.message}`);
        resolve({ code: null, signal: null });
      });
      child.once("exit", (code, signal) => resolve({ code, signal }));
    });
    void this.#exited.then((exit) => this.#exit = exit);
  }

  get pid(): number | undefined {
    return this.#child.pid;
  }

  /** How the process ended, or `undefined` while it runs. */
  get exit(): Exit | undefined {
    return this.#exit;
  }

  get isRunning(): boolean {
    return this.#exit === undefined;
  }

  /** Last lines of the log, for messages. */
  get tail(): string {
    return this.lines.slice(-SHOWN_LINES).join("\n");
  }

  /** Returns the first line that matches, which may have been logged before. */
  async waitForLine(pattern: RegExp, timeoutMs?: number): Promise<string> {
    return await this.waitFor(
      `a line like ${pattern}`,
      () => this.lines.find((line) => pattern.test(line)),
      timeoutMs,
    );
  }

  /** Waits for a condition and shows the log if it does not come true. */
  async waitFor<T>(
    what: string,
    check: () => T | Promise<T>,
    timeoutMs?: number,
  ): Promise<Exclude<T, false | undefined>> {
    return await wait.waitFor(what, check, {
      ...(timeoutMs === undefined ? {} : { timeoutMs }),
      describe: () => `process ${this.pid} said:\n${this.tail}`,
    });
  }

  /** Waits for the end of the process. */
  async waitForExit(timeoutMs?: number): Promise<Exit> {
    return await this.waitFor("the exit", () => this.#exit, timeoutMs);
  }

  /** Sends a signal to this process alone. */
  signal(name: NodeJS.Signals): void {
    if (this.isRunning) this.#child.kill(name);
  }

  /** Ends the process without warning and waits until it is gone. */
  async kill9(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
  }

  /** Stops the process where it stands. */
  pause(): void {
    this.signal("SIGSTOP");
  }

  /** Lets a paused process go on. */
  resume(): void {
    this.signal("SIGCONT");
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (!this.isRunning) return;
    this.resume();
    this.signal("SIGTERM");
    const timer = setTimeout(() => this.signal("SIGKILL"), STOP_TIMEOUT_MS);
    await this.#exited;
    clearTimeout(timer);
  }

  #collect(output: stream.Readable | null): void {
    if (output === null) return;
    readline.createInterface({ input: output }).on("line", (line) => {
      this.lines.push(line);
      if (this.lines.length > KEPT_LINES) this.lines.shift();
    });
  }
}

/**
 * Starts a real process. A path that ends in `.js` runs under this Node.js.
 *
 * @example
 * ```ts
 * await using daemon = launch("packages/daemon/dist/src/main.js", [
 *   "--settings",
 *   "host-1.toml",
 * ]);
 * await daemon.waitForLine(/event=ready/);
 * ```
 */
export function launch(
  binaryPath: string,
  args: readonly string[] = [],
  env: Readonly<Record<string, string>> = {},
): Process {
  const isScript = binaryPath.endsWith(".js");
  const child = childProcess.spawn(
    isScript ? process.execPath : binaryPath,
    isScript ? [binaryPath, ...args] : [...args],
    {
      env: { ...process.env, ...env },
      stdio: ["ignore", "pipe", "pipe"],
    },
  );
  return new Process(child);
}
