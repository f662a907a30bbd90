import * as v from "valibot";

/** Maximum length of an identifier from another process, in characters. */
export const MAX_IDENTIFIER_LENGTH = 200;
/** Maximum number of entries in each list of an announcement. */
const MAX_LISTED_MODELS = 1_024;
/** Maximum memory size, in bytes (64 TiB). */
const MAX_MEMORY_BYTES = 2 ** 46;
/** Maximum concurrency limit of a backend server. */
const MAX_CONCURRENCY = 4_096;

/** A name of letters, digits, dots, dashes and underscores. */
export const Name = v.pipe(
  v.string(),
  v.regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/),
  v.maxLength(MAX_IDENTIFIER_LENGTH),
);

/** A number of bytes. */
export const Bytes = v.pipe(
  v.number(),
  v.safeInteger(),
  v.minValue(0),
  v.maxValue(MAX_MEMORY_BYTES),
);

/** A model as `service/model`, or an adapter as `service/model:adapter`. */
export const ModelReference = v.pipe(
  v.string(),
  v.regex(/^[A-Za-z0-9._-]+\/[A-Za-z0-9._-]+(:[A-Za-z0-9._-]+)?$/),
  v.maxLength(MAX_IDENTIFIER_LENGTH),
);

/** A model or adapter that is loaded into accelerator memory. */
export const LoadedModel = v.object({
  model: ModelReference,
  version: Name,
  bytes: Bytes,
  /** Fencing token of the order that loaded it, if known. */
  fence: v.optional(v.pipe(v.number(), v.safeInteger(), v.minValue(0))),
});
export type LoadedModel = v.InferOutput<typeof LoadedModel>;

/** A model or adapter cached in memory or on disk by a backend server. */
export const CachedModel = v.object({
  model: ModelReference,
  version: Name,
  place: v.picklist(["memory", "disk"]),
});
export type CachedModel = v.InferOutput<typeof CachedModel>;

/** Status that a backend server sends to an entry host about once a second. */
export const Announcement = v.object({
  id: Name,
  /** Changes each time the process starts. */
  incarnation: Name,
  /** Base URL for orders and requests, e.g. `http://127.0.0.1:9000`. */
  address: v.pipe(v.string(), v.url(), v.maxLength(MAX_IDENTIFIER_LENGTH)),
  failureDomain: Name,
  kind: v.picklist(["engine", "plain"]),
  /** Services whose requests the server accepts. */
  services: v.pipe(v.array(Name), v.maxLength(MAX_LISTED_MODELS)),
  memoryBytes: Bytes,
  loaded: v.pipe(v.array(LoadedModel), v.maxLength(MAX_LISTED_MODELS)),
  cached: v.pipe(v.array(CachedModel), v.maxLength(MAX_LISTED_MODELS)),
  concurrency: v.pipe(
    v.number(),
    v.integer(),
    v.minValue(0),
    v.maxValue(MAX_CONCURRENCY),
  ),
  running: v.pipe(v.number(), v.integer(), v.minValue(0)),
  queued: v.pipe(v.number(), v.integer(), v.minValue(0)),
  /** Whether the server rejects orders with an outdated fencing token. */
  checksFencing: v.boolean(),
  /** Whether the server is shutting down and accepts no new work. */
  leaving: v.boolean(),
  /** Increases with each announcement of the same incarnation. */
  sequence: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
});
export type Announcement = v.InferOutput<typeof Announcement>;
