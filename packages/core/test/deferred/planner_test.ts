import { expect } from "chai";
import * as deferred from "../../src/deferred/mod.ts";
import type * as state from "../../src/state/mod.ts";
import * as fixtures from "../state/fixtures.ts";

const HOUR_MS = 3_600_000;

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

function plannerInput(
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
  const notUrgent = [waiting("1", HOUR_MS), waiting("2", 2 * HOUR_MS)];

  it("uses spare capacity of loaded models, earliest deadline first", () => {
    const plan = deferred.plan(plannerInput(notUrgent, { spare: 1 }));
    expect(idsOf(plan)).to.deep.equal(["1"]);
    expect(plan.demands).to.deep.equal([]);
  });

  it("delays requests while the model is busy and time remains", () => {
    expect(idsOf(deferred.plan(plannerInput(notUrgent, { spare: 0 })))).to.deep
      .equal([]);
  });

  it("runs requests near their deadline even without spare capacity", () => {
    const items = [...notUrgent, waiting("3", 5_500)];
    expect(idsOf(deferred.plan(plannerInput(items, {})))).to.deep.equal(["3"]);
  });

  it("batches requests, loads into idle memory, then allows eviction", () => {
    const unloaded = { loaded: false };
    const batching = deferred.plan(plannerInput(notUrgent, unloaded));
    expect(batching.demands).to.deep.equal([]);
    const batched = deferred.plan(
      plannerInput(notUrgent, unloaded, { timeMs: 31_000 }),
    );
    expect(batched.demands[0]).to.include({ mayEvict: false, waiting: 1 });
    const near = [waiting("3", 14_000), waiting("4", 14_000)];
    expect(deferred.plan(plannerInput(near, unloaded)).demands[0]).to.deep
      .equal({
        target: "advice/a",
        waiting: 2,
        running: 0,
        deadlineMs: 14_050,
        mayEvict: true,
      });
  });

  it("starts a large group early enough for all of its rounds", () => {
    const items = Array.from({ length: 8 }, (_, i) => waiting(`${i}`, 8_900));
    expect(idsOf(deferred.plan(plannerInput(items, {})))).to.have.length(8);
    const later = Array.from({ length: 8 }, (_, i) => waiting(`${i}`, 9_100));
    expect(idsOf(deferred.plan(plannerInput(later, {})))).to.have.length(0);
  });

  it("assigns by load and limits the assignments of each host", () => {
    const items = Array.from(
      { length: 40 },
      (_, i) => waiting(`${i}`, HOUR_MS),
    );
    const few = deferred.plan(plannerInput(items.slice(0, 4), { spare: 4 }));
    expect(few.assignments.map(({ ids }) => ids.length)).to.deep.equal([1, 3]);
    const many = deferred.plan(plannerInput(items, { spare: 40 }));
    expect(many.assignments.map(({ ids }) => ids.length))
      .to.deep.equal([16, 16]);
  });
});
