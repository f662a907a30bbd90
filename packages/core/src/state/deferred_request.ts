import type * as protocol from "@ebonypath/protocol";
import type * as types from "./types.ts";

type Answer = protocol.state.StoredResponse;
type StoredRequest = protocol.state.StoredRequest;

/** Assignment of a deferred request to a host; the log index identifies it. */
export interface Assignment extends types.Owner {
  readonly index: number;
}

/** Phase of a deferred request. */
export type DeferredRequestPhase =
  | { readonly kind: "waiting"; readonly request: StoredRequest }
  | {
    readonly kind: "assigned";
    readonly request: StoredRequest;
    readonly assignment: Assignment;
  }
  | {
    readonly kind: "ended";
    readonly endedMs: number;
    readonly answer: Answer;
    /** Last assignment; its owner may still report a late answer. */
    readonly assignment: Assignment | undefined;
  };

/** A deferred request and, once it has ended, its answer. */
export interface DeferredRequest {
  readonly id: string;
  readonly workspace: string;
  /** Digest of the caller's idempotency key. */
  readonly key: string | undefined;
  readonly requestDigest: string;
  readonly idempotent: boolean;
  readonly acceptedMs: number;
  readonly deadlineMs: number;
  /** The caller cancelled it while it was assigned. */
  readonly cancelled: boolean;
  /** A host was lost while the request was assigned to it. */
  readonly mayHaveRun: boolean;
  readonly phase: DeferredRequestPhase;
}

/** A deferred request that waits for an assignment. */
export type WaitingDeferredRequest = DeferredRequest & {
  readonly phase: Extract<DeferredRequestPhase, { kind: "waiting" }>;
};

/** A deferred request that is assigned to a host. */
export type AssignedDeferredRequest = DeferredRequest & {
  readonly phase: Extract<DeferredRequestPhase, { kind: "assigned" }>;
};

/** Returns whether a request waits for an assignment. */
export function isWaiting(
  request: DeferredRequest,
): request is WaitingDeferredRequest {
  return request.phase.kind === "waiting";
}

/** Returns whether a request is assigned to a host. */
export function isAssigned(
  request: DeferredRequest,
): request is AssignedDeferredRequest {
  return request.phase.kind === "assigned";
}
