import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as state from "../state/mod.ts";

const Count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** A process of the fleet, told apart from its earlier starts. */
export const HostIdentity = v.object({
  name: backend.Name,
  incarnation: backend.Name,
  failureDomain: backend.Name,
});
export type HostIdentity = v.InferOutput<typeof HostIdentity>;

/** What one host wants of one model or plain service. */
export const Demand = v.object({
  /** `service/model[:adapter]`, or the name of a plain service. */
  target: v.string(),
  waiting: Count,
  running: Count,
  /** Time left until the earliest deadline among the waiting, in ms. */
  earliestDeadlineMs: v.number(),
  /** Arrivals since the previous exchange. */
  arrivals: Count,
});
export type Demand = v.InferOutput<typeof Demand>;

/** How requests to one backend server ended since the previous exchange. */
export const ServerOutcomes = v.object({
  server: backend.Name,
  incarnation: backend.Name,
  succeeded: Count,
  refused: Count,
  failed: Count,
  slow: Count,
});
export type ServerOutcomes = v.InferOutput<typeof ServerOutcomes>;

/** A deferred request handed to a host for execution. */
export const Assignment = v.object({
  id: v.string(),
  request: state.StoredRequest,
  /** Time left until its deadline when the leader answered, in ms. */
  remainingMs: v.number(),
});
export type Assignment = v.InferOutput<typeof Assignment>;
