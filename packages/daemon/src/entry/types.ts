import type { Buffer } from "node:buffer";
import type * as protocol from "@ebonypath/protocol";

/** A validated and resolved request of a caller. */
export interface Work {
  readonly requestId: string;
  /** Workspace of the caller's key; null on open routes. */
  readonly workspace: string | null;
  /** Digest of the caller's key, which is checked again before dispatch. */
  readonly keyDigest: string | null;
  readonly service: string;
  /** `service/model[:adapter]`, or the name of a plain service. */
  readonly target: string;
  readonly method: string;
  /** Path and query at the backend server. */
  readonly path: string;
  /** Headers of the caller that are forwarded. */
  readonly headers: Readonly<Record<string, string>>;
  /** Priority at the backend server; higher numbers go first. */
  readonly priority: number;
  readonly body: Buffer;
  /** Whether the answer is sent as server-sent events. */
  readonly stream: boolean;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  /** Tokens to reserve from the workspace's rate. */
  readonly tokens: number;
  readonly tier: protocol.configuration.Tier;
  /** Time by which the answer must have begun, in monotonic milliseconds. */
  readonly deadline: number;
  /** Identifies the request among resends: workspace, target and body. */
  readonly fingerprint: string;
  /** Digest of the prompt prefix, for cache affinity. */
  readonly affinity: string | null;
}

/** Destination of an answer: an HTTP response, or a store. */
export interface Sink {
  /** Whether part of an answer was sent. */
  readonly started: boolean;
  /** Sends a complete answer. */
  answer(answer: CompleteAnswer): void;
  /** Begins a stream of server-sent events. */
  begin(): void;
  /** Sends part of a stream; resolves when the sink accepts more. */
  write(part: Buffer): Promise<void>;
  /** Ends a stream whose terminal event was sent. */
  end(): void;
  /** Ends the request with a refusal. */
  refuse(refusal: protocol.errors.Refusal): void;
}

/** A non-streamed answer. */
export interface CompleteAnswer {
  readonly status: number;
  /** Headers for the caller; names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}
