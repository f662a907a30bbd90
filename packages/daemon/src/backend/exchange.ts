/**
 * One request and its response on one connection.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import type * as net from "node:net";
import * as stream from "node:stream";
import * as core from "@ebonypath/core";
import { errors } from "@ebonypath/protocol";
import type * as undici from "undici";
import * as headers from "./headers.ts";
import type * as types from "./types.ts";

type Controller = undici.Dispatcher.DispatchController;

/** High-water mark of the response body buffer, in bytes. */
const BODY_BUFFER_BYTES = 64 * 1_024;

/** Timeout for the server to close its side, in milliseconds. */
const SERVER_CLOSE_TIMEOUT_MS = 2_000;

/** Error codes of a socket that was reset by its peer. */
const RESET_CODES: ReadonlySet<string> = new Set(["ECONNRESET", "EPIPE"]);

/** The rest of a response did not arrive in time. */
export class ResponseTimeoutError extends errors.StepError {
  override readonly name = "ResponseTimeoutError";
}

/** Identity, limits and callbacks of an exchange. */
export interface ExchangeOptions {
  readonly peer: string;
  readonly method: string;
  readonly requestId?: string;
  readonly requiresRequestId: boolean;
  /** Whether the connection carried other requests before. */
  readonly isConnectionReused?: boolean;
  readonly firstByteTimeoutMs: number;
  readonly idleTimeoutMs: number;
  readonly signal: AbortSignal;
  /** Called once if the server closes its side after the exchange failed. */
  readonly onServerClose?: () => void;
  /** Called once at the end, with whether the response is complete. */
  readonly onClose: (isComplete: boolean) => void;
}

