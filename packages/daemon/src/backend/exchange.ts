/**
 * One request and its answer on one connection.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import type * as net from "node:net";
import * as stream from "node:stream";
import { errors } from "@ebonypath/protocol";
import type * as undici from "undici";
import * as headers from "./headers.ts";
import type * as types from "./types.ts";

type Controller = undici.Dispatcher.DispatchController;

/** Bytes of a body that are held for a slow reader. */
const BODY_BUFFER_BYTES = 64 * 1_024;

/** Longest wait for a server to close its side as well, in milliseconds. */
const HANG_UP_TIMEOUT_MS = 2_000;

/** Errors of a socket that its peer has reset. */
const RESET_CODES: ReadonlySet<string> = new Set(["ECONNRESET", "EPIPE"]);

/** An answer was given up because nothing more of it came in time. */
export class ResponseTimeoutError extends errors.StepError {
  override readonly name = "ResponseTimeoutError";
}

/** Limits and identity of an exchange. */
export interface ExchangeOptions {
  readonly peer: string;
  readonly method: string;
  readonly requestId?: string;
  readonly requiresRequestId: boolean;
  readonly firstByteTimeoutMs: number;
  readonly idleTimeoutMs: number;
  readonly signal: AbortSignal;
  /** Runs once if the server has closed its side of a try that was given up. */
  readonly onHungUp?: () => void;
  /** Runs once when the exchange is over, with whether its answer is whole. */
  readonly onClose: (isWhole: boolean) => void;
}

