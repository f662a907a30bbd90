import { Buffer, isUtf8 } from "node:buffer";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as storedRequest from "./stored_request.ts";
import type * as types from "./types.ts";

/** Content type of an answer without a content-type header. */
const DEFAULT_CONTENT_TYPE = "application/octet-stream";

/** Collects an answer in the form in which it is stored. */
export class CollectingSink implements types.Sink {
  readonly #maxBytes: number;
  #answer: protocol.state.StoredResponse | undefined;
  #original: types.CompleteAnswer | undefined;
  #refusal: protocol.errors.Refusal | undefined;

  /** @param maxBytes Largest stored body, in bytes of its JSON encoding. */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  get started(): boolean {
    return this.#answer !== undefined;
  }

  /** The collected answer or refusal, in stored form. */
  get collected(): protocol.state.StoredResponse {
    if (this.#answer === undefined) {
      throw new TypeError("the request has not ended");
    }
    return this.#answer;
  }

  answer(answer: types.CompleteAnswer): void {
    this.#original = answer;
    const encoded = encode(answer.body);
    if (storedRequest.jsonBytes(encoded.body) > this.#maxBytes) {
      this.#answer = core.state.refusalAnswer(answerNotStored(this.#maxBytes));
      return;
    }
    this.#answer = {
      status: answer.status,
      contentType: answer.headers["content-type"] ?? DEFAULT_CONTENT_TYPE,
      ...encoded,
      outcome: "ran",
    };
  }

  /** Forwards the original answer or refusal to a connected caller. */
  forwardTo(sink: types.Sink): void {
    if (this.#refusal !== undefined) sink.refuse(this.#refusal);
    else if (this.#original !== undefined) sink.answer(this.#original);
    else throw new TypeError("the request has not ended");
  }

  begin(): void {
    throw new TypeError("a stored answer is never streamed");
  }

  write(_part: Buffer): Promise<void> {
    throw new TypeError("a stored answer is never streamed");
  }

  end(): void {
    throw new TypeError("a stored answer is never streamed");
  }

  refuse(refusal: protocol.errors.Refusal): void {
    this.#refusal = refusal;
    this.#answer = core.state.refusalAnswer(refusal);
  }
}

/** Sends a stored answer; a refusal carries its original outcome. */
export function replay(
  answer: protocol.state.StoredResponse,
  sink: types.Sink,
): void {
  const { outcome, refused, contentType, status, body, encoding } = answer;
  const headers = { "content-type": contentType };
  sink.answer({
    status,
    headers: outcome === "ran" && refused === undefined
      ? headers
      : { ...headers, [protocol.errors.OUTCOME_HEADER]: outcome },
    body: Buffer.from(body, encoding ?? "utf8"),
  });
}

function answerNotStored(maxBytes: number): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.ANSWER_NOT_KEPT,
    `it takes more than ${maxBytes} bytes`,
  );
}

/** Stores UTF-8 text unchanged and any other body in base64. */
function encode(
  body: Buffer,
): Pick<protocol.state.StoredResponse, "body" | "encoding"> {
  if (isUtf8(body)) return { body: body.toString("utf8") };
  return { body: body.toString("base64"), encoding: "base64" };
}
