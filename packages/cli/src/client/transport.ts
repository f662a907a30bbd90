import { Buffer } from "node:buffer";
import * as undici from "undici";

/** Largest answer that is read, in bytes. */
const MAX_ANSWER_BYTES = 256 * 1024 * 1024;
const CONNECT_TIMEOUT_MS = 2_000;

/** One call as it is sent to a server. */
export interface Request {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  /** Time for one try; the transport's own by default, in milliseconds. */
  readonly timeoutMs?: number;
}

/** What became of one call at one server. */
export type Reply =
  | { readonly kind: "answer"; readonly status: number; readonly body: unknown }
  /** Nothing was sent. */
  | { readonly kind: "unreachable"; readonly reason: string }
  /** The call was sent, but no whole answer came. */
  | { readonly kind: "lost"; readonly reason: string };

/** Sends single calls over HTTP. */
export class Transport implements AsyncDisposable {
  readonly #agent: undici.Agent;
  readonly #token: string;
  readonly #timeoutMs: number;

  constructor(token: string, timeoutMs: number, authority?: string) {
    this.#token = token;
    this.#timeoutMs = timeoutMs;
    this.#agent = new undici.Agent({
      connect: {
        timeout: CONNECT_TIMEOUT_MS,
        ...(authority === undefined ? {} : { ca: authority }),
      },
      // A connection that went silent is not met twice.
      pipelining: 0,
    });
  }

  /**
   * Sends one call once.
   *
   * @example
   * ```ts
   * const reply = await transport.send("http://127.0.0.1:7003", { method: "GET", path: "/v1/status" });
   * ```
   */
  async send(server: string, request: Request): Promise<Reply> {
    const timeoutMs = request.timeoutMs ?? this.#timeoutMs;
    try {
      const response = await undici.request(server + request.path, {
        method: request.method,
        headers: {
          authorization: `Bearer ${this.#token}`,
          ...(request.body === undefined
            ? {}
            : { "content-type": "application/json" }),
        },
        body: request.body === undefined ? null : JSON.stringify(request.body),
        dispatcher: this.#agent,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await readText(response.body);
      return parse(response.statusCode, text);
    } catch (error) {
      const reason = describe(error as Error);
      const kind = isUnsent(error as Error) ? "unreachable" : "lost";
      return { kind, reason };
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.#agent.close();
  }
}

async function readText(body: AsyncIterable<Buffer>): Promise<string> {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of body) {
    size += part.length;
    if (size > MAX_ANSWER_BYTES) throw new Error("the answer is too large");
    parts.push(part);
  }
  return Buffer.concat(parts).toString("utf8");
}

function parse(status: number, text: string): Reply {
  try {
    return { kind: "answer", status, body: JSON.parse(text) };
  } catch {
    const reason = `answered ${status} with a body that is not JSON`;
    return { kind: "lost", reason };
  }
}

/** Errors that arise before a connection stands. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function isUnsent(error: Error): boolean {
  return UNSENT_CODES.has(codeOf(error));
}

function describe(error: Error): string {
  const code = codeOf(error);
  return code === "" ? error.message : `${error.message} (${code})`;
}

function codeOf(error: Error): string {
  return "code" in error ? String(error.code) : "";
}
