import * as fc from "fast-check";
import { Cluster } from "./cluster.ts";
import type { ClusterEvent } from "./cluster_event.ts";

/** Time for a new group to elect its first leader, in milliseconds. */
const FIRST_ELECTION_MS = 2_000;

/** Generated run of a cluster. */
export type SimulatedRun = {
  readonly seed: number;
  readonly size: number;
  readonly events: ClusterEvent[];
};

/** Number of runs, their seed, and hooks around the events of each run. */
export type SimulationOptions = {
  readonly seed: number;
  readonly numRuns: number;
  /** Called with each cluster before its first event. */
  readonly before?: (cluster: Cluster) => void;
  /** Called with each cluster after it has recovered. */
  readonly after?: (cluster: Cluster) => void;
};

/**
 * Runs generated simulations; the checker throws on any step that violates an
 * invariant. Returns the number of steps of all runs.
 */
export function runSimulations(
  runs: fc.Arbitrary<SimulatedRun>,
  { after, before, numRuns, seed }: SimulationOptions,
): number {
  let steps = 0;
  const property = fc.property(runs, ({ events, seed, size }) => {
    const cluster = new Cluster(seed, size);
    before?.(cluster);
    cluster.applyEvent({ kind: "run", ms: FIRST_ELECTION_MS });
    events.forEach((event) => cluster.applyEvent(event));
    cluster.recover();
    after?.(cluster);
    steps += cluster.checker.steps;
  });
  fc.assert(property, { seed, numRuns });
  return steps;
}
