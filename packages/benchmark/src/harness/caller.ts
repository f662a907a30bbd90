import { Buffer } from "node:buffer";
import * as undici from "undici";

/** Longest wait for an answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 40_000;
/** Most connections of a caller unless told otherwise. */
const CONNECTIONS = 512;
const CHAT_PATH = "/v1/chat/completions";
/** Begins the line of an event that carries data. */
const DATA = Buffer.from("data: ");

/** How a request ended. */
export interface Answer {
  /** 0 where no answer came. */
  readonly status: number;
  /** `outcome` of a refusal. */
  readonly outcome: string | undefined;
  readonly text: string;
}

/** What is sent besides the path. */
export interface Sending {
  readonly method?: "GET" | "POST";
  readonly body?: object;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Names the statuses of answers, but for the expected ones. */
export function statuses(
  ended: readonly { readonly result: Answer }[],
  expected: readonly number[],
): string {
  const others = new Map<number, number>();
  for (const { result: { status } } of ended) {
    if (expected.includes(status)) continue;
    others.set(status, (others.get(status) ?? 0) + 1);
  }
  const told = [...others].map(([status, count]) => `${status}:${count}`);
  return told.join(",") || "none";
}

/** Calls one origin as a workspace does. */
export class Caller {
  readonly #pool: undici.Pool;
  readonly #headers: Readonly<Record<string, string>>;
  #sent = 0;

  constructor(origin: string, key: string, connections = CONNECTIONS) {
    this.#pool = new undici.Pool(origin, { connections });
    this.#headers = {
      "authorization": `Bearer ${key}`,
      "content-type": "application/json",
    };
  }

  /** Sends a request and waits for the whole answer; never throws. */
  async send(path: string, sending: Sending = {}): Promise<Answer> {
    const { method = "POST", body, headers } = sending;
    try {
      const answer = await this.#pool.request({
        method,
        path,
        headers: { ...this.#headers, ...headers },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
      });
      return await wholeAnswer(answer);
    } catch (error) {
      return noAnswer(error);
    }
  }

  /** Asks a model for a short answer. */
  async chat(model: string, maxTokens = 4): Promise<Answer> {
    return await this.send(CHAT_PATH, this.#question(model, maxTokens));
  }

  /**
   * Reads a streamed answer until it ends or is given up; never throws.
   *
   * @param onEvents Called for each part with the number of its events.
   * @returns how it ended; the text is that of a refusal
   */
  async stream(
    model: string,
    maxTokens: number,
    signal: AbortSignal,
    onEvents: (events: number) => void,
  ): Promise<Answer> {
    const { body, headers } = this.#question(model, maxTokens);
    try {
      const answer = await this.#pool.request({
        method: "POST",
        path: CHAT_PATH,
        headers: { ...this.#headers, ...headers },
        body: JSON.stringify({ ...body, stream: true }),
        signal,
      });
      if (answer.statusCode !== 200) return await wholeAnswer(answer);
      for await (const part of answer.body) onEvents(countEvents(part));
      return { status: answer.statusCode, outcome: undefined, text: "" };
    } catch (error) {
      return noAnswer(error);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#pool.destroy();
  }

  /** The next question to a model; no two are alike. */
  #question(model: string, maxTokens: number) {
    this.#sent += 1;
    const message = { role: "user", content: `question ${this.#sent}` };
    return {
      body: { model, messages: [message], "max_tokens": maxTokens },
      headers: { "x-request-id": `bench-${this.#sent}` },
    };
  }
}

async function wholeAnswer(
  answer: undici.Dispatcher.ResponseData,
): Promise<Answer> {
  const text = await answer.body.text();
  const outcome = answer.headers["ebonypath-outcome"];
  return {
    status: answer.statusCode,
    outcome: typeof outcome === "string" ? outcome : undefined,
    text,
  };
}

function noAnswer(error: unknown): Answer {
  return { status: 0, outcome: undefined, text: String(error) };
}

function countEvents(part: Buffer): number {
  let events = 0;
  let at = part.indexOf(DATA);
  while (at >= 0) {
    events += 1;
    at = part.indexOf(DATA, at + DATA.length);
  }
  return events;
}
