import type * as placement from "../placement/mod.ts";
import type * as state from "../state/mod.ts";

/** Requests that one host may have assigned at once. */
export const MAX_ASSIGNED_PER_HOST = 16;

/** An entry host that executes deferred requests. */
export interface DeferredHost extends state.Owner {
  /** Requests that it runs or queues, of all tiers. */
  readonly load: number;
}

/** What the fleet can do for one target now. */
export interface TargetCapacity extends placement.Capacity {
  /** Expected duration of one request, in milliseconds. */
  readonly requestMs: number;
}

/** What the planner looks at. */
export interface PlannerInput {
  /** Monotonic clock of the leader, in milliseconds. */
  readonly nowMs: number;
  /** Log time, in milliseconds: deadlines of deferred requests use it. */
  readonly timeMs: number;
  readonly waiting: readonly state.WaitingDeferredRequest[];
  readonly assigned: readonly state.AssignedDeferredRequest[];
  /** Hosts that are current and not draining. */
  readonly hosts: readonly DeferredHost[];
  /** `target` is `service/model[:adapter]` or the name of a plain service. */
  readonly capacityOf: (target: string) => TargetCapacity;
}

/** Requests for one host: an `assign-deferred` to propose. */
export interface Assignment extends state.Owner {
  readonly ids: readonly string[];
}

/** What to do about deferred requests. */
export interface Plan {
  readonly assignments: readonly Assignment[];
  /** Models to load, for `Placement.setDeferredDemand`. */
  readonly needs: readonly placement.TargetDemand[];
}
