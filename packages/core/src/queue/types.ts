/**
 * Types of the request queue.
 *
 * @module
 */

/** A request that is waiting for dispatch. */
export type WaitingRequest = {
  readonly id: string;
  readonly workspace: string;
  /** Fair-queueing weight of the workspace. */
  readonly weight: number;
  /** Tokens that the request reserves. */
  readonly tokens: number;
  /** Urgency of the price tier; 0 is the most urgent. */
  readonly urgency: number;
  /** Time at which the request was queued. */
  readonly queuedAt: number;
  /** Dispatch deadline; from this time on the request is refused. */
  readonly deadline: number;
};

/** Maximum queue lengths, in requests. */
export type QueueLimits = {
  readonly maxPerWorkspace: number;
  readonly maxTotal: number;
};

/** Result of adding a request to the queue. */
export type AddResult =
  | { readonly kind: "queued" }
  /** The workspace has too many waiting requests on this host. */
  | { readonly kind: "workspace-full" }
  /** The host has too many waiting requests. */
  | { readonly kind: "full" }
  /** The request is not expected to be dispatched by its deadline. */
  | { readonly kind: "too-late"; readonly estimatedWaitMs: number };

/** What to do with a request that is offered for dispatch. */
export type DispatchDecision =
  /** Dispatch it now. */
  | "take"
  /** Keep it, and offer the next request of the same workspace. */
  | "next-request"
  /** Skip the rest of its workspace, for example because tokens are lacking. */
  | "next-workspace"
  /** Stop: nothing can be dispatched now. */
  | "stop";

/** Summary of the waiting requests of one workspace. */
export type WorkspaceBacklog = {
  readonly requests: number;
  /** Tokens reserved by all of them. */
  readonly tokens: number;
  /** Request that is next in dispatch order. */
  readonly first: WaitingRequest;
};
