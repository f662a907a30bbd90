import type * as protocol from "@ebonypath/protocol";
import type * as types from "./types.ts";

type Answer = protocol.state.StoredResponse;
type StoredRequest = protocol.state.StoredRequest;

/** The assignment of a deferred request to a host; `index` tells them apart. */
export interface Assignment extends types.Owner {
  readonly index: number;
}

/** Where a deferred request stands. */
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
    /** The owner that may still report what happened. */
    readonly assignment: Assignment | undefined;
  };

/** A deferred request and, when it ended, its answer. */
export interface DeferredRequest {
  readonly id: string;
  readonly workspace: string;
  readonly key: string | undefined;
  readonly requestDigest: string;
  readonly idempotent: boolean;
  readonly acceptedMs: number;
  readonly deadlineMs: number;
  /** The caller wants no answer any more. */
  readonly cancelled: boolean;
  /** A host was lost while it had the request. */
  readonly mayHaveRun: boolean;
  readonly phase: DeferredRequestPhase;
}

/** A deferred request that is not assigned. */
export type WaitingDeferredRequest = DeferredRequest & {
  readonly phase: Extract<DeferredRequestPhase, { kind: "waiting" }>;
};

/** A deferred request that is assigned to a host. */
export type AssignedDeferredRequest = DeferredRequest & {
  readonly phase: Extract<DeferredRequestPhase, { kind: "assigned" }>;
};

/** Whether a request waits for an assignment. */
export function isWaiting(
  item: DeferredRequest,
): item is WaitingDeferredRequest {
  return item.phase.kind === "waiting";
}

/** Whether a request is assigned to a host. */
export function isAssigned(
  item: DeferredRequest,
): item is AssignedDeferredRequest {
  return item.phase.kind === "assigned";
}
