/**
 * What a backend server says of itself.
 *
 * @module
 */
import * as v from "valibot";

/** Longest id or address of a server, in characters. */
const NAME_LENGTH = 256;
/** Most models that one server lists. */
const LISTED_MODELS = 4_096;

const Name = v.pipe(v.string(), v.minLength(1), v.maxLength(NAME_LENGTH));
const Count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const Names = v.pipe(v.array(Name), v.maxLength(LISTED_MODELS));

/** A model that a server holds. */
export const LoadedModel = v.object({
  name: Name,
  version: Count,
  adapters: Names,
});
export type LoadedModel = v.InferOutput<typeof LoadedModel>;

/** Whether a server takes new work; `lost` is one that fell silent. */
export const ServerState = v.picklist(["ready", "draining", "lost", "ended"]);
export type ServerState = v.InferOutput<typeof ServerState>;

/** A heartbeat of a backend server. */
export const Heartbeat = v.object({
  id: Name,
  /** Wall-clock time of its start in milliseconds; tells its starts apart. */
  born: v.pipe(v.number(), v.safeInteger()),
  /** Increases with each heartbeat of one start. */
  sequence: Count,
  service: Name,
  /** `IP:PORT`. */
  address: Name,
  failureDomain: Name,
  slots: Count,
  state: ServerState,
  /** Time for which it stays cold, in milliseconds. */
  coldMs: v.pipe(v.number(), v.finite(), v.minValue(0)),
  models: v.pipe(v.array(LoadedModel), v.maxLength(LISTED_MODELS)),
  /** Models whose weights are copied in its memory. */
  inMemory: Names,
  /** Models whose weights are copied on its disk. */
  onDisk: Names,
});
export type Heartbeat = v.InferOutput<typeof Heartbeat>;

/** What a server answers when it is asked for its state. */
export const EngineReport = v.object({
  models: v.pipe(v.array(LoadedModel), v.maxLength(LISTED_MODELS)),
  /** Whether it carries out an order. */
  isBusy: v.boolean(),
  /** Orders that it has accepted since its start. */
  orders: Count,
  /** Adapters on their way to it. */
  pendingAdapters: Count,
  inMemory: Names,
  onDisk: Names,
});
export type EngineReport = v.InferOutput<typeof EngineReport>;
