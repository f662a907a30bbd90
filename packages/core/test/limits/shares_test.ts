/**
 * Property tests: leased shares never exceed the limit, regardless of lost,
 * late and repeated messages, restarts and changes of leader.
 *
 * @module
 */

import { limits } from "@ebonypath/core";
import { expect } from "chai";
import * as fc from "fast-check";
import {
  FleetSimulation,
  type GrantLog,
  maxExcess,
  POOL,
} from "./fleet_simulation.ts";

const SEED = 20261204;
const RUNS = 400;
const ROUNDING = 1e-3;
const HOSTS = 3;
const LIMIT = { rate: 20, burst: 300 };
const GREEDY_REQUEST_MS = 1500;
const SLOTS = 5;

const host = fc.nat(HOSTS - 1);
const fraction = fc.double({ min: 0, max: 1, noNaN: true });

/** Mostly 1, so that any excess token is consumed. */
const greedy = fc.oneof(
  { weight: 3, arbitrary: fc.constant(1) },
  { weight: 1, arbitrary: fraction },
);

const anyStep = fc.oneof(
  weighted(12, { kind: fc.constant("exchange"), host }),
  weighted(6, { kind: fc.constant("report"), host }),
  weighted(10, {
    kind: fc.constant("deliver"),
    index: fc.nat(4),
    isDuplicated: fc.nat(5).map((value) => value === 0),
  }),
  weighted(1, { kind: fc.constant("lose"), index: fc.nat(4) }),
  weighted(12, {
    kind: fc.constant("advance"),
    ms: fc.oneof(
      fc.nat(60),
      fc.nat(1000),
      fc.integer({ min: 2500, max: 3100 }),
    ),
  }),
  weighted(6, {
    kind: fc.constant("want"),
    host,
    tokens: fc.nat(LIMIT.burst),
    fraction: greedy,
    slots: fc.nat(SLOTS),
  }),
  weighted(3, { kind: fc.constant("expect"), host, slots: fc.nat(SLOTS) }),
  weighted(12, { kind: fc.constant("reserve"), host, fraction: greedy }),
  weighted(8, {
    kind: fc.constant("use"),
    host,
    fraction: greedy,
    settles: fc.boolean(),
  }),
  weighted(10, {
    kind: fc.constant("acquire"),
    host,
    ms: fc.integer({ min: 100, max: 20_000 }),
  }),
  weighted(3, { kind: fc.constant("release"), host }),
  weighted(3, { kind: fc.constant("give-up"), host }),
  weighted(1, { kind: fc.constant("restart"), host }),
  weighted(1, {
    kind: fc.constant("fail-over"),
    commitsDisables: fc.boolean(),
  }),
  weighted(2, { kind: fc.constant("close-unused") }),
  weighted(1, {
    kind: fc.constant("rest"),
    ms: fc.oneof(
      fc.integer({ min: 2000, max: 8000 }),
      fc.integer({ min: 8000, max: 40_000 }),
    ),
    failsOver: fc.boolean(),
  }),
  weighted(1, {
    kind: fc.constant("commits"),
    isCommitting: fc.nat(3).map((value) => value > 0),
  }),
  weighted(2, { kind: fc.constant("announce") }),
  weighted(1, {
    kind: fc.constant("limits"),
    fraction,
    slots: fc.integer({ min: 1, max: SLOTS }),
  }),
);

function weighted(
  weight: number,
  fields: Record<string, fc.Arbitrary<unknown>>,
): fc.WeightedArbitrary<Step> {
  return { weight, arbitrary: fc.record(fields) as fc.Arbitrary<Step> };
}

type Step = {
  kind: string;
  host?: number;
  index?: number;
  ms?: number;
  tokens?: number;
  slots?: number;
  fraction?: number;
  settles?: boolean;
  isDuplicated?: boolean;
  commitsDisables?: boolean;
  isCommitting?: boolean;
  failsOver?: boolean;
};

