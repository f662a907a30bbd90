import * as fc from "fast-check";
import { Cluster } from "./cluster.ts";
import type { Event } from "./event.ts";

/** Time in which a new group elects its first leader, in milliseconds. */
const FORMING_MS = 2_000;

/** A drawn run of a cluster. */
export type Run = {
  readonly seed: number;
  readonly size: number;
  readonly events: Event[];
};

/** How many runs are played, and what is done beside their events. */
export type Plan = {
  readonly seed: number;
  readonly numRuns: number;
  /** Called with each cluster before its first event. */
  readonly before?: (cluster: Cluster) => void;
  /** Called with each cluster once it has recovered. */
  readonly after?: (cluster: Cluster) => void;
};

/**
 * Plays runs; the checker refuses every step that breaks a promise of the log.
 * Returns the steps of all runs.
 */
export function playRuns(
  runs: fc.Arbitrary<Run>,
  { after, before, numRuns, seed }: Plan,
): number {
  let steps = 0;
  const property = fc.property(runs, ({ events, seed, size }) => {
    const cluster = new Cluster(seed, size);
    before?.(cluster);
    cluster.happen({ kind: "run", ms: FORMING_MS });
    events.forEach((event) => cluster.happen(event));
    cluster.recover();
    after?.(cluster);
    steps += cluster.checker.steps;
  });
  fc.assert(property, { seed, numRuns });
  return steps;
}
