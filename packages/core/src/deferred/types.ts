import type * as placement from "../placement/mod.ts";
import type * as state from "../state/mod.ts";

/** Maximum number of requests assigned to one host at a time. */
export const MAX_ASSIGNED_PER_HOST = 16;

/** An entry host that executes deferred requests. */
export interface DeferredHost extends state.Owner {
  /** Requests of all tiers that run or wait on the host. */
  readonly load: number;
}

/** Current capacity of the fleet for one target. */
export interface TargetCapacity extends placement.Capacity {
  /** Expected duration of one request, in milliseconds. */
  readonly requestMs: number;
}

/** Input of the planner. */
export interface PlannerInput {
  /** Monotonic clock of the leader, in milliseconds. */
  readonly nowMs: number;
  /** Log time in milliseconds, which the deadlines of requests refer to. */
  readonly timeMs: number;
  readonly waiting: readonly state.WaitingDeferredRequest[];
  readonly assigned: readonly state.AssignedDeferredRequest[];
  /** Hosts that are current and not draining. */
  readonly hosts: readonly DeferredHost[];
  /** `target` is `service/model[:adapter]` or the name of a plain service. */
  readonly capacityOf: (target: string) => TargetCapacity;
}

/** Requests for one host, to be proposed as an `assign-deferred` command. */
export interface Assignment extends state.Owner {
  readonly ids: readonly string[];
}

/** Result of planning. */
export interface Plan {
  readonly assignments: readonly Assignment[];
  /** Demand for models to load, for `Placement.setDeferredDemand`. */
  readonly demands: readonly placement.TargetDemand[];
}
