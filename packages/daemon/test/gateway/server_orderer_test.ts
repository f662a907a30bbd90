import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import type * as dutyTypes from "../../src/gateway/control/duty_types.ts";
import type { GatewayMetrics } from "../../src/gateway/metrics.ts";
import * as performing from "./duty_performing.ts";
import * as fixtures from "./fixtures.ts";

const { CALL_MARGIN_MS, OTHER, OWN } = performing;
/** Time within which an order would have been sent, in milliseconds. */
const NO_CALL_MS = 400;
const PENDING = { service: "advice", domain: "a", count: 3, isAccepted: false };
/** Limits for which the first order waits for nothing. */
const LIMITS = { min: 0, max: 1, bootMs: 1 };

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
  const state = createState(LIMITS);
  state.apply({ kind: "hold-duty", duty: "scaling", host: OWN });
  state.apply({ kind: "order-servers", ...PENDING });
  return state;
}

/** A state in which another host has decided on an order, and died. */
function createInheritedState(): core.gateway.GatewayState {
  const state = createState({ min: 0, max: 9, bootMs: 1 });
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
    using fixture = createFixture(createInheritedState());
    await timers.setTimeout(CALL_MARGIN_MS);
    expect(fixture.orders).to.deep.equal([]);
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
    await timers.setTimeout(CALL_MARGIN_MS);
    expect(fixture.orders).to.have.length(1);
    fixture.answer = "accepted";
    await wait.waitFor(
      "the delivery",
      () => fixture.state.duties.serverOrders[0]?.isAccepted === true,
    );
    expect(fixture.orders[1]).to.deep.equal(fixture.orders[0]);
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
