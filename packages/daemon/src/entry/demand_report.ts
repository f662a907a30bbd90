import type * as protocol from "@ebonypath/protocol";
import type * as admission from "./admission.ts";
import type * as dispatcher from "./dispatcher.ts";
import type * as placement from "./placement.ts";
import type * as types from "./types.ts";

/** Deadline reported for a target without waiting requests, in milliseconds. */
const NO_DEADLINE_MS = 24 * 60 * 60 * 1_000;

interface TargetDemand {
  waiting: number;
  running: number;
  deadline: number;
  arrivals: number;
}

/** Collects the demand at this host for each model and plain service. */
export class DemandReport {
  readonly #admission: admission.Admission;
  readonly #placement: placement.PlacementQueue;
  readonly #dispatcher: dispatcher.Dispatcher;
  #arrivals = new Map<string, number>();

  constructor(
    admission: admission.Admission,
    placement: placement.PlacementQueue,
    dispatcher: dispatcher.Dispatcher,
  ) {
    this.#admission = admission;
    this.#placement = placement;
    this.#dispatcher = dispatcher;
  }

  /** Counts an arrived request. */
  recordArrival(target: string): void {
    this.#arrivals.set(target, (this.#arrivals.get(target) ?? 0) + 1);
  }

  /** Returns the current demand, with the arrivals since the previous call. */
  take(now: number): protocol.control.Demand[] {
    const demands = new Map<string, TargetDemand>();
    for (const work of this.#waiting()) {
      const demand = demandOf(demands, work.target);
      demand.waiting += 1;
      demand.deadline = Math.min(demand.deadline, work.deadline - now);
    }
    for (const { work } of this.#dispatcher.running) {
      demandOf(demands, work.target).running += 1;
    }
    for (const [target, arrivals] of this.#arrivals) {
      demandOf(demands, target).arrivals = arrivals;
    }
    this.#arrivals = new Map();
    return [...demands].map(([target, demand]) => ({
      target,
      waiting: demand.waiting,
      running: demand.running,
      earliestDeadlineMs: Math.max(0, demand.deadline),
      arrivals: demand.arrivals,
    }));
  }

  *#waiting(): Generator<types.Work> {
    yield* this.#admission.waiting();
    yield* this.#placement.waiting();
  }
}

function demandOf(
  demands: Map<string, TargetDemand>,
  target: string,
): TargetDemand {
  const existing = demands.get(target);
  if (existing !== undefined) return existing;
  const demand = {
    waiting: 0,
    running: 0,
    deadline: NO_DEADLINE_MS,
    arrivals: 0,
  };
  demands.set(target, demand);
  return demand;
}
