import * as v from "valibot";
import * as backend from "../backend/mod.ts";

/** Most items of one kind that a configuration may list. */
const LISTED_ITEMS = 20_000;
/** Longest wait a tier may sell, in milliseconds (7 days). */
const MAX_WAIT_MS = 7 * 24 * 60 * 60 * 1_000;

const Count = v.pipe(v.number(), v.safeInteger(), v.minValue(1));

/** What a customer bought, in tokens per second and tokens at once. */
export const Workspace = v.object({
  name: backend.Name,
  rate: v.pipe(v.number(), v.minValue(0)),
  burst: Count,
  /** Weight in fair queues. */
  weight: v.optional(v.pipe(v.number(), v.minValue(0.01)), 1),
  /** Most deferred requests that may wait at once. */
  deferredLimit: v.optional(Count, 1_000),
});
export type Workspace = v.InferOutput<typeof Workspace>;

/** An adapter of a model. */
export const Adapter = v.object({
  name: backend.Name,
  version: v.optional(backend.Name, "1"),
  bytes: backend.Bytes,
});
export type Adapter = v.InferOutput<typeof Adapter>;

/** A model that backend servers of kind `engine` can load. */
export const Model = v.object({
  name: backend.Name,
  version: v.optional(backend.Name, "1"),
  /** Accelerator memory of the weights. */
  bytes: backend.Bytes,
  /** Accelerator memory set aside for the KV cache while it is loaded. */
  kvBytes: v.optional(backend.Bytes, 0),
  maxReplicas: v.optional(Count, 1),
  /** Generated tokens when a request names no `max_tokens`. */
  defaultMaxTokens: v.optional(Count, 256),
  adapters: v.optional(
    v.pipe(v.array(Adapter), v.maxLength(LISTED_ITEMS)),
    [],
  ),
});
export type Model = v.InferOutput<typeof Model>;

/** A route of a plain service. */
export const Route = v.object({
  method: v.picklist(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  /** Path below `/services/{service}`; a trailing `*` matches any rest. */
  path: v.pipe(v.string(), v.regex(/^\/[^\s?#]*$/), v.maxLength(1_024)),
  idempotent: v.boolean(),
  /** Open to callers without a key. */
  open: v.optional(v.boolean(), false),
  /** Tokens that one call takes from the workspace's rate. */
  cost: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)), 1),
});
export type Route = v.InferOutput<typeof Route>;

/** How long callers wait, and what they pay for it. */
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

/** One service with its models or routes. */
export const Service = v.object({
  name: backend.Name,
  kind: v.picklist(["model", "plain"]),
  models: v.optional(v.pipe(v.array(Model), v.maxLength(LISTED_ITEMS)), []),
  routes: v.optional(v.pipe(v.array(Route), v.maxLength(LISTED_ITEMS)), []),
  /** Workspaces that may use the service. */
  workspaces: v.pipe(v.array(backend.Name), v.maxLength(LISTED_ITEMS)),
  /** The first tier is used by requests that name none. */
  tiers: v.pipe(v.array(Tier), v.minLength(1), v.maxLength(100)),
});
export type Service = v.InferOutput<typeof Service>;

/** Everything that operators publish. */
export const Configuration = v.object({
  workspaces: v.pipe(v.array(Workspace), v.maxLength(LISTED_ITEMS)),
  services: v.pipe(v.array(Service), v.maxLength(LISTED_ITEMS)),
});
export type Configuration = v.InferOutput<typeof Configuration>;
