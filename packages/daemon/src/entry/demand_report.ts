import type * as protocol from "@ebonypath/protocol";
import type * as admission from "./admission.ts";
import type * as dispatcher from "./dispatcher.ts";
import type * as placement from "./placement.ts";
import type * as types from "./types.ts";

/** Deadline of a target for which nothing waits, in milliseconds. */
const NO_DEADLINE_MS = 24 * 60 * 60 * 1_000;

interface Row {
  waiting: number;
  running: number;
  deadline: number;
  arrivals: number;
}

/** What this host wants of each model and plain service. */
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

  /** Counts a request that has arrived. */
  recordArrival(target: string): void {
    this.#arrivals.set(target, (this.#arrivals.get(target) ?? 0) + 1);
  }

  /** The demand now, with the arrivals since the previous call. */
  take(now: number): protocol.control.Demand[] {
    const rows = new Map<string, Row>();
    for (const work of this.#waiting()) {
      const row = rowOf(rows, work.target);
      row.waiting += 1;
      row.deadline = Math.min(row.deadline, work.deadline - now);
    }
    for (const { work } of this.#dispatcher.running) {
      rowOf(rows, work.target).running += 1;
    }
    for (const [target, arrivals] of this.#arrivals) {
      rowOf(rows, target).arrivals = arrivals;
    }
    this.#arrivals = new Map();
    return [...rows].map(([target, row]) => ({
      target,
      waiting: row.waiting,
      running: row.running,
      earliestDeadlineMs: Math.max(0, row.deadline),
      arrivals: row.arrivals,
    }));
  }

  *#waiting(): Generator<types.Work> {
    yield* this.#admission.waiting();
    yield* this.#placement.waiting();
  }
}

function rowOf(rows: Map<string, Row>, target: string): Row {
  const known = rows.get(target);
  if (known !== undefined) return known;
  const row = { waiting: 0, running: 0, deadline: NO_DEADLINE_MS, arrivals: 0 };
  rows.set(target, row);
  return row;
}
