import type * as http from "node:http";
import type * as stream from "node:stream";
import type { errors } from "@ebonypath/protocol";

/** A backend server as a client sees it. */
export interface Server {
  readonly id: string;
  /** Origin for orders and inference, for instance `http://127.0.0.1:9000`. */
  readonly address: string;
}

/** A request on its way to a backend server. */
export interface DispatchRequest {
  readonly server: Server;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** Headers of the caller; only those of the allow-list go on. */
  readonly headers: http.IncomingHttpHeaders;
  readonly body?: Uint8Array;
  readonly requestId: string;
  /** Higher numbers go first. */
  readonly priority: number;
  /** Use a connection of its own; for work that must not be sent twice. */
  readonly dedicatedConnection: boolean;
  /**
   * Whether an answer without a request id counts as crossed. An answer with
   * the id of another request always does.
   */
  readonly requiresRequestId: boolean;
  /** Longest wait for the head of the answer, in milliseconds. */
  readonly firstByteTimeoutMs: number;
  /** Longest pause between two parts of the body, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Ends the request and closes its connection. */
  readonly signal: AbortSignal;
  /**
   * Runs once if the server closes its side too, after the request was ended
   * here: the server knows of it.
   */
  readonly onServerClose?: () => void;
}

/** Why no answer came. */
export type DispatchFault =
  | "connect"
  | "connection"
  | "first-byte-timeout"
  | "crossed"
  | "malformed"
  | "cancelled";

/** The head of an answer with its body on the way. */
export interface ServerResponse {
  readonly kind: "answered";
  readonly status: number;
  /** Headers of the allow-list, with lower-case names. */
  readonly headers: Readonly<Record<string, string>>;
  /**
   * The body. It fails with a `StepError` when it is cut or falls silent;
   * destroying it closes the connection. It must be read or destroyed.
   */
  readonly body: stream.Readable;
}

/** The server itself refused before it started; nothing was executed. */
export interface ServerRefusal {
  readonly kind: "refused";
  readonly status: number;
  /** The server's reason, for instance `not-loaded` or `overloaded`. */
  readonly code: string;
}

/** No answer that could be used. */
export interface DispatchFailure {
  readonly kind: "failed";
  readonly fault: DispatchFault;
  /** False only if no byte of the request went out. */
  readonly bytesSent: boolean;
  readonly error: errors.StepError;
}

/** What became of a request that was sent to a backend server. */
export type Dispatch = ServerResponse | ServerRefusal | DispatchFailure;

/** Whether a backend server answers on a new connection. */
export type Probe =
  | { readonly kind: "alive" }
  | { readonly kind: "dead"; readonly error: errors.StepError };
