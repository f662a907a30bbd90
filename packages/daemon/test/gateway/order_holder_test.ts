import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as fleetCoordinator from "../../src/gateway/control/fleet_coordinator.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";
import * as fixtures from "./fixtures.ts";

const OWN_HOLDER = "control-1 10.0.0.1:1";
const TAKEOVER_DELAY_MS = 150;
/** Time within which an order would have been sent, in milliseconds. */
const ORDER_MARGIN_MS = 60;
/** Time after which a new leader may load from the store, and some more, in ms. */
const STORE_DELAY_MS = 1_500;
const MODEL = "a";
const CONFIGURATION = fixtures.configuration([MODEL]);
// The model is on disk, since a new leader delays loads from the store.
const SERVER = fixtures.heartbeat("s1", { onDisk: [MODEL] });
const REPORT = createReport(1);

/** @param arrivals requests that have come since the last report */
function createReport(arrivals: number) {
  return fixtures.report("entry-1", {
    demand: [{
      service: "advice",
      model: MODEL,
      slacksMs: [1_000],
      running: 0,
      arrivals,
    }],
  });
}

/** A leader with one server, and reports of a request that waits for a model. */
class Fixture implements Disposable {
  readonly state = new core.gateway.GatewayState();
  readonly startedAt = performance.now();
  /** Whether changes can be committed. */
  canCommit = true;
  orders = 0;
  /** Servers that execute an order of the leader before. */
  readonly busy: Set<string>;
  readonly coordinator: fleetCoordinator.FleetCoordinator;
  readonly #reporting: NodeJS.Timeout;

  constructor(
    holder: string | null,
    servers = [SERVER],
    busy: readonly string[] = [],
    report = REPORT,
  ) {
    const { state } = this;
    this.busy = new Set(busy);
    state.apply({
      kind: "configure",
      configuration: CONFIGURATION,
      source: "",
    });
    if (holder !== null) state.apply({ kind: "hold-orders", host: holder });
    this.coordinator = new fleetCoordinator.FleetCoordinator({
      host: "control-1",
      orderHolder: OWN_HOLDER,
      orderTakeoverDelayMs: TAKEOVER_DELAY_MS,
      retryBudget: { ratio: 0.2, slack: 54, windowMs: 10_000 },
      term: 2,
      engineClient: {
        order: () => {
          this.orders += 1;
          return Promise.resolve({ kind: "accepted" });
        },
        report: ({ id, onDisk }) =>
          Promise.resolve({
            models: [],
            isBusy: this.busy.has(id),
            orders: 0,
            pendingAdapters: 0,
            inMemory: [],
            onDisk,
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
      commitChange: fixtures.refuseChanges,
      streamOrigins: new core.gateway.StreamOrigins(),
    });
    for (const heartbeat of servers) {
      this.coordinator.handleHeartbeat({ kind: "heartbeat", heartbeat });
    }
    this.#reporting = setInterval(
      () => void this.coordinator.report(report),
      10,
    );
  }

  [Symbol.dispose](): void {
    clearInterval(this.#reporting);
    this.coordinator[Symbol.dispose]();
  }
}

describe("gateway order holder", () => {
  for (const holder of [null, OWN_HOLDER]) {
    it(`sends orders at once if the holder was ${holder ?? "nobody"}`, async () => {
      using fixture = new Fixture(holder);
      await wait.waitFor("an order", () => fixture.orders > 0);
      expect(performance.now() - fixture.startedAt).to.be.lessThan(
        TAKEOVER_DELAY_MS,
      );
      expect(fixture.state.orderHolder).to.equal(OWN_HOLDER);
    });
  }

  it("waits until orders of the previous holder can't arrive any more", async () => {
    using fixture = new Fixture("control-2 10.0.0.2:1");
    await wait.waitFor("an order", () => fixture.orders > 0);
    expect(performance.now() - fixture.startedAt).to.be.at.least(
      TAKEOVER_DELAY_MS - 2,
    );
    expect(fixture.state.orderHolder).to.equal(OWN_HOLDER);
  });

  it("counts the loads that the previous holder began at the store", async () => {
    // As many as a new leader would begin.
    const busy = ["s1", "s2", "s3", "s4"];
    const idle = ["s5", "s6", "s7", "s8"];
    const servers = [...busy, ...idle].map((id) => fixtures.heartbeat(id));
    // One request: more would let a load begin beyond the store's bound.
    const report = createReport(0);
    using fixture = new Fixture("control-2 10.0.0.2:1", servers, busy, report);
    await timers.setTimeout(TAKEOVER_DELAY_MS + STORE_DELAY_MS);
    expect(fixture.orders).to.equal(0);
    fixture.busy.clear();
    await wait.waitFor("an order", () => fixture.orders > 0);
  });

  it("sends no order before it is committed as the holder", async () => {
    using fixture = new Fixture("control-2 10.0.0.2:1");
    fixture.canCommit = false;
    await timers.setTimeout(TAKEOVER_DELAY_MS + ORDER_MARGIN_MS);
    expect(fixture.orders).to.equal(0);
    fixture.canCommit = true;
    await wait.waitFor("an order", () => fixture.orders > 0);
  });
});
