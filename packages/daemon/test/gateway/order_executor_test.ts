import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as testing from "@ebonypath/testing";
import { expect } from "chai";
import * as orderExecutor from "../../src/gateway/control/order_executor.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";
import type * as types from "../../src/gateway/control/types.ts";

const MODELS = ["a", "b", "c", "d", "e"];
const SIZE = { weightsMb: 10, adapterMb: 0.1, storeMs: 60, diskMs: 20 };
const ENGINE: gateway.Engine = {
  slots: 8,
  memoryTokens: 1_000,
  weightsMb: 31,
  adapterPlaces: 3,
  storeLoadsPerSecond: 100,
  models: MODELS.map((name) => ({
    name,
    weightsMb: 10,
    storeLoadMs: SIZE.storeMs,
    diskLoadMs: SIZE.diskMs,
    memoryLoadMs: SIZE.diskMs,
    adapters: 6,
    adapterMb: 0.1,
  })),
};

/** What happens to the answer to an order. */
type AnswerOutcome = "arrives" | "is lost" | "comes late";

/** A simulated server and the leader's order executor for it. */
class Fixture {
  readonly engine = new testing.pagedEngine.PagedEngine({
    weightsMb: ENGINE.weightsMb,
    adapterPlaces: ENGINE.adapterPlaces,
    adapterMs: 10,
    reportLagMs: 30,
    models: new Map(MODELS.map((name) => [name, SIZE])),
    now: () => performance.now(),
  }, ["a", "b", "c"]);
  readonly registry = new core.gateway.ServerRegistry();
  readonly statuses: number[] = [];
  readonly executor: orderExecutor.OrderExecutor;
  nextOutcome: () => AnswerOutcome = () => "arrives";
  /** Whether the leader still holds its lease. */
  hasLease = true;
  /** Called when the state of the server is requested. */
  onReport: () => void = () => {};

  constructor() {
    this.registry.applyHeartbeat({
      id: "s1",
      born: 1,
      sequence: 1,
      softwareVersion: "1",
      service: "advice",
      address: "10.0.0.1:80",
      failureDomain: "a",
      slots: 8,
      state: "ready",
      coldMs: 0,
      ...contentOf(this.engine.state()),
    }, performance.now());
    const client: types.EngineClient = {
      order: (_server, order, fence) => this.#order(order, fence),
      report: () => {
        this.onReport();
        const state = this.engine.report();
        return Promise.resolve({
          ...contentOf(state),
          isBusy: state.isBusy,
          orders: state.orders,
          pendingAdapters: state.pending.length,
        });
      },
    };
    this.executor = new orderExecutor.OrderExecutor({
      client,
      registry: this.registry,
      holder: "control-1",
      token: 4,
      metrics: new GatewayMetrics(),
      canSendOrders: () => this.hasLease,
      engineOf: () => ENGINE,
      onStoreLoad: () => undefined,
      onOrderFinished: () => undefined,
    });
  }

  get server(): gateway.Heartbeat {
    const server = this.registry.get("s1");
    if (server === undefined) throw new Error("the server is not registered");
    return server;
  }

  /** Plans once for this demand and executes the orders, as the leader does. */
  plan(demand: readonly core.gateway.AggregateDemand[]): void {
    const { inMemory, models, onDisk } = this.server;
    const orders = core.gateway.planRound({
      engine: ENGINE,
      servers: [{
        id: "s1",
        softwareVersion: "1",
        models,
        isUsable: true,
        ...this.executor.status(this.server, performance.now()),
        inMemory: new Set(inMemory),
        onDisk: new Set(onDisk),
        running: new Map(),
      }],
      demand,
      canLoadFromStore: true,
      canOverloadStore: false,
      lastRequestedAt: new Map(),
      unservedMs: new Map(),
      observedMs: Infinity,
      loadedAt: new Map(),
      now: performance.now(),
    }).orders;
    for (const order of orders) this.executor.execute(this.server, order);
  }

