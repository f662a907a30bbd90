/**
 * Where the servers and the token of a command come from.
 *
 * @module
 */
import * as fs from "node:fs/promises";
import * as clients from "./client/mod.ts";
import * as failure from "./failure.ts";

/** Time for one try at one server, in milliseconds. */
const TRY_TIMEOUT_MS = 10_000;
/** Time for all tries of one call, in milliseconds. */
const CALL_TIMEOUT_MS = 30_000;

/** What the command line and the environment say about the connection. */
export interface ConnectionOptions {
  /** Origins; none stands for the environment. */
  readonly servers: readonly string[];
  readonly tokenFile: string | undefined;
  readonly authorityFile: string | undefined;
  /** Time for all tries of one call, in milliseconds. */
  readonly timeout: string | undefined;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/** The connection of one command, opened when it is first needed. */
export class Connection implements AsyncDisposable {
  readonly #options: ConnectionOptions;
  #client: Promise<clients.Client> | undefined;
  #transport: clients.Transport | undefined;

  constructor(options: ConnectionOptions) {
    this.#options = options;
  }

  /**
   * Gives the client.
   *
   * @throws {failure.UsageError} when no server or no usable token is given.
   * @example
   * ```ts
   * const client = await connection.client();
   * ```
   */
  client(): Promise<clients.Client> {
    this.#client ??= this.#open();
    return this.#client;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#transport?.[Symbol.asyncDispose]();
  }

  async #open(): Promise<clients.Client> {
    const { environment, tokenFile, authorityFile } = this.#options;
    const servers = serversOf(this.#options);
    const totalMs = parseTimeout(this.#options.timeout);
    const token = await readSetting(
      tokenFile ?? (environment["EBONYPATH_TOKEN_FILE"] || undefined),
      "--token-file or EBONYPATH_TOKEN_FILE",
    );
    const caFile = authorityFile ??
      (environment["EBONYPATH_CA_FILE"] || undefined);
    const authority = caFile === undefined
      ? undefined
      : await readSetting(caFile, "--ca-file or EBONYPATH_CA_FILE");
    const tryMs = Math.min(TRY_TIMEOUT_MS, totalMs);
    this.#transport = new clients.Transport(token, tryMs, authority);
    return new clients.Client(this.#transport, { servers, totalMs });
  }
}

function serversOf(options: ConnectionOptions): string[] {
  const fromEnvironment = options.environment["EBONYPATH_SERVER"] || undefined;
  const texts = options.servers.length > 0
    ? options.servers
    : fromEnvironment?.split(",") ?? [];
  if (texts.length === 0) {
    throw new failure.UsageError(
      "no server is given",
      "name the operators' listener of a host: --server http://10.0.1.10:7003, or EBONYPATH_SERVER",
    );
  }
  return texts.map(parseServer);
}

function parseServer(text: string): string {
  const url = URL.canParse(text) ? new URL(text) : undefined;
  const isOrigin = url !== undefined && /^https?:$/.test(url.protocol) &&
    url.pathname === "/" && url.search === "";
  if (isOrigin) return url.origin;
  throw new failure.UsageError(
    `server "${text}" is not an origin`,
    "write it as http://10.0.1.10:7003",
  );
}

function parseTimeout(text: string | undefined): number {
  if (text === undefined) return CALL_TIMEOUT_MS;
  const seconds = Number(text);
  if (seconds > 0 && seconds <= 3_600) return seconds * 1_000;
  throw new failure.UsageError(
    `--timeout "${text}" is not a time`,
    "give a number of seconds, at most 3600",
  );
}

async function readSetting(
  file: string | undefined,
  name: string,
): Promise<string> {
  if (file === undefined) {
    throw new failure.UsageError(
      "no operator token is given",
      `name the file that holds it: ${name}`,
    );
  }
  try {
    const text = (await fs.readFile(file, "utf8")).trim();
    if (text !== "") return text;
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? "unknown error";
    throw new failure.UsageError(`${file} can't be read: ${code}`, name);
  }
  throw new failure.UsageError(`${file} is empty`, name);
}
