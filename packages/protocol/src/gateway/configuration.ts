/**
 * Configuration of a fleet that forwards requests by host and path.
 *
 * @module
 */
import * as v from "valibot";

/** Longest name in a configuration, in characters. */
const NAME_LENGTH = 512;

const Name = v.pipe(v.string(), v.minLength(1), v.maxLength(NAME_LENGTH));
const Count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const Amount = v.pipe(v.number(), v.finite(), v.minValue(0));

/** A model that servers of a service can hold. */
export const Model = v.object({
  name: Name,
  /** Memory that its weights take, in MB. */
  weightsMb: Amount,
  /** Time of a load from the weight store, in milliseconds. */
  storeLoadMs: Amount,
  /** Time of a load from the server's disk, in milliseconds. */
  diskLoadMs: Amount,
  /** Time of a load from the server's memory, in milliseconds. */
  memoryLoadMs: Amount,
  /** Number of adapters, named `a1`, `a2` and so on. */
  adapters: Count,
  /** Memory of one adapter, in MB. */
  adapterMb: Amount,
});
export type Model = v.InferOutput<typeof Model>;

/** How the servers of a service run models. */
export const Engine = v.object({
  /** Requests in one batch. */
  slots: Count,
  /** Prompt and output tokens that a server's memory holds. */
  memoryTokens: Count,
  /** Memory for weights and adapters, in MB. */
  weightsMb: Amount,
  /** Most adapters on one server. */
  adapterPlaces: Count,
  /** Loads from the weight store that may begin per second, fleet-wide. */
  storeLoadsPerSecond: Amount,
  models: v.array(Model),
});
export type Engine = v.InferOutput<typeof Engine>;

/** A kind of backend servers. */
export const Service = v.object({
  name: Name,
  /** Connections that one server accepts from all hosts together. */
  maxConnections: Count,
  /** Requests per second that a cold server bears; 0 when none is cold. */
  coldRequestsPerSecond: Amount,
  /** Absent for a service without models. */
  engine: v.optional(Engine),
});
export type Service = v.InferOutput<typeof Service>;

/** What may be repeated on a route. */
export const RouteKind = v.picklist(["safe", "unsafe", "streaming"]);
export type RouteKind = v.InferOutput<typeof RouteKind>;

/** Requests that are treated alike, by host and path. */
export const Route = v.object({
  name: Name,
  host: Name,
  /** Begins and ends with a slash. */
  pathPrefix: Name,
  kind: RouteKind,
  /** Longest time that a caller is kept waiting, in milliseconds. */
  timeoutMs: Amount,
  /** Time within which an answer, or its first event, is on time, in ms. */
  targetMs: Amount,
  /**
   * Time after which callers leave that have not got the first event of a
   * stream, in milliseconds; absent where they wait for the whole timeout.
   */
  patienceMs: v.optional(Amount),
  /** Rank; 0 is the most urgent. */
  priority: Count,
  /** Services that serve it, and their parts of the requests. */
  split: v.array(v.object({ service: Name, weight: Amount })),
  /** Servers that one request may run on. */
  maxAttempts: Count,
  /** Whether requests need no key. */
  isPublic: v.boolean(),
  /** Whether a broken stream may go on at another server. */
  isResumable: v.boolean(),
});
export type Route = v.InferOutput<typeof Route>;

/** What a workspace may use. */
export const RateLimit = v.object({
  unit: v.picklist(["tokens", "requests"]),
  perSecond: Amount,
  burst: Amount,
  /** Tokens that a request without a stated size counts as. */
  plainTokens: Amount,
});
export type RateLimit = v.InferOutput<typeof RateLimit>;

/** A workspace and the keys that act for it. */
export const Workspace = v.object({
  name: Name,
  keys: v.array(Name),
  /** Takes precedence over the priority of the route. */
  priority: v.optional(Count),
  /** Absent when nothing limits it. */
  rate: v.optional(RateLimit),
});
export type Workspace = v.InferOutput<typeof Workspace>;

/** What a caller may send, and how long it may take. */
export const CallerLimits = v.object({
  headerBytes: Count,
  bodyBytes: Count,
  headerTimeoutMs: Amount,
  idleTimeoutMs: Amount,
});
export type CallerLimits = v.InferOutput<typeof CallerLimits>;

/** A whole configuration; the highest version is in force. */
export const Configuration = v.object({
  version: Count,
  routes: v.array(Route),
  services: v.array(Service),
  limits: CallerLimits,
  /** Absent where requests need no keys. */
  workspaces: v.optional(v.array(Workspace)),
});
export type Configuration = v.InferOutput<typeof Configuration>;