  async #order(
    order: core.gateway.ModelOrder,
    { expected }: types.OrderFence,
  ): Promise<types.OrderAnswer> {
    const execute = () =>
      this.engine.order({
        isLoad: order.kind === "load" || order.kind === "load-adapter",
        model: order.model,
        adapter: "adapter" in order ? order.adapter : undefined,
        expected,
      });
    await timers.setTimeout(1);
    switch (this.nextOutcome()) {
      case "is lost":
        execute();
        return { kind: "unknown", reason: "lost" };
      case "comes late":
        setTimeout(execute, 150);
        return { kind: "unknown", reason: "late" };
      case "arrives": {
        const status = execute();
        this.statuses.push(status);
        return answerOf(status);
      }
    }
  }
}

function answerOf(status: number): types.OrderAnswer {
  switch (status) {
    case 202:
      return { kind: "accepted" };
    case 200:
      return { kind: "holds" };
    case 409:
      return { kind: "conflict" };
    default:
      return { kind: "refused", status };
  }
}

function contentOf(
  { models, onDisk }: testing.pagedEngine.EngineState,
): Pick<gateway.Heartbeat, "models" | "inMemory" | "onDisk"> {
  return {
    models: models.map((held) => ({ ...held, adapters: [...held.adapters] })),
    inMemory: [],
    onDisk: [...onDisk],
  };
}

function demandFor(
  model: string,
  adapter?: string,
): core.gateway.AggregateDemand {
  return {
    model,
    adapter,
    softwareVersion: undefined,
    slacksMs: [500],
    returningMs: [],
    arrivalsPerSecond: 0.1,
    concurrency: 0,
  };
}

async function until(
  condition: () => boolean,
  description: string,
): Promise<void> {
  const deadline = performance.now() + 5_000;
  while (!condition()) {
    if (performance.now() > deadline) {
      throw new Error(`timed out waiting for ${description}`);
    }
    await timers.setTimeout(5);
  }
}

/** Begins a load of "d" from the store; returns once it is accepted. */
async function beginStoreLoad({ executor, server, statuses }: Fixture) {
  executor.execute(server, { kind: "unload", server: "s1", model: "a" });
  const isIdle = () => executor.status(server, performance.now()).busyMs === 0;
  await until(isIdle, "the unload");
  executor.execute(server, {
    kind: "load",
    server: "s1",
    model: "d",
    source: "store",
    expectedMs: SIZE.storeMs,
  });
  await until(() => statuses.length > 1, "the answer");
}

/** Time without heartbeats after which a server without answers is gone, in ms. */
const GONE_MS = 4_000;

