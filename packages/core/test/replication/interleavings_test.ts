import * as fc from "fast-check";
import { expect } from "chai";
import process from "node:process";
import { FIRST_ISOLATED_NODE, LEADER_NODE } from "./cluster.ts";
import type { ClusterEvent } from "./cluster_event.ts";
import { runSimulations } from "./simulation.ts";

const CI_SEEDS = [11, 12, 13, 14];
const CI_RUNS = 60;
/** Runs of the targeted schedules for each seed in CI. */
const CI_TARGETED_RUNS = 40;
const LONG_MODE_TIMEOUT_MS = 24 * 60 * 60 * 1000;

const node = fc.nat(9);
const ms = fc.oneof(
  fc.integer({ min: 10, max: 200 }),
  fc.integer({ min: 400, max: 2000 }),
);
const advanceTime: fc.Arbitrary<ClusterEvent> = fc.record({
  kind: fc.constant("run" as const),
  ms,
});
const propose: fc.Arbitrary<ClusterEvent> = fc.record({
  kind: fc.constant("propose" as const),
  node,
  count: fc.integer({ min: 1, max: 9 }),
});

function onNode<K extends string>(kind: K) {
  return fc.record({ kind: fc.constant(kind), node });
}

function constantEvent(value: ClusterEvent): fc.Arbitrary<ClusterEvent> {
  return fc.constant(value);
}

const fault: fc.Arbitrary<ClusterEvent> = fc.oneof(
  { weight: 2, arbitrary: onNode("crash") },
  { weight: 2, arbitrary: onNode("restart") },
  { weight: 2, arbitrary: onNode("reboot") },
  { weight: 2, arbitrary: onNode("isolate") },
  { weight: 1, arbitrary: onNode("loseDisk") },
  { weight: 1, arbitrary: onNode("transfer") },
  { weight: 1, arbitrary: onNode("addLearner") },
  { weight: 2, arbitrary: onNode("promote") },
  { weight: 2, arbitrary: onNode("remove") },
  { weight: 1, arbitrary: constantEvent({ kind: "snapshot" }) },
  { weight: 4, arbitrary: constantEvent({ kind: "heal" }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("pause" as const), node, ms }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("fillDisk" as const), node, ms }),
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
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("loss" as const),
      share: fc.constantFrom(0.05, 0.2, 0.5),
    }),
  },
);

/** Elections start while the current leader may still hold a lease. */
const leaseSchedule: fc.Arbitrary<ClusterEvent[]> = fc.record({
  candidate: fc.nat(4),
  voter: fc.nat(4),
}).map(({ candidate, voter }) => [
  { kind: "heal" },
  { kind: "run", ms: 1500 },
  { kind: "cut", from: LEADER_NODE, to: candidate, both: true },
  { kind: "run", ms: 650 },
  { kind: "isolate", node: LEADER_NODE },
  { kind: "reboot", node: voter },
  { kind: "run", ms: 700 },
]);

/**
 * A leader returns from isolation with uncommitted entries and replicates them
 * to a quorum before a leader of an intermediate term returns. If entries of an
 * earlier term counted as committed, one would be lost.
 */
const olderTermSchedule: fc.Arbitrary<ClusterEvent[]> = fc.record({
  count: fc.integer({ min: 4, max: 9 }),
  appends: fc.integer({ min: 1, max: 6 }),
}).map(({ count, appends }) => [
  { kind: "heal" },
  { kind: "run", ms: 1500 },
  { kind: "isolate", node: LEADER_NODE },
  { kind: "propose", node: LEADER_NODE, count },
  { kind: "ambush", appends: 0, cut: "leader" },
  { kind: "run", ms: 2000 },
  { kind: "rejoin", node: FIRST_ISOLATED_NODE },
  { kind: "ambush", appends, cut: "sends" },
  { kind: "run", ms: 3500 },
  { kind: "isolate", node: FIRST_ISOLATED_NODE },
  { kind: "rejoin", node: FIRST_ISOLATED_NODE + 1 },
  { kind: "run", ms: 3000 },
]);

/**
 * Two connected members could commit alone if their leader were allowed to
 * remove two other members at once.
 */
const pairRemovalSchedule: fc.Arbitrary<ClusterEvent[]> = fc.record({
  follower: fc.nat(4),
  removed: fc.array(fc.nat(4), { minLength: 2, maxLength: 3 }),
}).map(({ follower, removed }) => [
  { kind: "heal" },
  { kind: "run", ms: 1500 },
  { kind: "pair", node: LEADER_NODE, other: follower },
  ...removed.map((node) => ({ kind: "remove", node }) as const),
  { kind: "run", ms: 2500 },
]);

