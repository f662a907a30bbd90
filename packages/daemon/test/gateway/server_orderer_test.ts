import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as dutyPerformer from "../../src/gateway/control/duty_performer.ts";
import type * as dutyTypes from "../../src/gateway/control/duty_types.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";
import * as fixtures from "./fixtures.ts";

const OWN = "control-1 10.0.0.1:1";
const OTHER = "control-2 10.0.0.2:1";
const TAKEOVER_DELAY_MS = 250;
/** Time within which a call would have been made, in milliseconds. */
const CALL_MARGIN_MS = 200;
const PENDING = { service: "advice", domain: "a", count: 3, isAccepted: false };
/** Limits for which the first order waits for nothing. */
const LIMITS = { min: 0, max: 1, bootMs: 1 };

type Call = dutyTypes.ServerCountOrder & { readonly fence: number };

/** A leader that orders servers, and the party that takes its orders. */
class Fixture implements Disposable {
  readonly calls: Call[] = [];
  /** What the party answers; `lost` takes the call and loses the answer. */
  answer: dutyTypes.CallAnswer["kind"] | "lost" = "accepted";
  hasLease = true;
  canCommit = true;
  readonly metrics = new GatewayMetrics();
  readonly performer: dutyPerformer.DutyPerformer;

  constructor(
    readonly state = createState(LIMITS),
    settings: Partial<dutyTypes.DutySettings> = {},
  ) {
    const registry = new core.gateway.ServerRegistry();
    const server = { models: [{ name: "m", version: 1, adapters: [] }] };
    registry.applyHeartbeat(fixtures.heartbeat("s1", server), 0);
    this.performer = new dutyPerformer.DutyPerformer({
      settings: {
        duties: ["scaling"],
        callsPerSecond: 50,
        usageWindowMs: 400,
        usageDueMs: 800,
        toleratedDomains: 1,
        domains: [],
        ...settings,
      },
      client: {
        reportUsage: () => Promise.reject(new Error("no usage")),
        orderServers: (order, { fence }) => {
          this.calls.push({ ...order, fence });
          if (this.answer === "lost") return Promise.reject(new Error("lost"));
          return Promise.resolve({ kind: this.answer, detail: "" });
        },
      },
      host: "control-1",
      holder: OWN,
      takeoverDelayMs: TAKEOVER_DELAY_MS,
      metrics: this.metrics,
      registry,
      demandTracker: new core.gateway.DemandTracker(),
      state: () => state,
      isSettled: () => true,
      isLeaseCertain: () => this.hasLease,
      commit: (command) => {
        if (!this.canCommit) return Promise.reject(new Error("no quorum"));
        state.apply(command);
        return Promise.resolve();
      },
    });
  }

  [Symbol.dispose](): void {
    this.performer[Symbol.dispose]();
  }
}

function createState(scaling?: gateway.Scaling): core.gateway.GatewayState {
  const state = new core.gateway.GatewayState();
  const names = Array.from({ length: 20 }, (_, index) => `m${index}`);
  const service = fixtures.engineService(names, { scaling });
  const configuration = fixtures.configuration([], { services: [service] });
  state.apply({ kind: "configure", source: "", configuration });
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
    using fixture = new Fixture();
    await wait.waitFor("the order", () => fixture.calls.length > 0);
    await timers.setTimeout(CALL_MARGIN_MS);
    expect(fixture.calls).to.deep.equal([
      { service: "advice", domain: "a", count: 1, fence: 1 },
    ]);
  });

  it("sends what a lost holder has decided, with a higher fence", async () => {
    using fixture = new Fixture(createInheritedState());
    await wait.waitFor("the order", () => fixture.calls.length > 0);
    expect(fixture.calls[0]).to.deep.equal(
      { service: "advice", domain: "a", count: 3, fence: 2 },
    );
  });

  it("makes no call before the time of the previous holder is over", async () => {
    using fixture = new Fixture(createInheritedState());
    await timers.setTimeout(CALL_MARGIN_MS);
    expect(fixture.calls).to.deep.equal([]);
  });

  it("repeats the same order when an answer is lost", async () => {
    using fixture = new Fixture();
    fixture.answer = "lost";
    await wait.waitFor("the repetition", () => fixture.calls.length > 1);
    expect(fixture.calls[1]).to.deep.equal(fixture.calls[0]);
  });

  it("waits after 429 and then orders the same", async () => {
    using fixture = new Fixture();
    fixture.answer = "unavailable";
    await wait.waitFor("the first call", () => fixture.calls.length > 0);
    await timers.setTimeout(CALL_MARGIN_MS);
    expect(fixture.calls).to.have.length(1);
    fixture.answer = "accepted";
    await wait.waitFor(
      "the delivery",
      () => fixture.state.duties.serverOrders[0]?.isAccepted === true,
    );
    expect(fixture.calls[1]).to.deep.equal(fixture.calls[0]);
  });

  it("sends no order that can't be committed", async () => {
    using fixture = new Fixture();
    fixture.canCommit = false;
    await timers.setTimeout(2 * CALL_MARGIN_MS);
    expect(fixture.calls).to.deep.equal([]);
  });

  it("makes no call without a certain lease", async () => {
    using fixture = new Fixture();
    fixture.hasLease = false;
    await timers.setTimeout(2 * CALL_MARGIN_MS);
    expect(fixture.calls).to.deep.equal([]);
  });

  it("orders nothing without usable limits, and counts the service", async () => {
    using fixture = new Fixture(createState({ min: 2, max: 1, bootMs: 1 }));
    await timers.setTimeout(2 * CALL_MARGIN_MS);
    expect(fixture.calls).to.deep.equal([]);
    expect(await unusableServices(fixture.metrics)).to.equal(1);
  });

  it("orders nothing for a service without scaling", async () => {
    using fixture = new Fixture(createState());
    await timers.setTimeout(2 * CALL_MARGIN_MS);
    expect(fixture.calls).to.deep.equal([]);
  });

  it("orders nothing for a domain that the deployment doesn't have", async () => {
    using fixture = new Fixture(createState(LIMITS), { domains: ["b"] });
    await timers.setTimeout(2 * CALL_MARGIN_MS);
    expect(fixture.calls).to.deep.equal([]);
  });

  it("orders nothing if the settings don't ask for it", async () => {
    using fixture = new Fixture(createState(LIMITS), { duties: [] });
    await timers.setTimeout(2 * CALL_MARGIN_MS);
    expect(fixture.calls).to.deep.equal([]);
  });
});