/** Handles one request from its dispatch to the end of the response body. */
export class Exchange implements undici.Dispatcher.DispatchHandler {
  /** Resolves with the response when its headers arrive, or a failure. */
  readonly result: Promise<types.ServerResponse | types.DispatchFailure>;
  readonly #options: ExchangeOptions;
  readonly #settle: (
    result: types.ServerResponse | types.DispatchFailure,
  ) => void;
  readonly #cancel = () => this.#fail("cancelled", "cancelled");
  #controller: Controller | undefined;
  #body: stream.Readable | undefined;
  #getSocket: () => net.Socket | undefined = () => undefined;
  /** Ends the wait for the server to close its side of the connection. */
  #endServerCloseWait: ((isConfirmed: boolean) => void) | undefined;
  #timer: NodeJS.Timeout | undefined;
  #bytesSent = false;
  #interimResponses = 0;
  #isFinished = false;

  constructor(options: ExchangeOptions) {
    this.#options = options;
    const { promise, resolve } = createDeferredResult();
    this.result = promise;
    this.#settle = resolve;
    if (options.signal.aborted) this.#cancel();
    else options.signal.addEventListener("abort", this.#cancel);
  }

  /** Sets the function that returns the socket of the connection. */
  setSocketProvider(getSocket: () => net.Socket | undefined): void {
    this.#getSocket = getSocket;
  }

  /** Called once connected, before the first byte is written. */
  onRequestStart(controller: Controller): void {
    if (this.#isFinished) {
      controller.abort(new Error("the request ended before it was sent"));
      return;
    }
    this.#controller = controller;
    this.#bytesSent = true;
    this.#startTimer(
      this.#options.firstByteTimeoutMs,
      () => this.#fail("first-byte-timeout", "no answer in time"),
    );
  }

  onResponseStart(
    _controller: Controller,
    status: number,
    responseHeaders: http.IncomingHttpHeaders,
  ): void {
    if (this.#isFinished) return;
    if (core.gateway.isInterimStatus(status)) return this.#countInterim();
    const fault = this.#validateHead(status, responseHeaders);
    if (fault !== undefined) return this.#fail(fault, `${fault} answer`);
    const body = this.#createBody();
    this.#body = body;
    this.#startIdleTimer();
    const forwarded = headers.filterResponseHeaders(responseHeaders);
    if (responseHeaders[headers.NOT_STARTED_HEADER] === "true") {
      forwarded[headers.NOT_STARTED_HEADER] = "true";
    }
    this.#settle({ kind: "answered", status, headers: forwarded, body });
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    if (this.#body === undefined || this.#isFinished) return;
    if (this.#body.push(chunk)) return this.#startIdleTimer();
    clearTimeout(this.#timer);
    controller.pause();
  }

  onResponseEnd(): void {
    if (this.#isFinished) {
      this.#endServerCloseWait?.(true);
      return;
    }
    this.#finish();
    this.#body?.push(null);
    this.#options.onClose(true);
  }

  onResponseError(_controller: Controller, cause: Error): void {
    if (!this.#isFinished) {
      const fault = this.#bytesSent ? "connection" : "connect";
      this.#fail(fault, cause.message, cause);
    }
  }

  /** Fails an exchange that could not be dispatched. */
  failBeforeConnection(cause: Error): void {
    if (!this.#isFinished) this.#fail("connect", cause.message, cause);
  }

  #countInterim(): void {
    this.#interimResponses += 1;
    if (this.#interimResponses <= core.gateway.MAX_INTERIM_RESPONSES) return;
    this.#fail("malformed", "too many interim answers");
  }

  #validateHead(
    status: number,
    responseHeaders: http.IncomingHttpHeaders,
  ): types.DispatchFault | undefined {
    if (!core.gateway.isAnswerStatus(status)) return "malformed";
    const echoed = responseHeaders[headers.REQUEST_ID_HEADER];
    const { isConnectionReused, requestId, requiresRequestId } = this.#options;
    // A repeated refusal would let a request that runs be sent again.
    const mayBeRepeated = isConnectionReused === true &&
      responseHeaders[headers.NOT_STARTED_HEADER] === "true";
    const isOptional = !requiresRequestId && !mayBeRepeated;
    const isMissing = echoed === undefined && isOptional;
    if (!isMissing && echoed !== requestId) return "crossed";
    const hasNoBody = status === 204 || status === 304 ||
      this.#options.method === "HEAD";
    const hasLength = responseHeaders["content-length"] !== undefined ||
      responseHeaders["transfer-encoding"] !== undefined;
    return hasNoBody || hasLength ? undefined : "malformed";
  }

  #createBody(): stream.Readable {
    const body = new stream.Readable({
      highWaterMark: BODY_BUFFER_BYTES,
      read: () => this.#resume(),
      destroy: (error, callback) => {
        if (!this.#isFinished) this.#cancel();
        callback(error);
      },
    });
    // An error without a listener would end the process; the body may fail
    // before anyone reads it.
    body.on("error", () => {});
    return body;
  }

  #resume(): void {
    if (this.#isFinished || this.#controller?.paused !== true) return;
    this.#startIdleTimer();
    this.#controller.resume();
  }

  #startIdleTimer(): void {
    this.#startTimer(
      this.#options.idleTimeoutMs,
      () => this.#failIdle(),
    );
  }

  #failIdle(): void {
    const { peer } = this.#options;
    const error = new ResponseTimeoutError(
      "dispatch",
      peer,
      "the answer fell silent",
    );
    this.#end("connection", error);
  }

  #startTimer(ms: number, action: () => void): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(action, ms);
  }

  #fail(
    fault: types.DispatchFault,
    message: string,
    cause?: unknown,
  ): void {
    const { peer } = this.#options;
    this.#end(fault, new errors.StepError("dispatch", peer, message, cause));
  }

  #end(fault: types.DispatchFault, error: errors.StepError): void {
    if (this.#isFinished) return;
    const bytesSent = this.#bytesSent;
    this.#finish();
    this.#settle({ kind: "failed", fault, bytesSent, error });
    this.#body?.destroy(error);
    this.#closeGracefully(fault, error);
  }

  /**
   * Half-closes the connection first. A server that receives the FIN closes its
   * own side, which confirms that it noticed the end of the request. On a
   * connection that no longer delivers data, no confirmation arrives.
   */
  #closeGracefully(fault: types.DispatchFault, error: errors.StepError): void {
    const socket = this.#getSocket();
    const isOpen = this.#bytesSent && socket?.destroyed === false;
    if (!isOpen || fault === "crossed" || fault === "malformed") {
      return this.#abort(error);
    }
    const timer = setTimeout(
      () => this.#endServerCloseWait?.(false),
      SERVER_CLOSE_TIMEOUT_MS,
    );
    const onEnd = () => this.#endServerCloseWait?.(true);
    const onError = (cause: NodeJS.ErrnoException) =>
      this.#endServerCloseWait?.(RESET_CODES.has(cause.code ?? ""));
    this.#endServerCloseWait = (isConfirmed) => {
      this.#endServerCloseWait = undefined;
      clearTimeout(timer);
      socket.off("end", onEnd);
      socket.off("error", onError);
      this.#abort(error);
      socket.destroy();
      if (isConfirmed) this.#options.onServerClose?.();
    };
    socket.on("end", onEnd);
    socket.on("error", onError);
    socket.end();
  }

  #abort(error: errors.StepError): void {
    this.#controller?.abort(error);
    this.#options.onClose(false);
  }

  #finish(): void {
    this.#isFinished = true;
    clearTimeout(this.#timer);
    this.#options.signal.removeEventListener("abort", this.#cancel);
  }
}

function createDeferredResult() {
  type Result = types.ServerResponse | types.DispatchFailure;
  let resolve!: (result: Result) => void;
  const promise = new Promise<Result>((settle) => resolve = settle);
  return { promise, resolve };
}
