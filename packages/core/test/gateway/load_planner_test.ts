import { expect } from "chai";
import fastCheck from "fast-check";
import { type PlannerServer, planOrders } from "../../src/gateway/mod.ts";
import * as fixtures from "./fixtures.ts";

const { held, need, scene, server } = fixtures;

describe("gateway paging", () => {
  it("loads a model that requests wait for, where its weights are near", () => {
    const servers = [
      server({ id: "s1" }),
      server({ id: "s2", onDisk: new Set(["a"]) }),
    ];
    const orders = planOrders(
      scene({ servers, demand: [need({ model: "a" })] }),
    );
    expect(orders).to.deep.equal([
      {
        kind: "load",
        server: "s2",
        model: "a",
        source: "disk",
        expectedMs: 2_000,
      },
    ]);
  });

  it("waits for a server that has the weights rather than use the store", () => {
    const servers = [
      server({ id: "s1" }),
      server({ id: "s2", onDisk: new Set(["a"]), busyMs: 500 }),
    ];
    const needs = [need({ model: "a" })];
    expect(planOrders(scene({ servers, demand: needs }))).to.deep.equal([]);
  });

  it("drops the model that is wanted least first", () => {
    const servers = [
      server({
        id: "s1",
        models: [held("b"), held("c"), held("d")],
        onDisk: new Set(["a"]),
      }),
    ];
    const needs = [
      need({ model: "a" }),
      need({ model: "b", slacksMs: [], arrivalsPerSecond: 0.4 }),
      need({ model: "c", slacksMs: [], arrivalsPerSecond: 0.01 }),
      need({ model: "d", slacksMs: [], arrivalsPerSecond: 0.3 }),
    ];
    expect(planOrders(scene({ servers, demand: needs }))).to.deep.equal([
      { kind: "unload", server: "s1", model: "c" },
    ]);
  });

  it("keeps two places for a model that is wanted all the time", () => {
    const servers = ["s1", "s2"].map((id) =>
      server({ id, models: [held("b"), held("c"), held("d")] })
    );
    const needs = [
      need({ model: "a" }),
      ...["b", "c", "d"].map((model) =>
        need({ model, slacksMs: [], arrivalsPerSecond: 3, concurrency: 2 })
      ),
    ];
    expect(planOrders(scene({ servers, demand: needs }))).to.deep.equal([]);
  });

  it("waits for a model that nothing runs on, unless requests are very late", () => {
    const running = new Map([["b", 1], ["c", 2], ["d", 1]]);
    const models = [held("b"), held("c"), held("d")];
    const servers = [server({ id: "s1", models, running })];
    const orders = (slackMs: number) =>
      planOrders(
        scene({ servers, demand: [need({ model: "a", slacksMs: [slackMs] })] }),
      );
    expect(orders(500)).to.deep.equal([]);
    expect(orders(-3_000).map(({ kind }) => kind)).to.deep.equal(["unload"]);
  });

  it("does not drop what it has just loaded", () => {
    const servers = [
      server({ id: "s1", models: [held("b"), held("c"), held("d")] }),
    ];
    const loadedAt = new Map(
      ["b", "c", "d"].map((name) => [`s1 ${name}`, 99_500]),
    );
    const needs = [need({ model: "a" })];
    expect(planOrders(scene({ servers, demand: needs, loadedAt }))).to.deep
      .equal([]);
  });

  it("loads first what more requests gain from", () => {
    const onDisk = new Set(["a", "b"]);
    const servers = [server({ id: "s1", onDisk })];
    const first = (needs: Parameters<typeof need>[0][]) =>
      planOrders(scene({ servers, demand: needs.map(need) }))[0]?.model;
    // One that can be in time goes before one that is late anyway.
    expect(first([
      { model: "a", slacksMs: [-500] },
      { model: "b", slacksMs: [2_500] },
    ])).to.equal("b");
    // A model that many requests will come for goes before a rare one.
    expect(first([
      { model: "a", slacksMs: [600], arrivalsPerSecond: 3 },
      { model: "b", slacksMs: [2_500], arrivalsPerSecond: 0.1 },
    ])).to.equal("a");
    // A request that has waited for long is not passed over for ever.
    expect(first([
      { model: "a", slacksMs: [-8_000, -7_500] },
      { model: "b", slacksMs: [2_500] },
    ])).to.equal("a");
  });

  it("fetches an adapter where its model is", () => {
    const servers = [
      server({ id: "s1", models: [held("a")] }),
      server({ id: "s2", models: [held("b")] }),
    ];
    const needs = [need({ model: "a", adapter: "a3" })];
    expect(planOrders(scene({ servers, demand: needs }))).to.deep.equal([
      { kind: "load-adapter", server: "s1", model: "a", adapter: "a3" },
    ]);
  });

  it("gives a busy server no order for an adapter", () => {
    const servers = [server({ id: "s1", models: [held("a")], busyMs: 400 })];
    const needs = [need({ model: "a", adapter: "a3" })];
    expect(planOrders(scene({ servers, demand: needs }))).to.deep.equal([]);
  });

  it("makes room for an adapter by dropping one that nothing runs", () => {
    const adapters = ["a1", "a2", "a3", "a4"];
    const servers = [
      server({
        id: "s1",
        models: [held("a", adapters)],
        running: new Map([["a/a1", 1], ["a/a2", 1], ["a/a4", 1]]),
      }),
    ];
    const needs = [need({ model: "a", adapter: "a5" })];
    expect(planOrders(scene({ servers, demand: needs }))).to.deep.equal([
      { kind: "unload-adapter", server: "s1", model: "a", adapter: "a3" },
    ]);
  });

  it("fills the last place for an adapter once in a round", () => {
    const servers = [
      server({ id: "s1", models: [held("a", ["a1", "a2", "a3"])] }),
    ];
    const needs = ["a5", "a6"].map((adapter) => need({ model: "a", adapter }));
    const orders = planOrders(scene({ servers, demand: needs }));
    expect(orders.map(({ kind }) => kind))
      .to.deep.equal(["load-adapter", "unload-adapter"]);
  });

  it("drops one adapter at a time on a server", () => {
    const adapters = ["a1", "a2", "a3", "a4"];
    const servers = [
      server({
        id: "s1",
        models: [held("a", adapters)],
        unloadingAdapters: new Set(["a/a1"]),
      }),
    ];
    const needs = [need({ model: "a", adapter: "a5" })];
    expect(planOrders(scene({ servers, demand: needs }))).to.deep.equal([]);
  });

  it("never orders more than a server holds, in any scene", () => {
    const names = ["a", "b", "c", "d", "e", "f"];
    const servers = fastCheck.array(
      fastCheck.record({
        models: fastCheck.uniqueArray(fastCheck.constantFrom(...names), {
          maxLength: 3,
        }),
        adapters: fastCheck.nat(4),
        isUsable: fastCheck.boolean(),
        onDisk: fastCheck.uniqueArray(fastCheck.constantFrom(...names)),
      }),
      { maxLength: 4 },
    );
    const needs = fastCheck.array(
      fastCheck.record({
        model: fastCheck.constantFrom(...names),
        slacksMs: fastCheck.array(
          fastCheck.integer({ min: -9_000, max: 3_000 }),
          { maxLength: 3 },
        ),
        perSecond: fastCheck.double({ min: 0, max: 5, noNaN: true }),
        concurrency: fastCheck.double({ min: 0, max: 30, noNaN: true }),
      }),
      { maxLength: 8 },
    );
    fastCheck.assert(fastCheck.property(servers, needs, (drawn, wanted) => {
      const all = drawn.map(({ adapters, isUsable, models, onDisk }, at) =>
        server({
          id: `s${at}`,
          isUsable,
          onDisk: new Set(onDisk),
          models: models.map((name, index) =>
            held(name, index === 0 ? adaptersOf(adapters) : [])
          ),
        })
      );
      const orders = planOrders(
        scene({ servers: all, demand: wanted.map(need) }),
      );
      for (const order of orders) {
        const target = all.find(({ id }) => id === order.server);
        expect(target?.isUsable).to.equal(true);
        if (order.kind !== "load" || target === undefined) continue;
        expect(usedMb(target) + 10).to.be.at.most(31);
      }
      const heavy = orders.filter(({ kind }) =>
        kind === "load" || kind === "unload"
      );
      expect(new Set(heavy.map((order) => order.server)).size)
        .to.equal(heavy.length);
    }));
  });
});

function adaptersOf(count: number): string[] {
  return Array.from({ length: count }, (_, at) => `a${at + 1}`);
}

function usedMb({ models }: PlannerServer): number {
  return models.reduce(
    (sum, { adapters }) => sum + 10 + adapters.length * 0.1,
    0,
  );
}
