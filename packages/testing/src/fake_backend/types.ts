import type { backend } from "@ebonypath/protocol";
import type * as weightStore from "./weight_store.ts";

/** Time that a load takes by the place of its weights, in milliseconds. */
export interface LoadTimes {
  readonly memoryMs: number;
  readonly diskMs: number;
  readonly storeMs: number;
}

/** What a fresh server bears before it falls over. */
export interface WarmUp {
  /** Concurrent requests that it bears at first. */
  readonly start: number;
  /** Concurrent requests that each success adds. */
  readonly perSuccess: number;
}

/** How a fake backend server starts. */
export interface FakeBackendOptions {
  readonly id: string;
  readonly incarnation?: string;
  readonly kind?: backend.Announcement["kind"];
  readonly failureDomain?: string;
  readonly services?: readonly string[];
  readonly memoryBytes?: number;
  readonly concurrency?: number;
  readonly checksFencing?: boolean;
  /** Origins of the announcement listeners of entry hosts. */
  readonly entries?: readonly string[];
  readonly joinToken?: string;
  readonly announceIntervalMs?: number;
  readonly loaded?: readonly backend.LoadedModel[];
  readonly cached?: readonly backend.CachedModel[];
  readonly loadTimes?: Partial<LoadTimes>;
  readonly unloadMs?: number;
  /** Weight store shared with other fakes of the process. */
  readonly store?: weightStore.WeightStore;
  /** Tokens of an answer, unless `max_tokens` asks for fewer. */
  readonly generatedTokens?: number;
  readonly firstTokenMs?: number;
  readonly tokenMs?: number;
  /** Time that a plain service takes for a call, in milliseconds. */
  readonly callMs?: number;
  readonly warmUp?: WarmUp;
  /** Keys of callers that must never arrive here. */
  readonly knownKeys?: readonly string[];
  readonly port?: number;
  /** Origin that it announces, when a proxy stands before it. */
  readonly announcedAddress?: string;
  readonly faults?: Partial<Faults>;
}

/** Fault switches; they may be changed at any time. */
export interface Faults {
  /** A request whose body contains this text crashes the server. */
  crashMarker: string | undefined;
  /** A load of this model crashes the server. */
  crashOnLoad: string | undefined;
  /** Delay of every answer, in milliseconds. */
  lateMs: number;
  /** Answers of two requests in flight are swapped. */
  crossed: boolean;
  /** Streams fall silent after their first event and stay open. */
  silentStreams: boolean;
  /** Streams are cut before their terminal event. */
  cutStreams: boolean;
  /** Work is executed, then the connection is cut without an answer. */
  lostAnswers: boolean;
  /** Orders are executed, then the connection is cut without an answer. */
  lostOrderAnswers: boolean;
  /** Inference is refused before it starts. */
  refusesRequests: boolean;
  /** Orders are refused with this reason. */
  refusesOrders: OrderRefusal | undefined;
  pausesAnnouncements: boolean;
  /** Age of the reported load, in milliseconds. */
  reportLagMs: number;
}

/** Why an order is refused. */
export type OrderRefusal = Extract<
  backend.OrderResult,
  { kind: "refused" }
>["reason"];

/** A call that reached a fake. */
export interface ReceivedCall {
  readonly requestId: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly model: string | undefined;
  readonly body: string;
  readonly priority: string | undefined;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  outcome: "running" | "answered" | "refused" | "cancelled" | "crashed";
}

/** A non-idempotent call that a plain service executed. */
export interface Execution {
  /** `orderId` of a JSON body, or the whole body. */
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly incarnation: string;
}

/** An order that reached a fake. */
export interface ReceivedOrder {
  readonly order: backend.Order;
  result: backend.OrderResult | undefined;
}

/** Something that must never be seen at a backend server. */
export interface Violation {
  readonly kind:
    | "memory-overcommitted"
    | "too-many-running"
    | "overloaded-when-fresh"
    | "key-seen"
    | "stale-fence-accepted";
  readonly detail: string;
}
