import { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as protocol from "@ebonypath/protocol";
import type * as types from "./types.ts";

const { OUTCOME_HEADER, REQUEST_ID_HEADER } = protocol.errors;

/** `problem` of a refusal that was recorded when the request ran. */
const RECORDED_PROBLEM = "recorded";

/** How a caller's request ended. */
export interface RequestResult {
  readonly outcome: string;
  /** Name of the refusal; empty for an answer. */
  readonly problem: string;
}

/** Sends an answer to a connected caller. */
export class HttpSink implements types.Sink {
  readonly requestId: string;
  readonly #response: http.ServerResponse;
  #ending: RequestResult | undefined;

  constructor(response: http.ServerResponse, requestId: string) {
    this.#response = response;
    this.requestId = requestId;
  }

  /** How the request ended, once it has. */
  get requestResult(): RequestResult | undefined {
    return this.#ending;
  }

  get started(): boolean {
    return this.#response.headersSent;
  }

  answer(answer: types.CompleteAnswer): void {
    const recorded = answer.headers[OUTCOME_HEADER];
    this.#ending = recorded === undefined
      ? { outcome: "ran", problem: "" }
      : { outcome: recorded, problem: RECORDED_PROBLEM };
    this.#response.writeHead(answer.status, {
      ...answer.headers,
      "content-length": answer.body.length,
      [REQUEST_ID_HEADER]: this.requestId,
    });
    this.#response.end(answer.body);
  }

  begin(): void {
    this.#response.writeHead(200, {
      "content-type": "text/event-stream; charset=utf-8",
      "cache-control": "no-cache",
      [REQUEST_ID_HEADER]: this.requestId,
    });
  }

  async write(part: Buffer): Promise<void> {
    if (this.#response.destroyed) return;
    if (this.#response.write(part)) return;
    await new Promise<void>((resolve) => {
      this.#response.once("drain", resolve);
      this.#response.once("close", resolve);
    });
  }

  end(): void {
    this.#ending = { outcome: "ran", problem: "" };
    this.#response.end();
  }

  refuse(refusal: protocol.errors.Refusal): void {
    const { definition, outcome } = refusal;
    this.#ending = { outcome, problem: definition.name };
    if (this.#response.destroyed || this.#response.writableEnded) return;
    if (this.started) {
      this.#refuseStream(refusal);
      return;
    }
    sendRefusal(this.#response, refusal, this.requestId);
  }

  /** A stream never ends silently: its last event is the problem. */
  #refuseStream(refusal: protocol.errors.Refusal): void {
    const problem = refusal.toProblem(this.requestId);
    const data = JSON.stringify({ error: problem });
    this.#response.end(`event: error\ndata: ${data}\n\n`);
  }
}

/**
 * Answers with a problem document.
 *
 * @example
 * ```ts
 * sendRefusal(response, new errors.Refusal(errors.KEY_REFUSED, "no key"), id);
 * ```
 */
export function sendRefusal(
  response: http.ServerResponse,
  refusal: protocol.errors.Refusal,
  requestId: string,
): void {
  const { status, headers, body } = protocol.errors.problemMessage(refusal, {
    requestId,
    members: protocol.errors.callerMembers(refusal, requestId),
  });
  response.writeHead(status, headers).end(body);
}
