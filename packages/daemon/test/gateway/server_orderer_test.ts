import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import type * as dutyTypes from "../../src/gateway/control/duty_types.ts";
import type { GatewayMetrics } from "../../src/gateway/metrics.ts";
import * as performing from "./duty_performing.ts";
import * as fixtures from "./fixtures.ts";

const { CALL_MARGIN_MS, OTHER, OWN, TAKEOVER_DELAY_MS } = performing;
/** Time within which an order would have been sent, in milliseconds. */
const NO_CALL_MS = 400;
/** Shortest wait after a call that wasn't accepted, in milliseconds. */
const BACKOFF_MS = 250;
/** What a timer may fire too early, in milliseconds. */
const TIMER_ERROR_MS = 1;
const PENDING = { service: "advice", domain: "a", count: 3, isAccepted: false };
/** Limits for which the first order waits for nothing. */
const LIMITS = { min: 0, max: 1, bootMs: 1 };
const WIDE_LIMITS = { min: 0, max: 9, bootMs: 1 };

function createFixture(
  state = createState(LIMITS),
  settings: Partial<dutyTypes.DutySettings> = {},
): performing.DutyFixture {
  const fixture = new performing.DutyFixture(
    state,
    { duties: ["scaling"], ...settings },
  );
  fixture.registry.applyHeartbeat(fixtures.heartbeat("s1"), performance.now());
  return fixture;
}

function createState(scaling?: gateway.Scaling): core.gateway.GatewayState {
  const state = new core.gateway.GatewayState();
  const names = Array.from({ length: 20 }, (_, index) => `m${index}`);
  const service = fixtures.engineService(names, { scaling });
  const configuration = fixtures.configuration([], { services: [service] });
  state.apply({ kind: "configure", source: "", configuration });
  return state;
}

/** A state with an order of this host that is above new limits. */
function createOutdatedState(): core.gateway.GatewayState {
  return createOrderedState(LIMITS, PENDING);
}

/** A state with orders of this host. */
function createOrderedState(
  scaling: gateway.Scaling,
  ...orders: gateway.ServerOrder[]
): core.gateway.GatewayState {
  const state = createState(scaling);
  state.apply({ kind: "hold-duty", duty: "scaling", host: OWN });
  for (const order of orders) state.apply({ kind: "order-servers", ...order });
  return state;
}

/** Waiting requests for a model. */
function waiting(model: string, count: number): gateway.ModelDemand {
  const slacksMs = Array.from({ length: count }, () => 1_000);
  return { service: "advice", model, slacksMs, running: 0, arrivals: 0 };
}

/** A server that is ready, unless stated otherwise, and holds a model. */
function server(
  id: string,
  model: string,
  state: gateway.ServerState = "ready",
): gateway.Heartbeat {
  const models = [{ name: model, version: 1, adapters: [] }];
  return fixtures.heartbeat(id, { models, state });
}

/** A state in which another host has decided on an order, and died. */
function createInheritedState(): core.gateway.GatewayState {
  const state = createState(WIDE_LIMITS);
  state.apply({ kind: "hold-duty", duty: "scaling", host: OTHER });
  state.apply({ kind: "order-servers", ...PENDING });
  return state;
}

async function unusableServices(metrics: GatewayMetrics): Promise<unknown> {
  return (await metrics.unusableScaling.get()).values[0]?.value;
}

