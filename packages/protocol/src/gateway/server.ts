/**
 * State that backend servers report.
 *
 * @module
 */
import * as v from "valibot";
import * as settings from "../settings/mod.ts";
import { Name } from "./name.ts";

/** Maximum length of what a server states of itself alone, in characters. */
const MAX_LABEL_LENGTH = 256;
/** Maximum number of names or models in a list. */
const MAX_LIST_LENGTH = 4_096;
/** Most requests that a server may state that it runs at the same time. */
const MAX_SLOTS = 100_000;
/** Longest time until its removal that a server may state, in ms: a day. */
export const MAX_REMAINING_MS = 86_400_000;
/** Longest warm-up that a server may state, in milliseconds: a day. */
const MAX_COLD_MS = 86_400_000;
/**
 * Highest sequence number. Servers may number their heartbeats by the time of
 * day in microseconds, which is below it for another hundred years.
 */
const MAX_SEQUENCE = 5e15;

const Label = v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_LABEL_LENGTH));
const Count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const Names = v.pipe(v.array(Name), v.maxLength(MAX_LIST_LENGTH));

/** The `IP:PORT` of a server, with an IPv4 address. */
export const Address = v.pipe(v.string(), v.check(isAddress));

/** A model that is loaded on a server. */
export const LoadedModel = v.object({
  name: Name,
  version: Count,
  adapters: Names,
});
export type LoadedModel = v.InferOutput<typeof LoadedModel>;

/**
 * Lifecycle state of a server. Only a `ready` one gets new requests. `lost` and
 * `ended` are set by the leader: the heartbeats have stopped, or the server has
 * shut down or been replaced.
 */
export const ServerState = v.picklist(["ready", "draining", "lost", "ended"]);
export type ServerState = v.InferOutput<typeof ServerState>;

/** A heartbeat of a backend server. */
export const Heartbeat = v.object({
  id: Label,
  /** Wall-clock time of its start, in ms; distinguishes restarts. */
  born: Count,
  /** Increases with each heartbeat after a start. */
  sequence: v.pipe(Count, v.maxValue(MAX_SEQUENCE)),
  service: Name,
  /**
   * Version of its software. Versions have no order; a stream goes on only at
   * servers of the version that began it.
   */
  softwareVersion: v.optional(
    v.pipe(v.string(), v.maxLength(MAX_LABEL_LENGTH)),
    "",
  ),
  address: Address,
  failureDomain: Label,
  slots: v.pipe(Count, v.maxValue(MAX_SLOTS)),
  state: ServerState,
  /** Time until its warm-up ends, in milliseconds. */
  coldMs: v.pipe(v.number(), v.minValue(0), v.maxValue(MAX_COLD_MS)),
  models: v.pipe(v.array(LoadedModel), v.maxLength(MAX_LIST_LENGTH)),
  /**
   * Time until it is gone, whatever it runs, in milliseconds; absent if it is not
   * being removed at short notice.
   */
  remainingMs: v.optional(
    v.pipe(v.number(), v.minValue(0), v.maxValue(MAX_REMAINING_MS)),
  ),
  /** Models with a copy of their weights in its memory. */
  inMemory: Names,
  /** Models with a copy of their weights on its disk. */
  onDisk: Names,
});
export type Heartbeat = v.InferOutput<typeof Heartbeat>;

/** A server's response to a request for its state. */
export const EngineReport = v.object({
  models: v.pipe(v.array(LoadedModel), v.maxLength(MAX_LIST_LENGTH)),
  /** Whether an order is in progress. */
  isBusy: v.boolean(),
  /** Number of orders accepted since its start. */
  orders: Count,
  /** Number of adapters that are being fetched. */
  pendingAdapters: Count,
  inMemory: Names,
  onDisk: Names,
  /** Time until it is gone, in milliseconds; see `Heartbeat`. */
  remainingMs: v.optional(v.pipe(v.number(), v.minValue(0))),
});
export type EngineReport = v.InferOutput<typeof EngineReport>;

function isAddress(text: string): boolean {
  const endpoint = settings.parseEndpoint(text);
  return endpoint !== undefined && endpoint.port > 0 && !text.startsWith("[");
}
