import type * as http from "node:http";
import * as timers from "node:timers/promises";
import type * as accelerator from "./accelerator.ts";
import * as completion from "./completion.ts";
import * as crossing from "./crossing.ts";
import * as httpBody from "./http_body.ts";
import type * as types from "./types.ts";

/** What an engine needs of its server. */
export interface EngineOptions {
  readonly accelerator: accelerator.Accelerator;
  readonly faults: types.Faults;
  readonly generatedTokens: number;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
}

/** One inference call on its way through an engine. */
export interface Exchange {
  readonly call: types.ReceivedCall;
  readonly response: http.ServerResponse;
  /** Aborted when the caller closes the connection. */
  readonly signal: AbortSignal;
}

/** Answers OpenAI-compatible inference calls. */
export class Engine {
  readonly #options: EngineOptions;
  readonly #crossing = new crossing.Crossing<completion.Completion>();

  constructor(options: EngineOptions) {
    this.#options = options;
  }

  /** Answers a call that was admitted. */
  async answer(exchange: Exchange): Promise<void> {
    const { call, response } = exchange;
    const request = parse(call);
    if (request === undefined) {
      call.outcome = "refused";
      return httpBody.sendNotStarted(response, 400, "invalid", call.requestId);
    }
    if (!this.#options.accelerator.holds(request.model)) {
      call.outcome = "refused";
      const { requestId } = call;
      return httpBody.sendNotStarted(response, 409, "not-loaded", requestId);
    }
    const own = {
      requestId: call.requestId ?? "",
      request,
      tokens: completion.generateTokens(request, this.#options.generatedTokens),
    };
    const { firstTokenMs, faults } = this.#options;
    await pause(firstTokenMs + faults.lateMs, exchange.signal);
    const answer = faults.crossed ? await this.#crossing.swap(own) : own;
    if (request.isStream) await this.#stream(exchange, answer);
    else await this.#unary(exchange, answer);
  }

  async #unary(
    exchange: Exchange,
    answer: completion.Completion,
  ): Promise<void> {
    const { faults, tokenMs } = this.#options;
    await pause(tokenMs * (answer.tokens.length - 1), exchange.signal);
    exchange.call.outcome = "answered";
    if (faults.lostAnswers) {
      exchange.response.destroy();
      return;
    }
    httpBody.sendJson(
      exchange.response,
      200,
      completion.renderCompletion(answer),
      { "x-request-id": answer.requestId },
    );
  }

  async #stream(
    exchange: Exchange,
    answer: completion.Completion,
  ): Promise<void> {
    const { response, signal, call } = exchange;
    const { faults, tokenMs } = this.#options;
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "x-request-id": answer.requestId,
    });
    for (const [index, token] of answer.tokens.entries()) {
      if (index > 0) await pause(tokenMs, signal);
      sendEvent(response, completion.renderToken(answer, token));
      if (faults.silentStreams) return await silence(signal);
    }
    if (faults.cutStreams) return await cut(response);
    for (const event of completion.renderEnd(answer)) {
      sendEvent(response, event);
    }
    call.outcome = "answered";
    response.end("data: [DONE]\n\n");
  }
}

function parse(
  call: types.ReceivedCall,
): completion.CompletionRequest | undefined {
  try {
    return completion.parseCompletionRequest(call.path, call.body);
  } catch {
    return undefined;
  }
}

function sendEvent(response: http.ServerResponse, event: unknown): void {
  response.write(`data: ${JSON.stringify(event)}\n\n`);
}

/** Cuts a stream after all that was written has gone out. */
async function cut(response: http.ServerResponse): Promise<void> {
  await new Promise<void>((resolve) => {
    response.write(": cut\n\n", () => resolve());
  });
  response.destroy();
}

async function pause(ms: number, signal: AbortSignal): Promise<void> {
  signal.throwIfAborted();
  if (ms > 0) await timers.setTimeout(ms, undefined, { signal });
}

async function silence(signal: AbortSignal): Promise<void> {
  await new Promise<void>((resolve) => {
    signal.addEventListener("abort", () => resolve(), { once: true });
  });
}
