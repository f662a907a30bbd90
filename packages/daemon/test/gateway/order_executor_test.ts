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

/** What happens to an answer on its way. */
type Fate = "arrives" | "is lost" | "comes late";

/** A server and the leader's desk for it. */
class World {
  readonly engine = new testing.pagedEngine.PagedEngine({
    weightsMb: ENGINE.weightsMb,
    adapterPlaces: ENGINE.adapterPlaces,
    adapterMs: 10,
    reportLagMs: 30,
    models: new Map(MODELS.map((name) => [name, SIZE])),
    now: () => performance.now(),
  }, ["a", "b", "c"]);
  readonly roster = new core.gateway.ServerRegistry();
  readonly statuses: number[] = [];
  readonly desk: orderExecutor.OrderExecutor;
  fate: () => Fate = () => "arrives";
  /** Whether the leader still holds its lease. */
  mayOrder = true;
  /** Called when the server is asked for its state. */
  onReport: () => void = () => {};

  constructor() {
    this.roster.applyHeartbeat({
      id: "s1",
      born: 1,
      sequence: 1,
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
    this.desk = new orderExecutor.OrderExecutor({
      client,
      registry: this.roster,
      holder: "control-1",
      token: 4,
      metrics: new GatewayMetrics(),
      canSendOrders: () => this.mayOrder,
      engineOf: () => ENGINE,
      onOrderFinished: () => undefined,
    });
  }

  get server(): gateway.Heartbeat {
    const server = this.roster.get("s1");
    if (server === undefined) throw new Error("the server is not known");
    return server;
  }

  /** Plans once with these needs, as the leader does. */
  plan(needs: readonly core.gateway.AggregateDemand[]): void {
    const { inMemory, models, onDisk } = this.server;
    const orders = core.gateway.planOrders({
      engine: ENGINE,
      servers: [{
        id: "s1",
        models,
        isUsable: true,
        ...this.desk.status(this.server, performance.now()),
        inMemory: new Set(inMemory),
        onDisk: new Set(onDisk),
        running: new Map(),
      }],
      demand: needs,
      canLoadFromStore: true,
      lastRequestedAt: new Map(),
      loadedAt: new Map(),
      now: performance.now(),
    });
    for (const order of orders) this.desk.execute(this.server, order);
  }

  async #order(
    order: core.gateway.ModelOrder,
    { expected }: types.OrderFence,
  ): Promise<types.OrderAnswer> {
    const carryOut = () =>
      this.engine.order({
        isLoad: order.kind === "load" || order.kind === "load-adapter",
        model: order.model,
        adapter: "adapter" in order ? order.adapter : undefined,
        expected,
      });
    await timers.setTimeout(1);
    switch (this.fate()) {
      case "is lost":
        carryOut();
        return { kind: "unknown", reason: "lost" };
      case "comes late":
        setTimeout(carryOut, 150);
        return { kind: "unknown", reason: "late" };
      case "arrives": {
        const status = carryOut();
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

function need(model: string, adapter?: string): core.gateway.AggregateDemand {
  return {
    model,
    adapter,
    slacksMs: [500],
    arrivalsPerSecond: 0.1,
    concurrency: 0,
  };
}

async function until(isTrue: () => boolean, what: string): Promise<void> {
  const end = performance.now() + 5_000;
  while (!isTrue()) {
    if (performance.now() > end) throw new Error(`not in time: ${what}`);
    await timers.setTimeout(5);
  }
}

describe("gateway order desk", () => {
  it("makes room, loads, and tells when the server holds the model", async () => {
    const world = new World();
    const holds = () => world.server.models.some(({ name }) => name === "d");
    await until(() => {
      world.plan([need("d")]);
      return holds();
    }, "the load");
    expect(world.engine.overfilled).to.equal(0);
  });

  it("counts an adapter until the requests that use it have ended", async () => {
    const world = new World();
    const wanted = (name: string) => () => {
      world.plan([need("a", name)]);
      return world.server.models.some(({ adapters }) =>
        adapters.includes(name)
      );
    };
    for (const name of ["a1", "a2", "a3"]) await until(wanted(name), name);
    const ends = ["a1", "a2", "a3"].map((name) =>
      world.engine.begin("a", name)
    );
    const begun = performance.now();
    while (performance.now() - begun < 700) {
      world.plan([need("a", "a4")]);
      await timers.setTimeout(10);
    }
    expect(world.engine.overfilled).to.equal(0);
    for (const end of ends) end?.();
    await until(wanted("a4"), "a4");
    expect(world.engine.overfilled).to.equal(0);
  });

  it("gives no order when the lease ends while the server is asked", async () => {
    const world = new World();
    world.onReport = () => {
      world.mayOrder = false;
    };
    world.plan([need("d")]);
    await timers.setTimeout(200);
    expect(world.statuses).to.deep.equal([]);
    expect(world.engine.state().orders).to.equal(0);
  });

  it("takes a server's own word for the end of an order", async () => {
    const world = new World();
    world.desk.execute(world.server, {
      kind: "unload",
      server: "s1",
      model: "a",
    });
    const status = () => world.desk.status(world.server, performance.now());
    await until(() => world.statuses.length > 0, "the answer");
    world.desk.handleHeartbeat({
      ...world.server,
      sequence: 2,
      ...contentOf(world.engine.state()),
    });
    expect(status().busyMs).to.equal(0);
    expect(world.server.models.map(({ name }) => name))
      .to.deep.equal(["b", "c"]);
  });

  for (const seed of [1, 2, 3]) {
    it(`never overfills a server whose answers get lost, seed ${seed}`, async () => {
      const world = new World();
      const random = testing.fakeBackend.seededRandom(seed);
      const pick = <Value>(values: readonly Value[]): Value =>
        values[Math.floor(random() * values.length)] as Value;
      world.fate = () => pick<Fate>(["arrives", "is lost", "comes late"]);
      const begun = performance.now();
      while (performance.now() - begun < 2_500) {
        const adapter = random() < 0.5
          ? `a${1 + Math.floor(random() * 6)}`
          : undefined;
        world.plan([need(pick(MODELS), adapter), need(pick(MODELS))]);
        await timers.setTimeout(5);
      }
      expect(world.engine.overfilled).to.equal(0);
      // Otherwise the run would have shown nothing.
      expect(world.engine.state().orders).to.be.above(1);
    });
  }
});
