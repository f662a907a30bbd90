import type { Buffer } from "node:buffer";
import type * as protocol from "@ebonypath/protocol";

/** A caller's request after it was checked and resolved. */
export interface Work {
  readonly requestId: string;
  /** The workspace of the caller's key; null on open routes. */
  readonly workspace: string | null;
  /** Digest of the caller's key, to check again before dispatch. */
  readonly keyDigest: string | null;
  readonly service: string;
  /** `service/model[:adapter]`, or the name of a plain service. */
  readonly target: string;
  readonly method: string;
  /** Path and query at the backend server. */
  readonly path: string;
  /** Headers of the caller that may be passed on. */
  readonly headers: Readonly<Record<string, string>>;
  /** Higher numbers go first at the backend server. */
  readonly priority: number;
  readonly body: Buffer;
  /** Whether the answer comes as server-sent events. */
  readonly stream: boolean;
  /** Whether it may run more than once. */
  readonly idempotent: boolean;
  /** Tokens to reserve from the workspace's rate. */
  readonly tokens: number;
  readonly tier: protocol.configuration.Tier;
  /** When the answer must have begun; monotonic, in milliseconds. */
  readonly deadline: number;
  /** Identifies the request among resends: workspace, target and body. */
  readonly fingerprint: string;
  /** Prefix of the prompt, for cache affinity. */
  readonly affinity: string | null;
}

/** Where an answer goes: an HTTP response, or a store for later. */
export interface Sink {
  /** Whether a part of an answer went out. */
  readonly started: boolean;
  /** Sends a whole answer. */
  answer(answer: CompleteAnswer): void;
  /** Begins a stream of server-sent events. */
  begin(): void;
  /** Sends a part of a stream; resolves when more may be sent. */
  write(part: Buffer): Promise<void>;
  /** Ends a stream whose terminal event was sent. */
  end(): void;
  /** Ends the request with a refusal. */
  refuse(refusal: protocol.errors.Refusal): void;
}

/** An answer that is not streamed. */
export interface CompleteAnswer {
  readonly status: number;
  /** Headers for the caller; names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}
