import { expect } from "chai";
import {
  type PlannerInput,
  planRound,
  UnservedModels,
} from "../../src/gateway/mod.ts";
import * as fixtures from "./fixtures.ts";

const planOrders = (one: PlannerInput) => planRound(one).orders;

const { demand, heldModel, input, server } = fixtures;

describe("gateway unserved models", () => {
  /** Age of "a" after requests every 4 s, of which none was served. */
  function ageAfter(requests: number, running = 0, silentMs = 0): number {
    const unserved = new UnservedModels();
    let now = 0;
    for (let count = 0; count < requests; count += 1) {
      now = count * 4_000;
      unserved.update(
        [demand({ model: "a", slacksMs: [] })],
        [server({ id: "s1", running: new Map([["a", running]]) })],
        new Map([["a", now]]),
        now,
      );
    }
    now += silentMs;
    unserved.update([], [], new Map(), now);
    return unserved.ages(now).get("a") ?? 0;
  }

  it("grow older with each refused request", () => {
    const unserved = new UnservedModels();
    const ages = [0, 4_000, 8_000].map((now) => {
      const requestedAt = new Map([["a", now]]);
      unserved.update([demand({ model: "a" })], [], requestedAt, now);
      return unserved.ages(now).get("a");
    });
    expect(ages).to.deep.equal([0, 4_000, 8_000]);
  });

  it("are remembered until callers ask again that come far apart", () => {
    const unserved = new UnservedModels();
    for (const now of [0, 25_000, 50_000]) {
      const requestedAt = new Map([["a", now]]);
      unserved.update([demand({ model: "a" })], [], requestedAt, now);
      unserved.update([], [], requestedAt, now + 24_000);
    }
    expect(unserved.ages(50_000).get("a")).to.equal(50_000);
  });

  it("are a bounded number, whatever names callers make up", () => {
    const unserved = new UnservedModels();
    for (let round = 0; round < 20; round += 1) {
      const names = Array.from(
        { length: 1_000 },
        (_, index) => `made-up-${round}-${index}`,
      );
      unserved.update(
        names.map((model) => demand({ model })),
        [],
        new Map(names.map((name) => [name, round])),
        round,
      );
    }
    expect(unserved.ages(20).size).to.be.at.most(16_384);
  });

  it("are forgotten when a request runs", () => {
    expect(ageAfter(3, 1)).to.equal(0);
  });

  it("are forgotten when nobody asks any more", () => {
    expect(ageAfter(3, 0, 11_000)).to.equal(0);
  });
});

