import { expect } from "chai";
import process from "node:process";
import * as fakes from "./fake_server.ts";
import * as fixtures from "./fixtures.ts";
import * as worlds from "./simulation.ts";

/** `PLACEMENT_SEED` and `PLACEMENT_RUNS` choose other and longer runs. */
const FIRST_SEED = Number(process.env["PLACEMENT_SEED"] ?? 1);
const RUNS = Number(process.env["PLACEMENT_RUNS"] ?? 20);
const DURATION_MS = 200_000;
/** Allowance for long runs. */
const RUN_TIMEOUT_MS = 1_000;
const SIZES = { a: 2, b: 3, c: 4, d: 5, e: 3 };
const { GB } = fixtures;

/** Runs a world under changing demand; returns the first violation. */
function violationOf(seed: number, waitOutMs?: number): string | undefined {
  const isSmall = seed % 3 === 0;
  const isFenced = (index: number) => (seed + index) % 2 === 0;
  const world = new worlds.World({
    seed,
    // Every third world has one server and many changes of the leader.
    faults: isSmall
      ? { ...worlds.ALL_FAULTS, leaderChange: 0.1 }
      : worlds.ALL_FAULTS,
    servers: (isSmall ? [0] : [0, 1, 2]).map((index) =>
      new fakes.FakeServer({
        id: `s${index}`,
        failureDomain: `d${index}`,
        memoryBytes: 8 * GB,
        checksFencing: isFenced(index),
      })
    ),
    configuration: fixtures.configuration(SIZES, { maxReplicas: 2 }),
    ...(waitOutMs === undefined ? {} : { waitOutMs }),
  });
  const targets = Object.keys(SIZES)
    .flatMap((name) => [`advice/${name}`, `advice/${name}:x`]);
  const change = () => {
    for (const host of ["h1", "h2"]) {
      const waiting = world.chance(0.7) ? world.between(1, 9) : 0;
      world.demand(host, world.pick(targets), waiting);
    }
    world.at(world.between(500, 4_000), change);
  };
  change();
  world.run(DURATION_MS);
  return world.violations[0];
}

describe("placement under faults", () => {
  it(`loads nothing undecided and overcommits no memory (${RUNS} seeds from ${FIRST_SEED})`, function () {
    this.timeout(30_000 + RUNS * RUN_TIMEOUT_MS);
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      expect(violationOf(seed) ?? "none").to.equal("none");
    }
  });

  it("is violated by a leader that does not wait out earlier orders", function () {
    this.timeout(30_000 + RUNS * RUN_TIMEOUT_MS);
    const violations = [];
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      violations.push(violationOf(seed, -10_000));
      if (violations.at(-1) !== undefined) break;
    }
    expect(violations.at(-1)).to.be.a("string");
  });
});
