/**
 * Types of the queue of waiting requests.
 *
 * @module
 */

/** A request that waits to be dispatched. */
export type WaitingRequest = {
  readonly id: string;
  readonly workspace: string;
  /** Part of the service that the workspace is due, relative to the others. */
  readonly weight: number;
  /** Tokens that the request reserves. */
  readonly tokens: number;
  /** Urgency of the price tier; 0 is the most urgent. */
  readonly urgency: number;
  /** When the request began to wait. */
  readonly queuedAt: number;
  /** Latest time of dispatch; from then on the request is refused. */
  readonly deadline: number;
};

/** Bounds of a queue, in requests. */
export type QueueLimits = {
  readonly maxPerWorkspace: number;
  readonly maxTotal: number;
};

/** What came of adding a request. */
export type AddResult =
  | { readonly kind: "queued" }
  /** The workspace has too many waiting requests at this host. */
  | { readonly kind: "workspace-full" }
  /** The host has too many waiting requests. */
  | { readonly kind: "full" }
  /** The request could not be dispatched by its deadline. */
  | { readonly kind: "too-late"; readonly estimatedWaitMs: number };

/** What to do about a request that is offered for dispatch. */
export type DispatchDecision =
  /** It is dispatched now. */
  | "take"
  /** It stays; the next one of the same workspace may go before it. */
  | "next-request"
  /** It stays, and so does the rest of its workspace, as for lack of tokens. */
  | "next-workspace"
  /** Nothing can be dispatched now. */
  | "stop";

/** Requests of one workspace that wait. */
export type WorkspaceBacklog = {
  readonly requests: number;
  /** Tokens of all of them together. */
  readonly tokens: number;
  /** The one that would be dispatched first. */
  readonly first: WaitingRequest;
};