/** Follows one request from the queue of a connection to the end of its body. */
export class Exchange implements undici.Dispatcher.DispatchHandler {
  /** Settles with the head of the answer, or with the failure. */
  readonly result: Promise<types.ServerResponse | types.DispatchFailure>;
  readonly #options: ExchangeOptions;
  readonly #settle: (
    result: types.ServerResponse | types.DispatchFailure,
  ) => void;
  readonly #cancel = () => this.#fail("cancelled", "cancelled");
  #controller: Controller | undefined;
  #body: stream.Readable | undefined;
  #socketOf: () => net.Socket | undefined = () => undefined;
  /** Ends the wait for the server to close its side. */
  #hungUp: ((isConfirmed: boolean) => void) | undefined;
  #timer: NodeJS.Timeout | undefined;
  #bytesSent = false;
  #isOver = false;

  constructor(options: ExchangeOptions) {
    this.#options = options;
    const { promise, resolve } = createDeferred();
    this.result = promise;
    this.#settle = resolve;
    if (options.signal.aborted) this.#cancel();
    else options.signal.addEventListener("abort", this.#cancel);
  }

  /** Tells how to find the socket once the request has begun. */
  useSocket(socketOf: () => net.Socket | undefined): void {
    this.#socketOf = socketOf;
  }

  /** Called when a connection is there, before the first byte is written. */
  onRequestStart(controller: Controller): void {
    if (this.#isOver) {
      controller.abort(new Error("the request ended before it was sent"));
      return;
    }
    this.#controller = controller;
    this.#bytesSent = true;
    this.#arm(
      this.#options.firstByteTimeoutMs,
      () => this.#fail("first-byte-timeout", "no answer in time"),
    );
  }

  onResponseStart(
    _controller: Controller,
    status: number,
    received: http.IncomingHttpHeaders,
  ): void {
    if (status < 200 || this.#isOver) return;
    const fault = this.#faultOf(status, received);
    if (fault !== undefined) return this.#fail(fault, `${fault} answer`);
    const body = this.#createBody();
    this.#body = body;
    this.#armIdle();
    const kept = headers.answerHeaders(received);
    if (received[headers.NOT_STARTED_HEADER] === "true") {
      kept[headers.NOT_STARTED_HEADER] = "true";
    }
    this.#settle({ kind: "answered", status, headers: kept, body });
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    if (this.#body === undefined || this.#isOver) return;
    if (this.#body.push(chunk)) return this.#armIdle();
    clearTimeout(this.#timer);
    controller.pause();
  }

  onResponseEnd(): void {
    if (this.#isOver) {
      this.#hungUp?.(true);
      return;
    }
    this.#close();
    this.#body?.push(null);
    this.#options.onClose(true);
  }

  onResponseError(_controller: Controller, cause: Error): void {
    if (!this.#isOver) {
      const fault = this.#bytesSent ? "connection" : "connect";
      this.#fail(fault, cause.message, cause);
    }
  }

  /** Fails the exchange for a reason found before it had a connection. */
  failToConnect(cause: Error): void {
    if (!this.#isOver) this.#fail("connect", cause.message, cause);
  }

  #faultOf(
    status: number,
    received: http.IncomingHttpHeaders,
  ): types.DispatchFault | undefined {
    const echoed = received[headers.REQUEST_ID_HEADER];
    const { requestId, requiresRequestId } = this.#options;
    const isMissing = echoed === undefined && !requiresRequestId;
    if (!isMissing && echoed !== requestId) return "crossed";
    const hasNoBody = status === 204 || status === 304 ||
      this.#options.method === "HEAD";
    const hasFraming = received["content-length"] !== undefined ||
      received["transfer-encoding"] !== undefined;
    return hasNoBody || hasFraming ? undefined : "malformed";
  }

  #createBody(): stream.Readable {
    const body = new stream.Readable({
      highWaterMark: BODY_BUFFER_BYTES,
      read: () => this.#resume(),
      destroy: (error, callback) => {
        if (!this.#isOver) this.#cancel();
        callback(error);
      },
    });
    // A body that fails before anyone reads it must not end the process.
    body.on("error", () => {});
    return body;
  }

  #resume(): void {
    if (this.#isOver || this.#controller?.paused !== true) return;
    this.#armIdle();
    this.#controller.resume();
  }

  #armIdle(): void {
    this.#arm(
      this.#options.idleTimeoutMs,
      () => this.#fallSilent(),
    );
  }

  #fallSilent(): void {
    const { peer } = this.#options;
    const error = new ResponseTimeoutError(
      "dispatch",
      peer,
      "the answer fell silent",
    );
    this.#end("connection", error);
  }

  #arm(ms: number, action: () => void): void {
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
    if (this.#isOver) return;
    const bytesSent = this.#bytesSent;
    this.#close();
    this.#settle({ kind: "failed", fault, bytesSent, error });
    this.#body?.destroy(error);
    this.#hangUp(fault, error);
  }

  /**
   * Closes the sending side first: a server that hears it closes its own, and
   * so tells that it knows. Over a silent connection nothing comes back.
   */
  #hangUp(fault: types.DispatchFault, error: errors.StepError): void {
    const socket = this.#socketOf();
    const isOpen = this.#bytesSent && socket?.destroyed === false;
    if (!isOpen || fault === "crossed" || fault === "malformed") {
      return this.#abandon(error);
    }
    const timer = setTimeout(
      () => this.#hungUp?.(false),
      HANG_UP_TIMEOUT_MS,
    );
    const confirm = () => this.#hungUp?.(true);
    const fail = (cause: NodeJS.ErrnoException) =>
      this.#hungUp?.(RESET_CODES.has(cause.code ?? ""));
    this.#hungUp = (isConfirmed) => {
      this.#hungUp = undefined;
      clearTimeout(timer);
      socket.off("end", confirm);
      socket.off("error", fail);
      this.#abandon(error);
      socket.destroy();
      if (isConfirmed) this.#options.onHungUp?.();
    };
    socket.on("end", confirm);
    socket.on("error", fail);
    socket.end();
  }

  #abandon(error: errors.StepError): void {
    this.#controller?.abort(error);
    this.#options.onClose(false);
  }

  #close(): void {
    this.#isOver = true;
    clearTimeout(this.#timer);
    this.#options.signal.removeEventListener("abort", this.#cancel);
  }
}

function createDeferred() {
  type Result = types.ServerResponse | types.DispatchFailure;
  let resolve!: (result: Result) => void;
  const promise = new Promise<Result>((settle) => resolve = settle);
  return { promise, resolve };
}