/**
 * Successive leaders change the membership immediately: the first before it is
 * isolated, the next before an entry of its term is committed.
 */
const leaderSuccessionSchedule: fc.Arbitrary<ClusterEvent[]> = fc.record({
  first: fc.nat(3),
  others: fc.array(fc.nat(3), { minLength: 10, maxLength: 10 }),
}).map(({ first, others }) => [
  { kind: "heal" },
  { kind: "run", ms: 1500 },
  { kind: "isolate", node: LEADER_NODE },
  { kind: "remove", node: first },
  { kind: "ambush", appends: 0, cut: "follower" },
  ...others.flatMap((node) => [
    { kind: "run", ms: 250 } as const,
    { kind: "remove", node } as const,
  ]),
  { kind: "pair", node: FIRST_ISOLATED_NODE, other: FIRST_ISOLATED_NODE + 1 },
  { kind: "run", ms: 3000 },
]);

/**
 * All or most members restart at the same time. They may elect a leader early
 * only if no remaining member holds a lease.
 */
const simultaneousRebootSchedule: fc.Arbitrary<ClusterEvent[]> = fc.record({
  isolated: fc.constantFrom<ClusterEvent[]>(
    [],
    [{ kind: "isolate", node: LEADER_NODE }],
    [{ kind: "pause", node: LEADER_NODE, ms: 400 }],
  ),
  spared: fc.nat(5),
  ms: fc.nat(600),
}).map(({ isolated, ms, spared }) => [
  { kind: "heal" },
  { kind: "run", ms: 1500 },
  ...isolated,
  ...[0, 1, 2, 3, 4].filter((node) => node !== spared)
    .map((node) => ({ kind: "reboot", node }) as const),
  { kind: "run", ms },
  { kind: "heal" },
  { kind: "run", ms: 300 },
]);

function singleEvent(
  one: fc.Arbitrary<ClusterEvent>,
): fc.Arbitrary<ClusterEvent[]> {
  return one.map((event) => [event]);
}

const run = fc.record({
  seed: fc.integer(),
  size: fc.constantFrom(3, 4, 5),
  events: fc.array(
    fc.oneof(
      { arbitrary: singleEvent(advanceTime), weight: 16 },
      { arbitrary: singleEvent(propose), weight: 16 },
      { arbitrary: singleEvent(fault), weight: 24 },
      { arbitrary: leaseSchedule, weight: 1 },
    ),
    { minLength: 40, maxLength: 80, size: "max" },
  ).map((events) => events.flat()),
});

/** Group sizes at which the remaining members can just form a quorum. */
const targetedRun = fc.oneof(
  fc.record({ size: fc.constant(3), events: olderTermSchedule }),
  fc.record({ size: fc.constant(5), events: pairRemovalSchedule }),
  fc.record({ size: fc.constant(4), events: leaderSuccessionSchedule }),
  fc.record({ size: fc.constant(5), events: simultaneousRebootSchedule }),
).chain(({ size, events }) =>
  fc.record({
    seed: fc.integer(),
    size: fc.constant(size),
    events: fc.constant(events),
  })
);

describe("replication under interleavings", () => {
  const seedOverride = process.env["EBONYPATH_SEED"];
  const runs = Number(process.env["EBONYPATH_RUNS"] ?? CI_RUNS);
  const targetedRuns = runs > CI_RUNS ? runs : CI_TARGETED_RUNS;
  const seeds = seedOverride === undefined ? CI_SEEDS : [Number(seedOverride)];
  for (const seed of seeds) {
    it(`upholds the invariants, seed ${seed}, ${runs} runs`, function () {
      if (runs > CI_RUNS) {
        this.timeout(LONG_MODE_TIMEOUT_MS);
      }
      expect(runSimulations(run, { seed, numRuns: runs })).to.be.greaterThan(
        1000,
      );
    });
    it(`upholds the invariants in targeted schedules, seed ${seed}, ${targetedRuns} runs`, function () {
      if (runs > CI_RUNS) {
        this.timeout(LONG_MODE_TIMEOUT_MS);
      }
      expect(runSimulations(targetedRun, { seed, numRuns: targetedRuns })).to.be
        .greaterThan(
          1000,
        );
    });
  }
});
