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
const CALL_MARGIN_MS = 150;
const WINDOW_MS = 400;
const DUE_MS = 800;
const FIRST_CONTENT = [{ workspace: "shop", count: 3 }];

type Call = { readonly usage: gateway.WindowUsage; readonly fence: number };

/** A leader that performs duties, and the party that they are for. */
class Fixture implements Disposable {
  readonly calls: Call[] = [];
  /** What the party answers; `lost` takes the call and loses the answer. */
  answer: dutyTypes.CallAnswer["kind"] | "lost" = "accepted";
  hasLease = true;
  canCommit = true;
  readonly performer: dutyPerformer.DutyPerformer;

  constructor(
    readonly state = createState(),
    settings: Partial<dutyTypes.DutySettings> = {},
  ) {
    this.performer = new dutyPerformer.DutyPerformer({
      settings: {
        duties: ["usage"],
        callsPerSecond: 50,
        usageWindowMs: WINDOW_MS,
        usageDueMs: DUE_MS,
        toleratedDomains: 1,
        domains: [],
        ...settings,
      },
      client: {
        orderServers: () => Promise.reject(new Error("no orders")),
        reportUsage: (usage, { fence }) => {
          this.calls.push({ usage, fence });
          if (this.answer === "lost") return Promise.reject(new Error("lost"));
          return Promise.resolve({ kind: this.answer, detail: "" });
        },
      },
      host: "control-1",
      holder: OWN,
      takeoverDelayMs: TAKEOVER_DELAY_MS,
      metrics: new GatewayMetrics(),
      registry: new core.gateway.ServerRegistry(),
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

  /** Reports a request that began now. */
  reportBegun(host: string): number {
    const wallMs = Date.now();
    const window = Math.floor(wallMs / WINDOW_MS);
    const begun = [{ window, workspace: "shop", count: 1 }];
    this.performer.recordReport(fixtures.report(host, { begun, wallMs }));
    return window;
  }

  [Symbol.dispose](): void {
    this.performer[Symbol.dispose]();
  }
}

function createState(): core.gateway.GatewayState {
  const state = new core.gateway.GatewayState();
  const configuration = fixtures.configuration([]);
  state.apply({ kind: "configure", source: "", configuration });
  return state;
}

/** A state in which another host has closed a window, and died. */
function createInheritedState(): core.gateway.GatewayState {
  const state = createState();
  state.apply({ kind: "hold-duty", duty: "usage", host: OTHER });
  state.apply({ kind: "close-window", window: 7, counts: FIRST_CONTENT });
  return state;
}

describe("gateway duty performer", () => {
  it("reports what hosts have counted in a window", async () => {
    using fixture = new Fixture();
    const window = fixture.reportBegun("entry-1");
    await wait.waitFor(
      "the report",
      () => fixture.calls.some(({ usage }) => usage.window === window),
    );
    expect(fixture.calls.find(({ usage }) => usage.window === window))
      .to.deep.equal({
        usage: { window, counts: [{ workspace: "shop", count: 1 }] },
        fence: 1,
      });
  });

  it("makes no call before the time of the previous holder is over", async () => {
    using fixture = new Fixture(createInheritedState());
    await timers.setTimeout(CALL_MARGIN_MS);
    expect(fixture.calls).to.deep.equal([]);
  });

  it("sends what the previous holder has committed, with a higher fence", async () => {
    using fixture = new Fixture(createInheritedState());
    await wait.waitFor("the report", () => fixture.calls.length > 0);
    expect(fixture.calls[0]).to.deep.equal({
      usage: { window: 7, counts: FIRST_CONTENT },
      fence: 2,
    });
  });

  it("repeats the same report when an answer is lost", async () => {
    using fixture = new Fixture(createInheritedState());
    fixture.answer = "lost";
    await wait.waitFor("the repetition", () => fixture.calls.length > 1);
    expect(fixture.calls[1]).to.deep.equal(fixture.calls[0]);
  });

  it("makes no call without a certain lease", async () => {
    const state = createInheritedState();
    state.apply({ kind: "hold-duty", duty: "usage", host: OWN });
    using fixture = new Fixture(state);
    fixture.hasLease = false;
    await timers.setTimeout(CALL_MARGIN_MS);
    expect(fixture.calls).to.deep.equal([]);
  });

  it("makes no call when the content can't be committed", async () => {
    using fixture = new Fixture();
    fixture.canCommit = false;
    fixture.reportBegun("entry-1");
    await timers.setTimeout(WINDOW_MS + DUE_MS);
    expect(fixture.calls).to.deep.equal([]);
  });

  it("reports a delivered window once", async () => {
    using fixture = new Fixture(createInheritedState());
    await wait.waitFor("the report", () => fixture.calls.length > 0);
    await timers.setTimeout(CALL_MARGIN_MS);
    expect(fixture.calls.filter(({ usage }) => usage.window === 7))
      .to.have.length(1);
  });

  it("waits after 429 and then reports the same", async () => {
    using fixture = new Fixture(createInheritedState());
    fixture.answer = "unavailable";
    await wait.waitFor("the first call", () => fixture.calls.length > 0);
    await timers.setTimeout(CALL_MARGIN_MS);
    expect(fixture.calls).to.have.length(1);
    fixture.answer = "accepted";
    await wait.waitFor(
      "the delivery",
      () => fixture.state.duties.undelivered.length === 0,
    );
    expect(fixture.calls[1]).to.deep.equal(fixture.calls[0]);
  });

  it("reports no usage if the settings don't ask for it", async () => {
    using fixture = new Fixture(createState(), { duties: [] });
    fixture.reportBegun("entry-1");
    await timers.setTimeout(WINDOW_MS + DUE_MS);
    expect(fixture.calls).to.deep.equal([]);
  });
});
