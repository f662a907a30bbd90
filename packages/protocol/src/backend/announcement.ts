import * as v from "valibot";

/** Longest identifier accepted from another process, in characters. */
export const MAX_IDENTIFIER_LENGTH = 200;
/** Most models or adapters that one announcement may list. */
const LISTED_MODELS = 1_024;
/** Largest memory size accepted, in bytes (64 TiB). */
const MEMORY_BYTES = 2 ** 46;
/** Largest concurrency limit accepted. */
const CONCURRENCY = 4_096;

/** A name: letters, digits, dot, dash and underscore. */
export const Name = v.pipe(
  v.string(),
  v.regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/),
  v.maxLength(MAX_IDENTIFIER_LENGTH),
);

/** A count of bytes. */
export const Bytes = v.pipe(
  v.number(),
  v.safeInteger(),
  v.minValue(0),
  v.maxValue(MEMORY_BYTES),
);

/** `service/model` or `service/model:adapter`. */
export const ModelReference = v.pipe(
  v.string(),
  v.regex(/^[A-Za-z0-9._-]+\/[A-Za-z0-9._-]+(:[A-Za-z0-9._-]+)?$/),
  v.maxLength(MAX_IDENTIFIER_LENGTH),
);

/** A model or an adapter that occupies accelerator memory. */
export const LoadedModel = v.object({
  /** `service/model`, or `service/model:adapter` for an adapter. */
  model: ModelReference,
  version: Name,
  bytes: Bytes,
  /** The fencing number of the order that loaded it, if known. */
  fence: v.optional(v.pipe(v.number(), v.safeInteger(), v.minValue(0))),
});
export type LoadedModel = v.InferOutput<typeof LoadedModel>;

/** Where a checkpoint is cached on a backend server. */
export const CachedModel = v.object({
  model: ModelReference,
  version: Name,
  place: v.picklist(["memory", "disk"]),
});
export type CachedModel = v.InferOutput<typeof CachedModel>;

/** What a backend server reports about itself, about once a second. */
export const Announcement = v.object({
  id: Name,
  /** Changes with every start of the process. */
  incarnation: Name,
  /** Origin for orders and inference, for instance `http://127.0.0.1:9000`. */
  address: v.pipe(v.string(), v.url(), v.maxLength(MAX_IDENTIFIER_LENGTH)),
  failureDomain: Name,
  kind: v.picklist(["engine", "plain"]),
  /** Services that it may serve. */
  services: v.pipe(v.array(Name), v.maxLength(LISTED_MODELS)),
  memoryBytes: Bytes,
  loaded: v.pipe(v.array(LoadedModel), v.maxLength(LISTED_MODELS)),
  cached: v.pipe(v.array(CachedModel), v.maxLength(LISTED_MODELS)),
  concurrency: v.pipe(
    v.number(),
    v.integer(),
    v.minValue(0),
    v.maxValue(CONCURRENCY),
  ),
  running: v.pipe(v.number(), v.integer(), v.minValue(0)),
  queued: v.pipe(v.number(), v.integer(), v.minValue(0)),
  /** Whether it refuses orders with an old fencing number. */
  checksFencing: v.boolean(),
  /** It is about to stop and wants no new work. */
  leaving: v.boolean(),
  /** Grows with each announcement of one incarnation. */
  sequence: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
});
export type Announcement = v.InferOutput<typeof Announcement>;
