/**
 * Types that are shared by the modules of an entry host, and the interface to
 * the protocol that callers and backend servers use.
 *
 * @module
 */
import type * as http from "node:http";
import type { gateway } from "@ebonypath/protocol";
import type * as rateGate from "./rate_gate.ts";
import type * as requestIdentity from "./request_identity.ts";

/** Metadata in the headers of a caller's request. */
export type RequestMetadata = {
  /** Request id; absent when the caller sent none. */
  readonly id: string | undefined;
  /** Time that the caller will wait, in milliseconds. */
  readonly deadlineMs: number | undefined;
  /** API key. */
  readonly key: string | undefined;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** Prompt tokens plus the limit of output tokens; absent when not stated. */
  readonly tokens: number | undefined;
  /** Prompt tokens; absent when not stated. */
  readonly promptTokens?: number | undefined;
  /** Tokens of the parts of the prompt that other requests may share. */
  readonly sharedTokens?: number | undefined;
  /** Identifies the part of the prompt that is shared with other requests. */
  readonly prefixKey: string | undefined;
  /** Ids of the parts of the prompt that other requests may share, in order. */
  readonly promptParts: readonly string[];
  /** Last event that the caller received of an interrupted stream. */
  readonly lastEventId: string | undefined;
  /** Id of the request that brought the first event of that stream. */
  readonly resumedRequestId: string | undefined;
};

/** Values that the entry host adds to a request for a backend server. */
export type ForwardedFields = {
  readonly server: string;
  /** Time until the deadline, in milliseconds. */
  readonly deadlineMs: number;
  readonly workspace: string | undefined;
  readonly priority: number | undefined;
  readonly lastEventId: string | undefined;
  readonly bodyBytes: number | undefined;
};

/** Metadata in the status and headers of a backend server's response. */
export type ResponseMetadata = {
  /** Whether the server states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Why it did not run it. */
  readonly reason: "none" | "busy" | "other-server" | "no-model";
  /** Whose request id the response bears. */
  readonly identity: "own" | "other" | "none";
  /** Whether the response bears a signature, as all successes of servers do. */
  readonly isSigned: boolean;
  readonly isEventStream: boolean;
  /** Whether the server leaves and wants no further requests. */
  readonly isLeaving: boolean;
  /** Time for which the server wants no requests of this host, in ms, if any. */
  readonly closedMs: number | undefined;
};

/** Header names and values of one protocol. */
export interface Dialect {
  readRequest(request: http.IncomingMessage): RequestMetadata;
  /** Headers for a backend server, as alternating names and values. */
  upstreamHeaders(
    request: http.IncomingMessage,
    fields: ForwardedFields,
  ): string[];
  readResponse(
    response: http.IncomingMessage,
    requestId: string | undefined,
    server: string,
  ): ResponseMetadata;
  /**
   * Headers of a backend server's response for the caller, as alternating names
   * and values, without those that frame the body.
   */
  responseHeaders(response: http.IncomingMessage): string[];
  /** Headers of a refusal besides those of its problem document. */
  refusalHeaders(
    requestId: string | undefined,
    retryAfterMs: number | undefined,
  ): Record<string, string>;
}

/** Result of the selection of a server. */
export type Selection =
  | { readonly kind: "server"; readonly server: gateway.ServerRecord }
  /** This host stops, and the request might not end before. */
  | { readonly kind: "stopping" }
  /** No server has taken the request until its queue deadline. */
  | {
    readonly kind: "expired";
    /**
     * Time until the prompts that wait before it for its model are read, in
     * milliseconds; absent if no server has the model and adapter.
     */
    readonly roomMs?: number;
    /** What no server had; absent if some had all. */
    readonly missing?: "model" | "adapter";
  }
  /** The request is not to be run, because it crashed servers. */
  | {
    readonly kind: "quarantined";
    /** Time until the quarantine ends, in milliseconds. */
    readonly remainingMs: number;
  }
  /** All servers want no requests of this host for longer than it waits. */
  | {
    readonly kind: "closed";
    /** Time until one of them does, in milliseconds. */
    readonly remainingMs: number;
  }
  /** No server has the software version that began the stream. */
  | { readonly kind: "version-gone" }
  /** No server will have the model in time. */
  | {
    readonly kind: "hopeless";
    /** The leader's forecast that this follows from. */
    readonly forecast: gateway.LoadForecast;
  };

/** State of a request that an entry host is handling. */
export type RequestContext = {
  readonly metadata: RequestMetadata;
  readonly identity: requestIdentity.RequestIdentity;
  readonly route: gateway.Route;
  readonly service: gateway.Service;
  readonly workspace: gateway.Workspace | undefined;
  /** Where the stream began that the request resumes; absent for a new one. */
  readonly origin?: gateway.StreamOrigin;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
  /**
   * Monotonic time at which the caller or the route gives the request up, in
   * milliseconds.
   */
  readonly deadline: number;
  /**
   * Monotonic time at which the request stops waiting for a server, in
   * milliseconds.
   */
  readonly queueDeadline: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether it may be sent again when an earlier attempt may have run. */
  readonly isRetryable: boolean;
  /** Aborts when the caller disconnects or the time limit expires. */
  readonly signal: AbortSignal;
  /** Its part of its workspace's rate; absent without a limit. */
  readonly rateHold?: rateGate.RateHold | undefined;
  /** Servers that failed to serve it. */
  readonly failedServers: Set<string>;
};
