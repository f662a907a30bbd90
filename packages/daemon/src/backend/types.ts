import type * as http from "node:http";
import type * as stream from "node:stream";
import type { errors } from "@ebonypath/protocol";

/** Identity and address of a backend server. */
export interface Server {
  readonly id: string;
  /** Origin for orders and inference, for example `http://127.0.0.1:9000`. */
  readonly address: string;
}

/** A request to send to a backend server. */
export interface DispatchRequest {
  readonly server: Server;
  readonly method: string;
  /** Path including the query string. */
  readonly path: string;
  /** Headers of the caller; only those on the allowlist are forwarded. */
  readonly headers: http.IncomingHttpHeaders;
  readonly body?: Uint8Array;
  readonly requestId: string;
  /** Requests with higher numbers run first. */
  readonly priority: number;
  /**
   * Whether to use a new connection instead of a pooled one, for requests that
   * must not be sent twice.
   */
  readonly dedicatedConnection: boolean;
  /**
   * Whether a response without a request id fails with the fault `crossed`. A
   * response with the id of another request always does.
   */
  readonly requiresRequestId: boolean;
  /** Timeout for the response headers, in milliseconds. */
  readonly firstByteTimeoutMs: number;
  /** Timeout between two chunks of the response body, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Cancels the request and closes its connection. */
  readonly signal: AbortSignal;
  /**
   * Called once if the server closes its side of the connection after the
   * client ended the request, which confirms that the server noticed.
   */
  readonly onServerClose?: () => void;
}

/**
 * Why a request got no usable response. `crossed` means that the response has
 * the id of another request, or none although one is required. A refusal on a
 * connection that carried other requests requires one.
 */
export type DispatchFault =
  | "connect"
  | "connection"
  | "first-byte-timeout"
  | "crossed"
  | "malformed"
  | "cancelled";

/** A response whose headers have arrived and whose body is being received. */
export interface ServerResponse {
  readonly kind: "answered";
  readonly status: number;
  /** Headers on the allowlist, with lower-case names. */
  readonly headers: Readonly<Record<string, string>>;
  /**
   * The body. It fails with a `StepError` if it is truncated or reaches the
   * idle timeout. Destroying it closes the connection. It must be read to the
   * end or destroyed.
   */
  readonly body: stream.Readable;
}

/** The server rejected the request before it executed any part of it. */
export interface ServerRefusal {
  readonly kind: "refused";
  readonly status: number;
  /** Reason given by the server, for example `not-loaded` or `overloaded`. */
  readonly code: string;
}

/** The request failed without a usable response. */
export interface DispatchFailure {
  readonly kind: "failed";
  readonly fault: DispatchFault;
  /** False only if no byte of the request was sent. */
  readonly bytesSent: boolean;
  readonly error: errors.StepError;
}

/** Result of sending a request to a backend server. */
export type Dispatch = ServerResponse | ServerRefusal | DispatchFailure;

/** Whether a backend server responds on a new connection. */
export type Probe =
  | { readonly kind: "alive" }
  | { readonly kind: "dead"; readonly error: errors.StepError };