describe("gateway server orderer", () => {
  it("orders servers once, with its fence", async () => {
    using fixture = createFixture();
    await wait.waitFor("the order", () => fixture.orders.length > 0);
    await timers.setTimeout(CALL_MARGIN_MS);
    expect(fixture.orders).to.deep.equal([
      { service: "advice", domain: "a", count: 1, fence: 1 },
    ]);
  });

  it("sends what a lost holder has decided, with a higher fence", async () => {
    using fixture = createFixture(createInheritedState());
    await wait.waitFor("the order", () => fixture.orders.length > 0);
    expect(fixture.orders[0]).to.deep.equal(
      { service: "advice", domain: "a", count: 3, fence: 2 },
    );
  });

  it("makes no call before the time of the previous holder is over", async () => {
    const startedAt = performance.now();
    using fixture = createFixture(createInheritedState());
    await wait.waitFor("the order", () => fixture.orders.length > 0);
    expect(fixture.orderedAt[0])
      .to.be.at.least(startedAt + TAKEOVER_DELAY_MS - TIMER_ERROR_MS);
  });

  it("repeats the same order when an answer is lost", async () => {
    using fixture = createFixture();
    fixture.answer = "lost";
    await wait.waitFor("the repetition", () => fixture.orders.length > 1);
    expect(fixture.orders[1]).to.deep.equal(fixture.orders[0]);
  });

  it("decides on no other order while the answer is lost", async () => {
    using fixture = createFixture(createOutdatedState());
    fixture.answer = "lost";
    await wait.waitFor("the repetition", () => fixture.orders.length > 1);
    expect(fixture.orders.map(({ count }) => count)).to.deep.equal([3, 3]);
  });

  it("replaces an order that is refused", async () => {
    using fixture = createFixture(createOutdatedState());
    fixture.answer = "refused";
    await wait.waitFor("the new order", () => fixture.orders.length > 1);
    expect(fixture.orders.map(({ count }) => count)).to.deep.equal([3, 1]);
  });

  it("waits after 429 and then orders the same", async () => {
    using fixture = createFixture();
    fixture.answer = "unavailable";
    await wait.waitFor("the first call", () => fixture.orders.length > 0);
    fixture.answer = "accepted";
    await wait.waitFor(
      "the delivery",
      () => fixture.state.duties.serverOrders[0]?.isAccepted === true,
    );
    expect(fixture.orders[1]).to.deep.equal(fixture.orders[0]);
    const [first = NaN, second] = fixture.orderedAt;
    expect(second).to.be.at.least(first + BACKOFF_MS);
  });

  it("sends no order of a domain that was withdrawn since", async () => {
    const state = createOrderedState(
      WIDE_LIMITS,
      PENDING,
      { ...PENDING, domain: "b" },
    );
    state.apply({ kind: "withdraw-domain", domain: "a" });
    using fixture = createFixture(state);
    await wait.waitFor("an order", () => fixture.orders.length > 0);
    await timers.setTimeout(CALL_MARGIN_MS);
    expect(fixture.orders.map(({ domain }) => domain)).to.deep.equal(["b"]);
  });

  it("sends no order that can't be committed", async () => {
    using fixture = createFixture();
    fixture.canCommit = false;
    await timers.setTimeout(NO_CALL_MS);
    expect(fixture.orders).to.deep.equal([]);
  });

  it("makes no call without a certain lease", async () => {
    using fixture = createFixture();
    fixture.hasLease = false;
    await timers.setTimeout(NO_CALL_MS);
    expect(fixture.orders).to.deep.equal([]);
  });

  it("orders nothing without usable limits, and counts the service", async () => {
    using fixture = createFixture(createState({ min: 2, max: 1, bootMs: 1 }));
    await timers.setTimeout(NO_CALL_MS);
    expect(fixture.orders).to.deep.equal([]);
    expect(await unusableServices(fixture.metrics)).to.equal(1);
  });

  it("takes its metrics back at the end of the term", async () => {
    using fixture = createFixture(createState({ min: 2, max: 1, bootMs: 1 }));
    const count = () => unusableServices(fixture.metrics);
    await wait.waitFor("the count", async () => await count() === 1);
    fixture[Symbol.dispose]();
    expect(await count()).to.equal(0);
  });

  it("orders nothing for a service without scaling", async () => {
    using fixture = createFixture(createState());
    await timers.setTimeout(NO_CALL_MS);
    expect(fixture.orders).to.deep.equal([]);
  });

  it("orders nothing for a domain that the deployment doesn't have", async () => {
    using fixture = createFixture(createState(LIMITS), { domains: ["b"] });
    await timers.setTimeout(NO_CALL_MS);
    expect(fixture.orders).to.deep.equal([]);
  });

  it("orders nothing if the settings don't ask for it", async () => {
    using fixture = createFixture(createState(LIMITS), { duties: [] });
    await timers.setTimeout(NO_CALL_MS);
    expect(fixture.orders).to.deep.equal([]);
  });
});

describe("demand for which servers are ordered", function () {
  this.timeout(20_000);
  const cases: readonly {
    readonly what: string;
    readonly demand: gateway.ModelDemand[];
    readonly running?: number;
    readonly count: number;
  }[] = [
    // 12 requests at 60 % of the 8 slots of a server.
    {
      what: "counts requests that wait and run",
      demand: [waiting("m0", 6)],
      running: 6,
      count: 3,
    },
    {
      what: "counts models that no server holds",
      demand: [waiting("m1", 1), waiting("m2", 1)],
      count: 4,
    },
    {
      what: "counts models that only a draining server holds",
      demand: [waiting("m9", 1)],
      count: 2,
    },
    {
      what: "leaves out names that are no model",
      demand: [waiting("m0", 12), waiting("x1", 50), waiting("x2", 50)],
      count: 3,
    },
  ];
  for (const { count, demand, running = 0, what } of cases) {
    it(what, async () => {
      const last = { ...PENDING, count: 1 };
      const accepted = { ...last, isAccepted: true };
      using fixture = createFixture(
        createOrderedState(WIDE_LIMITS, last, accepted),
      );
      const now = performance.now();
      fixture.registry.applyHeartbeat(server("s2", "m0"), now);
      fixture.registry.applyHeartbeat(server("s3", "m9", "draining"), now);
      const load = [{ server: "s2", model: "m0", running }];
      fixture.demandTracker.addReport({ host: "e1", demand, load }, now);
      await wait.waitFor("the order", () => fixture.orders.length > 0);
      expect(fixture.orders[0]?.count).to.equal(count);
    });
  }
});
