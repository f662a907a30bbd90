import * as undici from "undici";

/** Longest wait for an answer, in milliseconds. */
const TIMEOUT_MS = 30_000;

/** What a caller got. */
export interface Reply {
  readonly status: number;
  /** Header `ebonypath-outcome`, present on refusals. */
  readonly outcome: string | undefined;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Details of a call. */
export interface CallOptions {
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  /** A connection that is kept between calls. */
  readonly dispatcher?: undici.Dispatcher;
}

/** Sends requests as a caller would. */
export class Caller {
  readonly #origin: string;
  readonly #key: string | undefined;

  constructor(origin: string, key: string | undefined) {
    this.#origin = origin;
    this.#key = key;
  }

  /** Calls any path. */
  async call(
    method: undici.Dispatcher.HttpMethod,
    path: string,
    options: CallOptions = {},
  ): Promise<Reply> {
    const answer = await undici.request(this.#origin + path, {
      method,
      headers: {
        "content-type": "application/json",
        ...this.#key === undefined
          ? {}
          : { authorization: `Bearer ${this.#key}` },
        ...options.headers,
      },
      body: options.body === undefined ? null : JSON.stringify(options.body),
      signal: AbortSignal.timeout(TIMEOUT_MS),
      ...options.dispatcher === undefined
        ? { reset: true }
        : { dispatcher: options.dispatcher },
    });
    const outcome = answer.headers["ebonypath-outcome"];
    return {
      status: answer.statusCode,
      outcome: typeof outcome === "string" ? outcome : undefined,
      headers: answer.headers,
      text: await answer.body.text(),
    };
  }

  /** Asks a model; further members of the body may be given. */
  async chat(
    model: string,
    text: string,
    more: object = {},
    options: CallOptions = {},
  ): Promise<Reply> {
    return await this.call("POST", "/v1/chat/completions", {
      ...options,
      body: { model, messages: [{ role: "user", content: text }], ...more },
    });
  }

  /** Places an order, which must not run twice. */
  async order(orderId: string, idempotencyKey?: string): Promise<Reply> {
    return await this.call("POST", "/services/orders/orders", {
      body: { orderId },
      ...idempotencyKey === undefined
        ? {}
        : { headers: { "idempotency-key": idempotencyKey } },
    });
  }
}

/** The text of a chat answer. */
export function contentOf(reply: Reply): string {
  const body = JSON.parse(reply.text) as {
    choices?: [{ message: { content: string } }];
  };
  return body.choices?.[0].message.content ?? reply.text;
}

/** Whether a reply is the whole answer to a chat with this text. */
export function isAnswerTo(text: string, reply: Reply): boolean {
  return reply.status === 200 &&
    contentOf(reply).startsWith(`echo:${text} `);
}
