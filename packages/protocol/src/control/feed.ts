import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as state from "../state/mod.ts";

const Index = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** State of a backend server that entry hosts use for routing. */
export const ServerStatus = v.object({
  id: backend.Name,
  incarnation: backend.Name,
  address: v.string(),
  failureDomain: backend.Name,
  kind: v.picklist(["engine", "plain"]),
  services: v.array(backend.Name),
  /** Models and adapters that can serve requests now. */
  ready: v.array(v.string()),
  /** Models and adapters that are being loaded; omitted when empty. */
  loading: v.optional(v.array(v.string())),
  /** Concurrency limit, across all hosts. */
  limit: v.number(),
  queued: v.number(),
  /** Whether the server accepts new work. */
  usable: v.boolean(),
});
export type ServerStatus = v.InferOutput<typeof ServerStatus>;

/** A control host and the address under which other hosts reach it. */
export const ControlHost = v.object({
  id: v.string(),
  address: v.string(),
});
export type ControlHost = v.InferOutput<typeof ControlHost>;

/** A message of the feed that the leader streams to a host. */
export const FeedEvent = v.variant("kind", [
  /** Replaces the complete state of the host. */
  v.object({
    kind: v.literal("snapshot"),
    term: Index,
    view: state.FleetView,
    servers: v.array(ServerStatus),
    controlHosts: v.array(ControlHost),
  }),
  /** Changes to the view up to and including log index `index`. */
  v.object({
    kind: v.literal("changes"),
    index: Index,
    changes: v.array(state.ViewChange),
  }),
  /** Replaces the list of backend servers. */
  v.object({
    kind: v.literal("all-servers"),
    servers: v.array(ServerStatus),
  }),
  v.object({
    kind: v.literal("servers"),
    changed: v.array(ServerStatus),
    removed: v.array(backend.Name),
  }),
  v.object({
    kind: v.literal("control-hosts"),
    controlHosts: v.array(ControlHost),
  }),
  /** Asks the host to start the next exchange immediately. */
  v.object({ kind: v.literal("exchange-wanted") }),
]);
export type FeedEvent = v.InferOutput<typeof FeedEvent>;

/** JSON-RPC notification that carries a {@link FeedEvent}. */
export const FEED_METHOD = "feed.event";
