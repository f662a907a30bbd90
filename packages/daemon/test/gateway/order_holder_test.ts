import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as fleetCoordinator from "../../src/gateway/control/fleet_coordinator.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";

const HOST = "control-1 10.0.0.1:1";
const PAUSE_MS = 150;
/** Time in which an order would have been given, in milliseconds. */
const SOON_MS = 60;
const MODEL = {
  name: "a",
  weightsMb: 10,
  storeLoadMs: 60,
  diskLoadMs: 20,
  memoryLoadMs: 20,
  adapters: 0,
  adapterMb: 0,
};
const CONFIGURATION: gateway.Configuration = {
  version: 1,
  routes: [],
  services: [{
    name: "advice",
    maxConnections: 8,
    coldRequestsPerSecond: 0,
    engine: {
      slots: 8,
      memoryTokens: 1_000,
      weightsMb: 30,
      adapterPlaces: 1,
      storeLoadsPerSecond: 100,
      models: [MODEL],
    },
  }],
  limits: {
    headerBytes: 1_000,
    bodyBytes: 1_000,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
  },
};
const SERVER: gateway.Heartbeat = {
  id: "s1",
  born: 1,
  sequence: 1,
  service: "advice",
  address: "10.0.0.9:80",
  failureDomain: "a",
  slots: 8,
  state: "ready",
  coldMs: 0,
  models: [],
  inMemory: [],
  // A new leader lets loads from the weight store wait.
  onDisk: [MODEL.name],
};
const WAITING: gateway.ReportRequest = {
  host: "entry-1",
  demand: [{
    service: "advice",
    model: MODEL.name,
    slacksMs: [1_000],
    running: 0,
    arrivals: 1,
  }],
  usage: [],
  load: [],
  answered: { term: 0, usageRevision: 0 },
  servers: [],
};

/** A leader with one server and a request that waits for a model. */
class World implements Disposable {
  readonly state = new core.gateway.GatewayState();
  readonly begunAt = performance.now();
  /** Whether changes can be committed. */
  canCommit = true;
  orders = 0;
  readonly directory: fleetCoordinator.FleetCoordinator;
  readonly #asking: NodeJS.Timeout;

  constructor(holder: string | null) {
    const { state } = this;
    state.apply({
      kind: "configure",
      configuration: CONFIGURATION,
      source: "",
    });
    if (holder !== null) state.apply({ kind: "hold-orders", host: holder });
    this.directory = new fleetCoordinator.FleetCoordinator({
      host: "control-1",
      orderHolder: HOST,
      orderTakeoverDelayMs: PAUSE_MS,
      term: 2,
      engineClient: {
        order: () => {
          this.orders += 1;
          return Promise.resolve({ kind: "accepted" });
        },
        report: () =>
          Promise.resolve({
            models: [],
            isBusy: false,
            orders: 0,
            pendingAdapters: 0,
            inMemory: [],
            onDisk: [MODEL.name],
          }),
      },
      metrics: new GatewayMetrics(),
      state: () => state,
      controlHosts: () => [],
      hasLease: () => true,
      commit: (command) => {
        if (!this.canCommit) return Promise.reject(new Error("no quorum"));
        state.apply(command);
        return Promise.resolve();
      },
    });
    this.directory.handleHeartbeat({ kind: "heartbeat", heartbeat: SERVER });
    this.#asking = setInterval(() => this.directory.report(WAITING), 10);
  }

  [Symbol.dispose](): void {
    clearInterval(this.#asking);
    this.directory[Symbol.dispose]();
  }
}

describe("the host that gives orders to servers", () => {
  for (const holder of [null, HOST]) {
    it(`goes on at once where ${holder ?? "nobody"} gave them`, async () => {
      using world = new World(holder);
      await wait.waitFor("an order", () => world.orders > 0);
      expect(performance.now() - world.begunAt).to.be.lessThan(PAUSE_MS);
      expect(world.state.orderHolder).to.equal(HOST);
    });
  }

  it("waits until those of another host can't arrive any more", async () => {
    using world = new World("control-2 10.0.0.2:1");
    await wait.waitFor("an order", () => world.orders > 0);
    expect(performance.now() - world.begunAt).to.be.at.least(PAUSE_MS - 2);
    expect(world.state.orderHolder).to.equal(HOST);
  });

  it("gives none before it is known to all as the one", async () => {
    using world = new World("control-2 10.0.0.2:1");
    world.canCommit = false;
    await timers.setTimeout(PAUSE_MS + SOON_MS);
    expect(world.orders).to.equal(0);
    world.canCommit = true;
    await wait.waitFor("an order", () => world.orders > 0);
  });
});