describe("gateway load planner, with models that were not served for long", () => {
  const servers = [
    server({ id: "s1", onDisk: new Set(["a", "b"]) }),
  ];
  const popular = demand({
    model: "a",
    slacksMs: [500, 600, 700],
    arrivalsPerSecond: 2,
  });

  function loaded(unservedMs: number, overrides = {}): string[] {
    return planOrders(input({
      servers,
      demand: [popular, demand({ model: "b", ...overrides })],
      unservedMs: new Map([["b", unservedMs]]),
    })).map(({ kind, model }) => `${kind} ${model}`);
  }

  it("loads the most beneficial model until another is too old", () => {
    expect(loaded(7_900)).to.deep.equal(["load a"]);
    expect(loaded(8_000)).to.deep.equal(["load b"]);
  });

  it("loads a model whose callers were all refused", () => {
    expect(loaded(8_000, { slacksMs: [] })).to.deep.equal(["load b"]);
  });

  it("leaves the turn of a model that no server can load to the next", () => {
    const orders = planOrders(input({
      servers: ["s1", "s2", "s3", "s4"].map((id) =>
        server({ id, onDisk: new Set(["b"]) })
      ),
      demand: ["a", "b"].map((model) => demand({ model, slacksMs: [] })),
      canLoadFromStore: false,
      unservedMs: new Map([["a", 20_000], ["b", 9_000]]),
    }));
    expect(orders.map(({ model }) => model)).to.deep.equal(["b"]);
  });

  it("loads no model whose callers have all left", () => {
    const orders = (askedMs: number) =>
      planOrders(input({
        servers,
        demand: [demand({ model: "b", slacksMs: [] })],
        unservedMs: new Map([["b", 20_000]]),
        lastRequestedAt: new Map([["b", 100_000 - askedMs]]),
      })).map(({ model }) => model);
    expect(orders(1_000)).to.deep.equal(["b"]);
    expect(orders(3_000)).to.deep.equal([]);
  });

  it("loads no adapter whose callers have all left", () => {
    const holder = server({ id: "s1", models: [heldModel("a")] });
    const orders = (askedMs: number) =>
      planOrders(input({
        servers: [holder],
        demand: [demand({ model: "a", adapter: "a1", slacksMs: [] })],
        unservedMs: new Map([["a/a1", 20_000]]),
        lastRequestedAt: new Map([["a/a1", 100_000 - askedMs]]),
      })).map(({ kind }) => kind);
    expect(orders(1_000)).to.deep.equal(["load-adapter"]);
    expect(orders(3_000)).to.deep.equal([]);
  });

  it("doesn't give such models more than a quarter of the servers", () => {
    const names = ["a", "b", "c", "d", "e", "f"];
    const many = names.map((model) => demand({ model, slacksMs: [] }));
    const orders = planOrders(input({
      servers: ["s1", "s2", "s3", "s4"].map((id) =>
        server({ id, onDisk: new Set(names) })
      ),
      demand: many,
      unservedMs: new Map(names.map((name) => [name, 9_000])),
    }));
    expect(orders.length).to.equal(1);
  });

  it("doesn't evict running requests for callers that may come back", () => {
    const full = server({
      id: "s1",
      models: ["c", "d", "e"].map((name) => heldModel(name)),
      running: new Map([["c", 1], ["d", 1], ["e", 1]]),
      onDisk: new Set(["b"]),
    });
    const plan = (returningMs: number[]) =>
      planOrders(input({
        servers: [full],
        demand: [demand({ model: "b", slacksMs: [-3_000], returningMs })],
      })).map(({ kind }) => kind);
    expect(plan([])).to.deep.equal(["unload"]);
    expect(plan([-3_000])).to.deep.equal([]);
  });

  it("keeps replicas while the demand is not known yet", () => {
    const holders = ["e", "f", "a"].map((single) =>
      server({
        id: `holds ${single}`,
        models: ["c", "d", single].map((name) => heldModel(name)),
        running: new Map([["d", 1]]),
        onDisk: new Set(["b"]),
      })
    );
    const victim = (observedMs: number) =>
      planOrders(input({
        servers: holders,
        demand: [demand({ model: "b" })],
        observedMs,
      })).map(({ model }) => model);
    expect(victim(100)).to.deep.equal(["e"]);
    expect(victim(8_000)).to.deep.equal(["c"]);
  });

  it("evicts no last replica for a second one of a busy model", () => {
    const full = server({
      id: "s1",
      models: ["c", "d", "e"].map((name) => heldModel(name)),
      onDisk: new Set(["b"]),
    });
    const holder = server({
      id: "s2",
      models: [heldModel("b")],
      busyMs: 9_000,
    });
    const orders = planOrders(input({
      servers: [full, holder],
      demand: [
        ...["c", "d", "e"].map((model) => demand({ model, slacksMs: [] })),
        demand({ model: "b", slacksMs: [], arrivalsPerSecond: 10 }),
      ],
    }));
    expect(orders).to.deep.equal([]);
  });

  it("evicts a model that callers wait for only for far more requests", () => {
    const full = server({
      id: "s1",
      models: ["c", "d", "e"].map((name) => heldModel(name)),
      onDisk: new Set(["b"]),
    });
    const plan = (requests: number) =>
      planOrders(input({
        servers: [full],
        demand: [
          ...["c", "d", "e"].map((model) => demand({ model })),
          demand({ model: "b", slacksMs: new Array(requests).fill(500) }),
        ],
      })).map(({ kind }) => kind);
    expect(plan(3)).to.deep.equal([]);
    expect(plan(5)).to.deep.equal(["unload"]);
  });
});
