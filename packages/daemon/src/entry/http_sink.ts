import { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as protocol from "@ebonypath/protocol";
import type * as types from "./types.ts";

const { OUTCOME_HEADER, REQUEST_ID_HEADER } = protocol.errors;

/** `problem` of a refusal replayed from a stored answer. */
const RECORDED_PROBLEM = "recorded";

/** Result of a caller's request, for the metrics. */
export interface RequestResult {
  readonly outcome: string;
  /** Name of the refusal; empty for an answer. */
  readonly problem: string;
}

/** Sends an answer to a connected caller over HTTP. */
export class HttpSink implements types.Sink {
  readonly requestId: string;
  readonly #response: http.ServerResponse;
  #requestResult: RequestResult | undefined;

  constructor(response: http.ServerResponse, requestId: string) {
    this.#response = response;
    this.requestId = requestId;
  }

  /** Result of the request; undefined until it has ended. */
  get requestResult(): RequestResult | undefined {
    return this.#requestResult;
  }

  get started(): boolean {
    return this.#response.headersSent;
  }

  answer(answer: types.CompleteAnswer): void {
    // A host that stops has refused the request meanwhile.
    if (this.#response.headersSent) return;
    const recorded = answer.headers[OUTCOME_HEADER];
    this.#requestResult = recorded === undefined
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
    this.#requestResult = { outcome: "ran", problem: "" };
    this.#response.end();
  }

  refuse(refusal: protocol.errors.Refusal): void {
    const { definition, outcome } = refusal;
    this.#requestResult = { outcome, problem: definition.name };
    if (this.#response.destroyed || this.#response.writableEnded) return;
    if (this.started) {
      this.#refuseStream(refusal);
      return;
    }
    sendRefusal(this.#response, refusal, this.requestId);
  }

  /** Ends a started stream with an error event that carries the problem. */
  #refuseStream(refusal: protocol.errors.Refusal): void {
    const problem = refusal.toProblem(this.requestId);
    const data = JSON.stringify({ error: problem });
    this.#response.end(`event: error\ndata: ${data}\n\n`);
  }
}

/**
 * Sends a refusal as a problem document.
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
  const { status, headers, body } = protocol.errors.problemResponse(refusal, {
    requestId,
    members: protocol.errors.callerExtensionMembers(refusal, requestId),
  });
  response.writeHead(status, headers).end(body);
}
