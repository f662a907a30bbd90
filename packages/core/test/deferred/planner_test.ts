import { expect } from "chai";
import * as deferred from "../../src/deferred/mod.ts";
import type * as state from "../../src/state/mod.ts";
import * as fixtures from "../state/fixtures.ts";

const HOURS_MS = 3_600_000;

function waiting(
  id: string,
  remainingMs: number,
  model = "advice/a",
): state.WaitingDeferredRequest {
  const { request } = fixtures.accept(id);
  return {
    id,
    workspace: "web",
    key: undefined,
    requestDigest: "",
    idempotent: true,
    acceptedMs: 0,
    deadlineMs: 1_000 + remainingMs,
    cancelled: false,
    mayHaveRun: false,
    phase: { kind: "waiting", request: { ...request, model } },
  };
}

function facts(
  items: readonly state.WaitingDeferredRequest[],
  capacity: Partial<deferred.TargetCapacity>,
  options: Partial<deferred.PlannerInput> = {},
): deferred.PlannerInput {
  const base = {
    loaded: true,
    spare: 0,
    loadMs: 10_000,
    requestMs: 1_000,
    concurrency: 2,
  };
  return {
    nowMs: 50,
    timeMs: 1_000,
    waiting: items,
    assigned: [],
    hosts: [
      { host: "h1", hostIncarnation: "a", load: 2 },
      { host: "h2", hostIncarnation: "b", load: 0 },
    ],
    capacityOf: () => ({ ...base, ...capacity }),
    ...options,
  };
}

function idsOf({ assignments }: deferred.Plan): string[] {
  return assignments.flatMap(({ ids }) => ids).sort();
}

describe("planner of deferred requests", () => {
  const late = [waiting("1", HOURS_MS), waiting("2", 2 * HOURS_MS)];

  it("uses the spare capacity of loaded models, earliest deadline first", () => {
    const plan = deferred.plan(facts(late, { spare: 1 }));
    expect(idsOf(plan)).to.deep.equal(["1"]);
    expect(plan.needs).to.deep.equal([]);
  });

  it("leaves work alone while its model is busy and time is left", () => {
    expect(idsOf(deferred.plan(facts(late, { spare: 0 })))).to.deep.equal([]);
  });

  it("runs work whose deadline is near without spare capacity", () => {
    const items = [...late, waiting("3", 5_500)];
    expect(idsOf(deferred.plan(facts(items, {})))).to.deep.equal(["3"]);
  });

  it("collects requests, then asks for idle memory, then for eviction", () => {
    const model = { loaded: false };
    const collecting = deferred.plan(facts(late, model));
    expect(collecting.needs).to.deep.equal([]);
    const collected = deferred.plan(facts(late, model, { timeMs: 31_000 }));
    expect(collected.needs[0]).to.include({ mayEvict: false, waiting: 1 });
    const near = [waiting("3", 14_000), waiting("4", 14_000)];
    expect(deferred.plan(facts(near, model)).needs[0]).to.deep.equal({
      target: "advice/a",
      waiting: 2,
      running: 0,
      deadlineMs: 14_050,
      mayEvict: true,
    });
  });

  it("starts early enough for all rounds of a large group", () => {
    const items = Array.from({ length: 8 }, (_, i) => waiting(`${i}`, 8_900));
    expect(idsOf(deferred.plan(facts(items, {})))).to.have.length(8);
    const later = Array.from({ length: 8 }, (_, i) => waiting(`${i}`, 9_100));
    expect(idsOf(deferred.plan(facts(later, {})))).to.have.length(0);
  });

  it("spreads by load and bounds each host", () => {
    const items = Array.from(
      { length: 40 },
      (_, i) => waiting(`${i}`, HOURS_MS),
    );
    const few = deferred.plan(facts(items.slice(0, 4), { spare: 4 }));
    expect(few.assignments.map(({ ids }) => ids.length)).to.deep.equal([1, 3]);
    const many = deferred.plan(facts(items, { spare: 40 }));
    expect(many.assignments.map(({ ids }) => ids.length))
      .to.deep.equal([16, 16]);
  });
});
