/**
 * What an entry host needs of the language that callers and servers speak.
 *
 * @module
 */
import type * as http from "node:http";
import type { gateway } from "@ebonypath/protocol";

/** What the head of a request says, in a dialect's own headers. */
export type RequestMetadata = {
  /** Identifies the request; absent when the caller gave none. */
  readonly id: string | undefined;
  /** Time that the caller will wait, in milliseconds. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** Prompt tokens and most output tokens; absent when not stated. */
  readonly tokens: number | undefined;
  /** Identifies the shared beginning of its prompt. */
  readonly prefixKey: string | undefined;
  /** Last event that the caller has of a stream that broke. */
  readonly lastEventId: string | undefined;
};

/** What the system adds to a request that it sends to a server. */
export type ForwardedFields = {
  readonly server: string;
  readonly deadlineMs: number;
  readonly workspace: string | undefined;
  readonly priority: number | undefined;
  readonly lastEventId: string | undefined;
  readonly bodyBytes: number | undefined;
};

/** What the head of a server's answer says. */
export type ResponseMetadata = {
  /** Whether the server states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Why it did not run it. */
  readonly reason: "none" | "busy" | "other-server" | "no-model";
  /** Whether it is the answer to another request. */
  readonly isMismatched: boolean;
  readonly isEventStream: boolean;
};

/** Header names and values of one language. */
export interface Dialect {
  readRequest(request: http.IncomingMessage): RequestMetadata;
  /** Headers of a request for a server, names and values in turn. */
  upstreamHeaders(
    request: http.IncomingMessage,
    envelope: ForwardedFields,
  ): string[];
  readResponse(
    answer: http.IncomingMessage,
    requestId: string | undefined,
    server: string,
  ): ResponseMetadata;
  /** Headers of a server's answer for the caller, in turn, without framing. */
  responseHeaders(answer: http.IncomingMessage): string[];
  /** Headers of a refusal besides those of its document. */
  refusalHeaders(
    requestId: string | undefined,
    retryAfterMs: number | undefined,
  ): Record<string, string>;
}

/** A request on its way through an entry host. */
export type RequestContext = {
  readonly metadata: RequestMetadata;
  readonly route: gateway.Route;
  readonly service: gateway.Service;
  readonly workspace: gateway.Workspace | undefined;
  /** Monotonic time of its arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** When its caller or its route gives it up; monotonic, in milliseconds. */
  readonly deadline: number;
  /** When waiting for a server is in vain; monotonic, in milliseconds. */
  readonly queueDeadline: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether it may run again after a run whose outcome is not known. */
  readonly isRetryable: boolean;
  /** Ends when the caller leaves or the time is over. */
  readonly signal: AbortSignal;
  /** Servers that failed it. */
  readonly failedServers: Set<string>;
};
