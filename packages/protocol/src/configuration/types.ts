import * as v from "valibot";
import * as backend from "../backend/mod.ts";

/** Maximum number of items in each list of a configuration. */
const MAX_ITEMS = 20_000;
/** Longest wait that a tier can offer, in milliseconds (7 days). */
const MAX_WAIT_MS = 7 * 24 * 60 * 60 * 1_000;

const Count = v.pipe(v.number(), v.safeInteger(), v.minValue(1));

/** A customer with a token rate limit: `rate` per second, `burst` at once. */
export const Workspace = v.object({
  name: backend.Name,
  rate: v.pipe(v.number(), v.minValue(0)),
  burst: Count,
  /** Weight in weighted fair queuing. */
  weight: v.optional(v.pipe(v.number(), v.minValue(0.01)), 1),
  /** Maximum number of deferred requests that wait at the same time. */
  deferredLimit: v.optional(Count, 1_000),
});
export type Workspace = v.InferOutput<typeof Workspace>;

export const Adapter = v.object({
  name: backend.Name,
  version: v.optional(backend.Name, "1"),
  bytes: backend.Bytes,
});
export type Adapter = v.InferOutput<typeof Adapter>;

/** A model that can be loaded by backend servers of kind `engine`. */
export const Model = v.object({
  name: backend.Name,
  version: v.optional(backend.Name, "1"),
  /** Accelerator memory used by the weights. */
  bytes: backend.Bytes,
  /** Accelerator memory reserved for the KV cache while the model is loaded. */
  kvBytes: v.optional(backend.Bytes, 0),
  maxReplicas: v.optional(Count, 1),
  /** Generated tokens assumed for requests without `max_tokens`. */
  defaultMaxTokens: v.optional(Count, 256),
  adapters: v.optional(
    v.pipe(v.array(Adapter), v.maxLength(MAX_ITEMS)),
    [],
  ),
});
export type Model = v.InferOutput<typeof Model>;

/** A route of a plain service. */
export const Route = v.object({
  method: v.picklist(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  /** Path below `/services/{service}`; a trailing `*` matches any suffix. */
  path: v.pipe(v.string(), v.regex(/^\/[^\s?#]*$/), v.maxLength(1_024)),
  idempotent: v.boolean(),
  /** Whether callers without an API key may use the route. */
  open: v.optional(v.boolean(), false),
  /** Tokens that one call consumes from the workspace's rate limit. */
  cost: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)), 1),
});
export type Route = v.InferOutput<typeof Route>;

/** A service class: the maximum wait for a request and its price. */
export const Tier = v.object({
  name: backend.Name,
  maxWaitMs: v.pipe(
    v.number(),
    v.integer(),
    v.minValue(1),
    v.maxValue(MAX_WAIT_MS),
  ),
  priceFactor: v.pipe(v.number(), v.minValue(0)),
  delivery: v.picklist(["connected", "deferred"]),
});
export type Tier = v.InferOutput<typeof Tier>;

/** A service with its models or routes. */
export const Service = v.object({
  name: backend.Name,
  kind: v.picklist(["model", "plain"]),
  models: v.optional(v.pipe(v.array(Model), v.maxLength(MAX_ITEMS)), []),
  routes: v.optional(v.pipe(v.array(Route), v.maxLength(MAX_ITEMS)), []),
  /** Workspaces with access to the service. */
  workspaces: v.pipe(v.array(backend.Name), v.maxLength(MAX_ITEMS)),
  /** Requests that name no tier use the first one. */
  tiers: v.pipe(v.array(Tier), v.minLength(1), v.maxLength(100)),
});
export type Service = v.InferOutput<typeof Service>;

/** The configuration that operators publish for the whole fleet. */
export const Configuration = v.object({
  workspaces: v.pipe(v.array(Workspace), v.maxLength(MAX_ITEMS)),
  services: v.pipe(v.array(Service), v.maxLength(MAX_ITEMS)),
});
export type Configuration = v.InferOutput<typeof Configuration>;
