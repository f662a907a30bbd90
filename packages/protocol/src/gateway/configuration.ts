/**
 * Configuration of a gateway that routes requests by host and path.
 *
 * @module
 */
import * as v from "valibot";
import { Name } from "./name.ts";

const Count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const Amount = v.pipe(v.number(), v.finite(), v.minValue(0));

/** A model that the servers of a service can load. */
export const Model = v.object({
  name: Name,
  /** Memory that its weights occupy, in MB. */
  weightsMb: Amount,
  /** Time to load it from the weight store, in milliseconds. */
  storeLoadMs: Amount,
  /** Time to load it from the server's disk, in milliseconds. */
  diskLoadMs: Amount,
  /** Time to load it from a copy in the server's memory, in milliseconds. */
  memoryLoadMs: Amount,
  /** Number of adapters, which are named `a1`, `a2` and so on. */
  adapters: Count,
  /** Memory that one adapter occupies, in MB. */
  adapterMb: Amount,
});
export type Model = v.InferOutput<typeof Model>;

/** Capacity of the model servers of a service. */
export const Engine = v.object({
  /** Maximum number of requests in a batch. */
  slots: Count,
  /** Capacity of a server's KV cache, in prompt and output tokens. */
  memoryTokens: Count,
  /** Memory of a server for weights and adapters, in MB. */
  weightsMb: Amount,
  /** Maximum number of adapters on one server. */
  adapterPlaces: Count,
  /** Loads from the weight store that may start per second, fleet-wide. */
  storeLoadsPerSecond: Amount,
  models: v.array(Model),
});
export type Engine = v.InferOutput<typeof Engine>;

/**
 * Limits within which the number of a service's servers may be ordered, as far as
 * they can be read. Whether they can be used is for the orders to decide.
 */
export const Scaling = v.object({
  /** Fewest and most servers in a failure domain. */
  min: v.optional(v.number()),
  max: v.optional(v.number()),
  /** Time from an order until a new server serves, in milliseconds. */
  bootMs: v.optional(v.number()),
});
export type Scaling = v.InferOutput<typeof Scaling>;

/** A group of interchangeable backend servers. */
export const Service = v.object({
  name: Name,
  /** Maximum number of connections to one server, summed over all hosts. */
  maxConnections: Count,
  /**
   * Maximum rate of requests to a server that is still cold, summed over all
   * hosts; 0 means no limit.
   */
  coldRequestsPerSecond: Amount,
  /** Absent for a plain service, which has no models. */
  engine: v.optional(Engine),
  /** Absent if the number of its servers is not ordered. */
  scaling: v.optional(Scaling),
});
export type Service = v.InferOutput<typeof Service>;

/**
 * Decides which requests may be sent again after an attempt that may have run:
 * always for `safe`, never for `unsafe`, only on resumable routes for
 * `streaming`.
 */
export const RouteKind = v.picklist(["safe", "unsafe", "streaming"]);
export type RouteKind = v.InferOutput<typeof RouteKind>;

/** A rule that applies to all requests for a host and path prefix. */
export const Route = v.object({
  name: Name,
  host: Name,
  /** Starts and ends with a slash. */
  pathPrefix: Name,
  kind: RouteKind,
  /** Maximum duration of a request, in milliseconds. */
  timeoutMs: Amount,
  /** Latency objective of an answer, or of its first event, in ms. */
  targetMs: Amount,
  /**
   * Time after which callers disconnect if the first event of a stream has not
   * arrived, in milliseconds; absent if they wait for the whole timeout.
   */
  patienceMs: v.optional(Amount),
  /** 0 is the most urgent. */
  priority: Count,
  /** Services that requests are distributed to, by weight. */
  split: v.array(v.object({ service: Name, weight: Amount })),
  /**
   * Maximum number of attempts that may run a request. Attempts that are known
   * not to have run it don't count.
   */
  maxAttempts: Count,
  /** Whether requests are accepted without a key. */
  isPublic: v.boolean(),
  /** Whether an interrupted stream may resume on another server. */
  isResumable: v.boolean(),
});
export type Route = v.InferOutput<typeof Route>;

/** The token bucket that limits a workspace. */
export const RateLimit = v.object({
  unit: v.picklist(["tokens", "requests"]),
  perSecond: Amount,
  burst: Amount,
  /** Tokens charged for a request that does not state its size. */
  plainTokens: Amount,
});
export type RateLimit = v.InferOutput<typeof RateLimit>;

/** A workspace and the keys that authenticate its requests. */
export const Workspace = v.object({
  name: Name,
  keys: v.array(Name),
  /** Overrides the priority of the route. */
  priority: v.optional(Count),
  /** Absent for a workspace without a limit. */
  rate: v.optional(RateLimit),
});
export type Workspace = v.InferOutput<typeof Workspace>;

/** Limits on the size and duration of what callers send. */
export const CallerLimits = v.object({
  headerBytes: Count,
  bodyBytes: Count,
  headerTimeoutMs: Amount,
  idleTimeoutMs: Amount,
});
export type CallerLimits = v.InferOutput<typeof CallerLimits>;

/** A complete configuration; the one with the highest version is active. */
export const Configuration = v.object({
  version: Count,
  routes: v.array(Route),
  services: v.array(Service),
  limits: CallerLimits,
  /** Absent if requests are not authenticated. */
  workspaces: v.optional(v.array(Workspace)),
});
export type Configuration = v.InferOutput<typeof Configuration>;