describe("gateway order executor", () => {
  it("unloads one model, loads another and reports when it is held", async () => {
    const fixture = new Fixture();
    const isHeld = () => fixture.server.models.some(({ name }) => name === "d");
    await until(() => {
      fixture.plan([demandFor("d")]);
      return isHeld();
    }, "the load");
    expect(fixture.engine.overfilled).to.equal(0);
  });

  it("counts an adapter until the requests that use it have ended", async () => {
    const fixture = new Fixture();
    const loadsAdapter = (name: string) => () => {
      fixture.plan([demandFor("a", name)]);
      return fixture.server.models.some(({ adapters }) =>
        adapters.includes(name)
      );
    };
    for (const name of ["a1", "a2", "a3"]) {
      await until(loadsAdapter(name), name);
    }
    const endRequests = ["a1", "a2", "a3"].map((name) =>
      fixture.engine.begin("a", name)
    );
    const startedAt = performance.now();
    while (performance.now() - startedAt < 700) {
      fixture.plan([demandFor("a", "a4")]);
      await timers.setTimeout(10);
    }
    expect(fixture.engine.overfilled).to.equal(0);
    for (const end of endRequests) end?.();
    await until(loadsAdapter("a4"), "a4");
    expect(fixture.engine.overfilled).to.equal(0);
  });

  it("waits for the end of another leader's order without asking all the time", async () => {
    const fixture = new Fixture();
    let reports = 0;
    fixture.onReport = () => reports += 1;
    const end = fixture.engine.begin("a", undefined);
    fixture.engine.order({
      isLoad: false,
      model: "a",
      adapter: undefined,
      expected: 0,
    });
    const isHeld = () => fixture.server.models.some(({ name }) => name === "d");
    const startedAt = performance.now();
    while (performance.now() - startedAt < 900) {
      fixture.plan([demandFor("d")]);
      await timers.setTimeout(10);
    }
    // The first report may be from before the order.
    expect(reports).to.be.at.most(2);
    end?.();
    await until(() => {
      fixture.plan([demandFor("d")]);
      return isHeld();
    }, "the load");
  });

  it("counts loads that another leader began as loads from the store", async () => {
    const fixture = new Fixture();
    const end = fixture.engine.begin("a", undefined);
    fixture.engine.order({
      isLoad: false,
      model: "a",
      adapter: undefined,
      expected: 0,
    });
    await timers.setTimeout(100);
    const survey = fixture.executor.survey([fixture.server]);
    expect(fixture.executor.isSurveying(performance.now())).to.equal(true);
    await survey;
    expect(fixture.executor.isSurveying(performance.now())).to.equal(false);
    expect(fixture.executor.activeStoreLoads).to.equal(1);
    end?.();
    const isOver = () => fixture.executor.activeStoreLoads === 0;
    await until(isOver, "the end of the order");
  });

  it("sends no order if the lease ends while it requests the state", async () => {
    const fixture = new Fixture();
    fixture.onReport = () => {
      fixture.hasLease = false;
    };
    fixture.plan([demandFor("d")]);
    await timers.setTimeout(200);
    expect(fixture.statuses).to.deep.equal([]);
    expect(fixture.engine.state().orders).to.equal(0);
  });

  it("completes an order when a heartbeat shows its effect", async () => {
    const fixture = new Fixture();
    fixture.executor.execute(fixture.server, {
      kind: "unload",
      server: "s1",
      model: "a",
    });
    const status = () =>
      fixture.executor.status(fixture.server, performance.now());
    await until(() => fixture.statuses.length > 0, "the answer");
    fixture.executor.handleHeartbeat({
      ...fixture.server,
      sequence: 2,
      ...contentOf(fixture.engine.state()),
    });
    expect(status().busyMs).to.equal(0);
    expect(fixture.server.models.map(({ name }) => name))
      .to.deep.equal(["b", "c"]);
  });

  it("gives a load's place at the store back when its server is gone", async () => {
    const fixture = new Fixture();
    await beginStoreLoad(fixture);
    fixture.onReport = () => {
      throw new Error("connect ECONNREFUSED");
    };
    expect(fixture.executor.activeStoreLoads).to.equal(1);
    await timers.setTimeout(GONE_MS + 1_000);
    expect(fixture.executor.activeStoreLoads).to.equal(0);
  });

  it("waits for a load whose server is heard of but doesn't answer", async () => {
    const fixture = new Fixture();
    await beginStoreLoad(fixture);
    fixture.onReport = () => {
      throw new Error("connect ETIMEDOUT");
    };
    const startedAt = performance.now();
    for (let sequence = 2; performance.now() - startedAt < GONE_MS + 1_000;) {
      const { server } = fixture;
      fixture.registry.applyHeartbeat(
        { ...server, sequence },
        performance.now(),
      );
      sequence += 1;
      await timers.setTimeout(500);
    }
    expect(fixture.executor.activeStoreLoads).to.equal(1);
  });

  for (const seed of [1, 2, 3]) {
    it(`never overfills a server if answers are lost, seed ${seed}`, async () => {
      const fixture = new Fixture();
      const random = testing.fakeBackend.seededRandom(seed);
      const pick = <Value>(values: readonly Value[]): Value =>
        values[Math.floor(random() * values.length)] as Value;
      fixture.nextOutcome = () =>
        pick<AnswerOutcome>(["arrives", "is lost", "comes late"]);
      const startedAt = performance.now();
      while (performance.now() - startedAt < 2_500) {
        const adapter = random() < 0.5
          ? `a${1 + Math.floor(random() * 6)}`
          : undefined;
        fixture.plan([
          demandFor(pick(MODELS), adapter),
          demandFor(pick(MODELS)),
        ]);
        await timers.setTimeout(5);
      }
      expect(fixture.engine.overfilled).to.equal(0);
      // A run without orders would prove nothing.
      expect(fixture.engine.state().orders).to.be.above(1);
    });
  }
});
