import { expect } from "chai";
import { CopyNeeds } from "../../src/gateway/copy_needs.ts";
import { type PlannerInput, planRound } from "../../src/gateway/mod.ts";
import * as fixtures from "./fixtures.ts";

const planOrders = (one: PlannerInput) => planRound(one).orders;

const { demand, heldModel, input, server } = fixtures;
const LOAD_MS = 6_000;

describe("gateway copy needs", () => {
  const busy = demand({ model: "a", arrivalsPerSecond: 0.5 });

  it("counts requests whose only copy a load puts out of reach", () => {
    const only = server({ id: "s1", onDisk: new Set(["a"]) });
    const needs = new CopyNeeds([only, server({ id: "s2" })], [busy]);
    expect(needs.blockedRequests(only, LOAD_MS)).to.equal(1 + 3);
  });

  it("counts none where another server has the model at hand", () => {
    const only = server({ id: "s1", onDisk: new Set(["a"]) });
    const others = [
      server({ id: "s2", models: [heldModel("a")] }),
      server({ id: "s2", onDisk: new Set(["a"]) }),
    ];
    for (const other of others) {
      const needs = new CopyNeeds([only, other], [busy]);
      expect(needs.blockedRequests(only, LOAD_MS)).to.equal(0);
    }
  });

  it("doesn't count on a server that is busy for long, or out", () => {
    const only = server({ id: "s1", onDisk: new Set(["a"]) });
    const others = [
      server({ id: "s2", onDisk: new Set(["a"]), busyMs: 10_000 }),
      server({ id: "s2", onDisk: new Set(["a"]), isUsable: false }),
    ];
    for (const other of others) {
      const needs = new CopyNeeds([only, other], [busy]);
      expect(needs.blockedRequests(only, LOAD_MS)).to.be.above(0);
    }
  });
});

describe("gateway load planner, with loads from the store", () => {
  it("loads a rare model on a server whose copies nobody needs", () => {
    const servers = [
      server({ id: "s1", onDisk: new Set(["a"]), models: [heldModel("c")] }),
      server({ id: "s2", models: [heldModel("c")] }),
    ];
    const orders = planOrders(input({
      servers,
      demand: [
        demand({ model: "a", slacksMs: [], arrivalsPerSecond: 0.6 }),
        demand({ model: "b" }),
      ],
    }));
    expect(
      orders.map(({ kind, model, server }) => `${kind} ${model} ${server}`),
    )
      .to.deep.equal(["load b s2"]);
  });

  it("leaves the last server that can load a busy model to it", () => {
    const servers = [server({
      id: "s1",
      onDisk: new Set(["a"]),
      models: [heldModel("c")],
    })];
    const plan = (unservedMs: number) =>
      planOrders(input({
        servers,
        demand: [
          demand({ model: "a", slacksMs: [], arrivalsPerSecond: 0.6 }),
          demand({ model: "b" }),
        ],
        unservedMs: new Map([["b", unservedMs]]),
      })).map(({ kind, model }) => `${kind} ${model}`);
    expect(plan(0)).to.deep.equal([]);
    expect(plan(8_000)).to.deep.equal(["load b"]);
  });

  it("begins beyond the store's bound for far more requests", () => {
    const loaded = (slacksMs: number[]) =>
      planOrders(input({
        servers: [server({ id: "s1" }), server({ id: "s2" })],
        demand: [demand({ model: "b", slacksMs })],
        canLoadFromStore: false,
        canOverloadStore: true,
      })).length;
    expect(loaded([500])).to.equal(0);
    expect(loaded([500, 500, 500, 500])).to.equal(1);
  });

  it("loads from a disk beside a load from the store that takes longer", () => {
    const plan = (busyMs: number) =>
      planOrders(input({
        servers: [
          server({ id: "s1", loading: "a", busyMs }),
          server({ id: "s2", onDisk: new Set(["a"]) }),
        ],
        demand: [demand({ model: "a" })],
      })).map(({ kind, server }) => `${kind} ${server}`);
    expect(plan(1_500)).to.deep.equal([]);
    expect(plan(5_000)).to.deep.equal(["load s2"]);
  });
});
