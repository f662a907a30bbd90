import { expect } from "chai";
import fastCheck from "fast-check";
import {
  type PlannerInput,
  type PlannerServer,
  planRound,
} from "../../src/gateway/mod.ts";
import * as fixtures from "./fixtures.ts";

const { demand, heldModel, input, server } = fixtures;

const planOrders = (one: PlannerInput) => planRound(one).orders;

describe("gateway load planner", () => {
  it("loads a requested model on the server that has its weights", () => {
    const servers = [
      server({ id: "s1" }),
      server({ id: "s2", onDisk: new Set(["a"]) }),
    ];
    const orders = planOrders(
      input({ servers, demand: [demand({ model: "a" })] }),
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

  it("loads a steadily used model elsewhere when its only server leaves", () => {
    const leaving = { isUsable: false, isLeaving: true };
    const ordersFor = (arrivalsPerSecond: number) =>
      planOrders(input({
        servers: [
          server({ id: "s1", models: [heldModel("a")], ...leaving }),
          server({ id: "s2", onDisk: new Set(["a"]) }),
        ],
        demand: [demand({ model: "a", slacksMs: [], arrivalsPerSecond })],
      })).map(({ kind, server }) => `${kind} ${server}`);
    expect(ordersFor(0.5)).to.deep.equal(["load s2"]);
    expect(ordersFor(0)).to.deep.equal([]);
  });

  it("waits for a busy server with the weights rather than use the store", () => {
    const servers = [
      server({ id: "s1" }),
      server({ id: "s2", onDisk: new Set(["a"]), busyMs: 500 }),
    ];
    const demands = [demand({ model: "a" })];
    expect(planOrders(input({ servers, demand: demands }))).to.deep.equal([]);
  });

  it("tells that a model is about to be loaded before it is ordered", () => {
    const plannedAt = (one: PlannerServer) =>
      planRound(input({ servers: [one], demand: [demand({ model: "a" })] }))
        .planned.has("a");
    const onDisk = new Set(["a"]);
    expect(plannedAt(server({ id: "s1", onDisk, busyMs: 500 }))).to.equal(true);
    expect(plannedAt(server({ id: "s1", onDisk, isUsable: false })))
      .to.equal(false);
    const models = [heldModel("b"), heldModel("c"), heldModel("d")];
    expect(plannedAt(server({ id: "s1", onDisk, models }))).to.equal(true);
  });

  it("loads the model of a resumed stream at a server of its software version", () => {
    const servers = [
      server({ id: "s1", softwareVersion: "v1", models: [heldModel("a")] }),
      server({ id: "s2", softwareVersion: "v2", onDisk: new Set(["a"]) }),
      server({ id: "s3", softwareVersion: "v1", onDisk: new Set(["a"]) }),
    ];
    const ordersFor = (softwareVersion: string, adapter?: string) =>
      planOrders(input({
        servers,
        demand: [demand({ model: "a", adapter, softwareVersion })],
      })).map(({ kind, server }) => `${kind} ${server}`);
    expect(ordersFor("v1")).to.deep.equal([]);
    expect(ordersFor("v2")).to.deep.equal(["load s2"]);
    expect(ordersFor("v1", "a1")).to.deep.equal(["load-adapter s1"]);
    expect(ordersFor("v2", "a1")).to.deep.equal(["load s2"]);
    expect(ordersFor("v3")).to.deep.equal([]);
  });

  it("loads a missing model once for a resumed stream", () => {
    const orders = planOrders(input({
      servers: [
        server({ id: "s1", softwareVersion: "v1", onDisk: new Set(["a"]) }),
        server({ id: "s2", softwareVersion: "v2", onDisk: new Set(["a"]) }),
      ],
      demand: [
        demand({ model: "a" }),
        demand({ model: "a", softwareVersion: "v2" }),
      ],
    }));
    expect(orders.map(({ kind, server }) => `${kind} ${server}`))
      .to.deep.equal(["load s2"]);
  });

  it("evicts the model with the least demand first", () => {
    const servers = [
      server({
        id: "s1",
        models: [heldModel("b"), heldModel("c"), heldModel("d")],
        onDisk: new Set(["a"]),
      }),
    ];
    const demands = [
      demand({ model: "a" }),
      demand({ model: "b", slacksMs: [], arrivalsPerSecond: 0.4 }),
      demand({ model: "c", slacksMs: [], arrivalsPerSecond: 0.01 }),
      demand({ model: "d", slacksMs: [], arrivalsPerSecond: 0.3 }),
    ];
    expect(planOrders(input({ servers, demand: demands }))).to.deep.equal([
      { kind: "unload", server: "s1", model: "c" },
    ]);
  });

  it("keeps two replicas of a model with steady demand", () => {
    const servers = ["s1", "s2"].map((id) =>
      server({ id, models: [heldModel("b"), heldModel("c"), heldModel("d")] })
    );
    const demands = [
      demand({ model: "a" }),
      ...["b", "c", "d"].map((model) =>
        demand({ model, slacksMs: [], arrivalsPerSecond: 3, concurrency: 2 })
      ),
    ];
    expect(planOrders(input({ servers, demand: demands }))).to.deep.equal([]);
  });

  it("evicts a model with running requests only for very late ones", () => {
    const running = new Map([["b", 1], ["c", 2], ["d", 1]]);
    const models = [heldModel("b"), heldModel("c"), heldModel("d")];
    const servers = [server({ id: "s1", models, running })];
    const orders = (slackMs: number) =>
      planOrders(
        input({
          servers,
          demand: [demand({ model: "a", slacksMs: [slackMs] })],
        }),
      );
    expect(orders(500)).to.deep.equal([]);
    expect(orders(-3_000).map(({ kind }) => kind)).to.deep.equal(["unload"]);
  });

  it("does not evict a model that has just been loaded", () => {
    const servers = [
      server({
        id: "s1",
        models: [heldModel("b"), heldModel("c"), heldModel("d")],
      }),
    ];
    const loadedAt = new Map(
      ["b", "c", "d"].map((name) => [`s1 ${name}`, 99_500]),
    );
    const demands = [demand({ model: "a" })];
    expect(planOrders(input({ servers, demand: demands, loadedAt }))).to.deep
      .equal([]);
  });

  it("loads the model with the highest benefit first", () => {
    const onDisk = new Set(["a", "b"]);
    const servers = [server({ id: "s1", onDisk })];
    const first = (demands: Parameters<typeof demand>[0][]) =>
      planOrders(input({ servers, demand: demands.map(demand) }))[0]
        ?.model;
    // A request that can be served in time precedes one that is late anyway.
    expect(first([
      { model: "a", slacksMs: [-500] },
      { model: "b", slacksMs: [2_500] },
    ])).to.equal("b");
    // A model with many expected arrivals precedes a rarely used one.
    expect(first([
      { model: "a", slacksMs: [600], arrivalsPerSecond: 3 },
      { model: "b", slacksMs: [2_500], arrivalsPerSecond: 0.1 },
    ])).to.equal("a");
    // Requests that have waited for long are not starved.
    expect(first([
      { model: "a", slacksMs: [-8_000, -7_500] },
      { model: "b", slacksMs: [2_500] },
    ])).to.equal("a");
  });

  it("loads an adapter on a server that holds its model", () => {
    const servers = [
      server({ id: "s1", models: [heldModel("a")] }),
      server({ id: "s2", models: [heldModel("b")] }),
    ];
    const demands = [demand({ model: "a", adapter: "a3" })];
    expect(planOrders(input({ servers, demand: demands }))).to.deep.equal([
      { kind: "load-adapter", server: "s1", model: "a", adapter: "a3" },
    ]);
  });

  it("sends no adapter order to a busy server", () => {
    const servers = [
      server({ id: "s1", models: [heldModel("a")], busyMs: 400 }),
    ];
    const demands = [demand({ model: "a", adapter: "a3" })];
    expect(planOrders(input({ servers, demand: demands }))).to.deep.equal([]);
  });

  it("evicts an adapter without running requests for another one", () => {
    const adapters = ["a1", "a2", "a3", "a4"];
    const servers = [
      server({
        id: "s1",
        models: [heldModel("a", adapters)],
        running: new Map([["a/a1", 1], ["a/a2", 1], ["a/a4", 1]]),
      }),
    ];
    const demands = [demand({ model: "a", adapter: "a5" })];
    expect(planOrders(input({ servers, demand: demands }))).to.deep.equal([
      { kind: "unload-adapter", server: "s1", model: "a", adapter: "a3" },
    ]);
  });

  it("fills the last adapter slot only once in a round", () => {
    const servers = [
      server({ id: "s1", models: [heldModel("a", ["a1", "a2", "a3"])] }),
    ];
    const demands = ["a5", "a6"].map((adapter) =>
      demand({ model: "a", adapter })
    );
    const orders = planOrders(input({ servers, demand: demands }));
    expect(orders.map(({ kind }) => kind))
      .to.deep.equal(["load-adapter", "unload-adapter"]);
  });

  it("unloads one adapter at a time on a server", () => {
    const adapters = ["a1", "a2", "a3", "a4"];
    const servers = [
      server({
        id: "s1",
        models: [heldModel("a", adapters)],
        unloadingAdapters: new Set(["a/a1"]),
      }),
    ];
    const demands = [demand({ model: "a", adapter: "a5" })];
    expect(planOrders(input({ servers, demand: demands }))).to.deep.equal([]);
  });

  it("never exceeds the memory of a server, for any input", () => {
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
    const demands = fastCheck.array(
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
    fastCheck.assert(
      fastCheck.property(servers, demands, (drawnServers, drawnDemand) => {
        const all = drawnServers.map((
          { adapters, isUsable, models, onDisk },
          at,
        ) =>
          server({
            id: `s${at}`,
            isUsable,
            onDisk: new Set(onDisk),
            models: models.map((name, index) =>
              heldModel(name, index === 0 ? adapterNames(adapters) : [])
            ),
          })
        );
        const orders = planOrders(
          input({ servers: all, demand: drawnDemand.map(demand) }),
        );
        for (const order of orders) {
          const target = all.find(({ id }) => id === order.server);
          expect(target?.isUsable).to.equal(true);
          if (order.kind !== "load" || target === undefined) continue;
          expect(usedMb(target) + 10).to.be.at.most(31);
        }
        const modelOrders = orders.filter(({ kind }) =>
          kind === "load" || kind === "unload"
        );
        expect(new Set(modelOrders.map((order) => order.server)).size)
          .to.equal(modelOrders.length);
      }),
    );
  });
});

function adapterNames(count: number): string[] {
  return Array.from({ length: count }, (_, at) => `a${at + 1}`);
}

function usedMb({ models }: PlannerServer): number {
  return models.reduce(
    (sum, { adapters }) => sum + 10 + adapters.length * 0.1,
    0,
  );
}
