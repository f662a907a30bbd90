import * as fc from "fast-check";
import { expect } from "chai";
import process from "node:process";
import type { ClusterEvent } from "./cluster_event.ts";
import { runSimulations } from "./simulation.ts";

const CI_SEEDS = [21, 22, 23];
const CI_RUNS = 40;
const LONG_MODE_TIMEOUT_MS = 24 * 60 * 60 * 1000;
/** Simultaneous failures that the group has to tolerate. */
const TOLERATED_FAILURES = 2;
const GROUP_SIZE = 2 * TOLERATED_FAILURES + 1;

const node = fc.nat(9);

function onNode<K extends string>(kind: K) {
  return fc.record({ kind: fc.constant(kind), node });
}

/** Wiped disks, stopped hosts and broken links, in random order. */
const event: fc.Arbitrary<ClusterEvent> = fc.oneof(
  {
    weight: 10,
    arbitrary: fc.record({
      kind: fc.constant("run" as const),
      ms: fc.integer({ min: 50, max: 4_000 }),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("propose" as const),
      node,
      count: fc.integer({ min: 1, max: 9 }),
    }),
  },
  { weight: 4, arbitrary: onNode("loseDisk") },
  { weight: 2, arbitrary: onNode("crash") },
  { weight: 3, arbitrary: onNode("restart") },
  { weight: 3, arbitrary: onNode("reboot") },
  { weight: 3, arbitrary: onNode("isolate") },
  { weight: 1, arbitrary: onNode("transfer") },
  { weight: 5, arbitrary: fc.constant<ClusterEvent>({ kind: "heal" }) },
  { weight: 1, arbitrary: fc.constant<ClusterEvent>({ kind: "snapshot" }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("pause" as const),
      node,
      ms: fc.integer({ min: 100, max: 5_000 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("cut" as const),
      from: node,
      to: node,
      both: fc.boolean(),
    }),
  },
);

const run = fc.record({
  seed: fc.integer(),
  size: fc.constantFrom(3, 5),
  events: fc.array(event, { minLength: 40, maxLength: 90, size: "max" }),
});

describe("automatic membership under interleavings", () => {
  const seedOverride = process.env["EBONYPATH_SEED"];
  const runs = Number(process.env["EBONYPATH_RUNS"] ?? CI_RUNS);
  const seeds = seedOverride === undefined ? CI_SEEDS : [Number(seedOverride)];
  for (const seed of seeds) {
    it(`upholds the invariants and makes all hosts voters in the end, seed ${seed}, ${runs} runs`, function () {
      if (runs > CI_RUNS) this.timeout(LONG_MODE_TIMEOUT_MS);
      const steps = runSimulations(run, {
        seed,
        numRuns: runs,
        before: (cluster) => cluster.enableAutoMembership(GROUP_SIZE),
        after: (cluster) => cluster.expectAllNodesVoting(),
      });
      expect(steps).to.be.greaterThan(10_000);
    });
  }
});