function apply(fleet: FleetSimulation, step: Step): void {
  const index = step.host ?? 0;
  switch (step.kind) {
    case "exchange":
      return fleet.exchange(index);
    case "report":
      return fleet.report(index);
    case "deliver":
      return fleet.deliver(step.index!, step.isDuplicated!);
    case "lose":
      return void fleet.messages.splice(step.index!, 1);
    case "advance":
      return fleet.advance(step.ms!);
    case "want":
      return fleet.setWaiting(index, step.tokens!, step.slots!, step.fraction!);
    case "expect":
      return fleet.expect(index, step.slots!);
    case "reserve":
      return void fleet.reserve(
        index,
        step.fraction! * availableTo(fleet, index),
      );
    case "use":
      return fleet.use(index, step.fraction!, step.settles!);
    case "acquire":
      return fleet.acquire(index, step.ms!);
    case "release":
      return fleet.release(index);
    case "give-up":
      return fleet.abandon(index);
    case "restart":
      return fleet.restart(index);
    case "fail-over":
      return fleet.failOver(undefined, step.commitsDisables!);
    case "close-unused":
      return fleet.disableIdlePools();
    case "rest":
      fleet.idle(step.ms!);
      if (step.failsOver!) fleet.failOver(undefined, true);
      return;
    case "commits":
      return void (fleet.isCommitting = step.isCommitting!);
    case "announce":
      return fleet.announce();
    case "limits": {
      const part = 0.2 + 0.8 * step.fraction!;
      const limit = { rate: LIMIT.rate * part, burst: LIMIT.burst * part };
      return fleet.setLimits(limit, step.slots!);
    }
  }
}

/** Every host demands everything and immediately uses whatever it has. */
function consumeAll(fleet: FleetSimulation): void {
  for (let index = 0; index < HOSTS; index++) {
    fleet.setWaiting(index, LIMIT.burst, SLOTS);
    const tokens = availableTo(fleet, index);
    if (tokens > ROUNDING && fleet.reserve(index, tokens)) {
      fleet.use(index, 1, true);
    }
    fleet.acquire(index, GREEDY_REQUEST_MS);
  }
}

function availableTo(fleet: FleetSimulation, index: number): number {
  const { shares, clock } = fleet.hosts[index]!;
  return shares.availableTokens(POOL, clock.at(fleet.time));
}

/** Checks the limits after each step of random step sequences. */
function checkLimits(grantLog: GrantLog): void {
  const drift = fc.constantFrom(-1, 0, 1)
    .map((sign) => sign * limits.CLOCK_DRIFT);
  const drifts = fc.array(drift, { minLength: HOSTS, maxLength: HOSTS });
  const anySteps = fc.array(anyStep, {
    minLength: 1,
    maxLength: 300,
    size: "max",
  });
  const property = fc.property(
    drifts,
    anySteps,
    fc.boolean(),
    (clocks, steps, greedy) => {
      const fleet = new FleetSimulation(clocks, LIMIT, SLOTS, grantLog);
      for (const step of steps) {
        apply(fleet, step);
        if (greedy) {
          consumeAll(fleet);
        }
        const live = fleet.liveShares();
        expect(live.capacity).to.be.at.most(LIMIT.burst + ROUNDING);
        expect(live.rate).to.be.at.most(LIMIT.rate + ROUNDING);
        expect(fleet.running()).to.be.at.most(SLOTS);
      }
      fleet.settleAll();
      expect(maxExcess(fleet.settled, LIMIT)).to.be.below(ROUNDING);
      expect(maxExcess(fleet.reserved, LIMIT)).to.be.below(ROUNDING);
    },
  );
  fc.assert(property, { seed: SEED, numRuns: RUNS });
}

describe("leased shares with lost, late and repeated messages", () => {
  it(`never exceed the limit (seed ${SEED})`, () => {
    checkLimits("unused");
  });

  it("never exceed it if grantable pools are committed to the log", () => {
    checkLimits("kept");
  });

  it("exceed it if a new leader does not find them in the log", () => {
    expect(() => checkLimits("lost")).to.throw("Property failed");
  });
});
