import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as state from "../state/mod.ts";

const Index = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** A backend server as entry hosts need it for routing. */
export const ServerStatus = v.object({
  id: backend.Name,
  incarnation: backend.Name,
  address: v.string(),
  failureDomain: backend.Name,
  kind: v.picklist(["engine", "plain"]),
  services: v.array(backend.Name),
  /** Models and adapters that may be used now. */
  ready: v.array(v.string()),
  /** Models and adapters that are being loaded; absent when there are none. */
  loading: v.optional(v.array(v.string())),
  /** Requests that it bears at once, over all hosts. */
  limit: v.number(),
  queued: v.number(),
  /** It takes new work. */
  usable: v.boolean(),
});
export type ServerStatus = v.InferOutput<typeof ServerStatus>;

/** A control host, as other hosts reach it. */
export const ControlHost = v.object({
  id: v.string(),
  address: v.string(),
});
export type ControlHost = v.InferOutput<typeof ControlHost>;

/** One message of the feed from the leader to a host. */
export const FeedEvent = v.variant("kind", [
  /** Replaces everything the host knows. */
  v.object({
    kind: v.literal("snapshot"),
    term: Index,
    view: state.FleetView,
    servers: v.array(ServerStatus),
    controlHosts: v.array(ControlHost),
  }),
  /** Changes up to log index `index`. */
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
  /** The leader has news for the next exchange: it should come at once. */
  v.object({ kind: v.literal("exchange-wanted") }),
]);
export type FeedEvent = v.InferOutput<typeof FeedEvent>;

/** JSON-RPC method of the notifications in the feed. */
export const FEED_METHOD = "feed.event";
