import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as performing from "./duty_performing.ts";
import * as fixtures from "./fixtures.ts";

const { CALL_MARGIN_MS, DUE_MS, OTHER, OWN, WINDOW_MS } = performing;
const FIRST_CONTENT = [{ workspace: "shop", count: 3 }];

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
    using fixture = new performing.DutyFixture(createState());
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
    using fixture = new performing.DutyFixture(createInheritedState());
    await timers.setTimeout(CALL_MARGIN_MS);
    expect(fixture.calls).to.deep.equal([]);
  });

  it("sends what the previous holder has committed, with a higher fence", async () => {
    using fixture = new performing.DutyFixture(createInheritedState());
    await wait.waitFor("the report", () => fixture.calls.length > 0);
    expect(fixture.calls[0]).to.deep.equal({
      usage: { window: 7, counts: FIRST_CONTENT },
      fence: 2,
    });
  });

  it("repeats the same report when an answer is lost", async () => {
    using fixture = new performing.DutyFixture(createInheritedState());
    fixture.answer = "lost";
    await wait.waitFor("the repetition", () => fixture.calls.length > 1);
    expect(fixture.calls[1]).to.deep.equal(fixture.calls[0]);
  });

  it("makes no call without a certain lease", async () => {
    const state = createInheritedState();
    state.apply({ kind: "hold-duty", duty: "usage", host: OWN });
    using fixture = new performing.DutyFixture(state);
    fixture.hasLease = false;
    await timers.setTimeout(CALL_MARGIN_MS);
    expect(fixture.calls).to.deep.equal([]);
  });

  it("makes no call when the content can't be committed", async () => {
    using fixture = new performing.DutyFixture(createState());
    fixture.canCommit = false;
    fixture.reportBegun("entry-1");
    await timers.setTimeout(WINDOW_MS + DUE_MS);
    expect(fixture.calls).to.deep.equal([]);
  });

  it("reports a delivered window once", async () => {
    using fixture = new performing.DutyFixture(createInheritedState());
    await wait.waitFor("the report", () => fixture.calls.length > 0);
    await timers.setTimeout(CALL_MARGIN_MS);
    expect(fixture.calls.filter(({ usage }) => usage.window === 7))
      .to.have.length(1);
  });

  it("waits after 429 and then reports the same", async () => {
    using fixture = new performing.DutyFixture(createInheritedState());
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
    using fixture = new performing.DutyFixture(createState(), { duties: [] });
    fixture.reportBegun("entry-1");
    await timers.setTimeout(WINDOW_MS + DUE_MS);
    expect(fixture.calls).to.deep.equal([]);
  });
});
