import * as process from "./process.ts";
import * as operatorClient from "./operator_client.ts";

/** Longest wait for a host to become ready, in milliseconds. */
const READY_TIMEOUT_MS = 20_000;

/** Log line of a host that serves. */
const READY = /event=ready\b/;

/** The process of a host ended before the host was ready. */
export class StartError extends Error {
  override readonly name = "StartError";

  constructor(host: string, log: string) {
    super(`${host} ended before it was ready:\n${log}`);
  }
}

/** What a host of a fleet is started with. */
export interface FleetHostOptions {
  readonly name: string;
  readonly failureDomain: string;
  readonly isControl: boolean;
  readonly daemonPath: string;
  readonly settingsFile: string;
  /** Address under which other hosts reach it. */
  readonly fleetAddress: string;
  readonly operatorToken: string;
  readonly env: Readonly<Record<string, string>>;
}

/** One host of a fleet; its process may be ended and started again. */
export class FleetHost {
  readonly options: FleetHostOptions;
  #process: process.Process | undefined;

  constructor(options: FleetHostOptions) {
    this.options = options;
  }

  get name(): string {
    return this.options.name;
  }

  get process(): process.Process {
    if (this.#process === undefined) throw new Error(`${this.name} is down`);
    return this.#process;
  }

  get isRunning(): boolean {
    return this.#process?.isRunning === true;
  }

  /** Origin for callers. */
  get callers(): string {
    return this.#origin("callers");
  }

  /** Origin for announcements of backend servers. */
  get backends(): string {
    return this.#origin("backends");
  }

  /** Origin for operators and metrics. */
  get operators(): string {
    return this.#origin("operators");
  }

  /** A client of the operators' interface. */
  get operator(): operatorClient.OperatorClient {
    const { operatorToken } = this.options;
    return new operatorClient.OperatorClient(this.operators, operatorToken);
  }

  /** Starts the process; does not wait for anything. */
  launch(): void {
    if (this.isRunning) throw new Error(`${this.name} runs already`);
    const { daemonPath, settingsFile, env } = this.options;
    this.#process = process.launch(
      daemonPath,
      ["--settings", settingsFile],
      env,
    );
  }

  /**
   * Waits until the host listens and follows a leader.
   *
   * @throws {StartError} its process has ended
   */
  async waitUntilReady(): Promise<void> {
    const { process } = this;
    const started = await process.waitFor(
      `${this.name} to be ready`,
      () => process.exit ?? process.lines.some((line) => READY.test(line)),
      READY_TIMEOUT_MS,
    );
    if (started !== true) throw new StartError(this.name, process.tail);
  }

  /** Starts the process again after its end and waits until it is ready. */
  async restart(): Promise<void> {
    await this[Symbol.asyncDispose]();
    this.launch();
    await this.waitUntilReady();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#process?.[Symbol.asyncDispose]();
  }

  #origin(listener: string): string {
    const pattern = new RegExp(
      `event=listening.* listener=${listener} address=(\\S+)`,
    );
    for (const line of this.process.lines) {
      const address = pattern.exec(line)?.[1];
      if (address !== undefined) return `http://${address}`;
    }
    throw new Error(`${this.name} has no listener ${listener} yet`);
  }
}
