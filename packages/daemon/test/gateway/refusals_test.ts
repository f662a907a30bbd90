import * as core from "@ebonypath/core";
import { expect } from "chai";
import * as keptRoom from "../../src/gateway/control/kept_room.ts";
import * as reportedForecasts from "../../src/gateway/control/reported_forecasts.ts";
import * as expectedReturns from "../../src/gateway/entry/expected_returns.ts";
import * as fleetView from "../../src/gateway/entry/fleet_view.ts";
import * as forecastView from "../../src/gateway/entry/forecast_view.ts";
import * as refusals from "../../src/gateway/entry/refusals.ts";
import * as serverTokens from "../../src/gateway/entry/server_tokens.ts";
import type * as types from "../../src/gateway/entry/types.ts";
import { createContext } from "./dispatching.ts";
import * as fixtures from "./fixtures.ts";

const SERVICE = fixtures.engineService(["m1"]);
const FORECAST = {
  service: SERVICE.name,
  model: "m1",
  readyMs: 4_000,
  copies: { loaded: 0, inMemory: 1, onDisk: 2, loading: 1 },
};
const MODEL = { name: "m1", version: 1, adapters: [] };
/** Spread of the returns of callers, in milliseconds. */
const SPREAD_MS = 150;
const returns = {
  schedule: (
    _context: types.RequestContext,
    { readyMs }: expectedReturns.ExpectedModel,
  ) => readyMs,
};

function context(promptTokens = 0): types.RequestContext {
  const metadata = { model: "m1", promptTokens };
  const request = createContext("streaming", false, metadata, 30_000);
  return { ...request, service: SERVICE };
}

describe("a refusal", () => {
  it("names its cause, and when the caller should come back", () => {
    const of = (selection: Exclude<types.Selection, { kind: "server" }>) => {
      const now = performance.now();
      const { kind, retryAfterMs } = refusals
        .causeOf(selection, context(), returns, now);
      return [kind, retryAfterMs];
    };
    const hopeless = { kind: "hopeless" } as const;
    expect(of({ ...hopeless, forecast: FORECAST }))
      .to.deep.equal(["model-loading", 4_000]);
    const copies = { ...FORECAST.copies, loading: 0 };
    expect(of({ ...hopeless, forecast: { ...FORECAST, copies } }))
      .to.deep.equal(["model-not-planned", 4_000]);
    expect(of({ kind: "expired" })).to.deep.equal(["no-room", 250]);
    expect(of({ kind: "expired", roomMs: 2_500 }))
      .to.deep.equal(["no-room", 2_500]);
    expect(of({ kind: "expired", missing: "model" }))
      .to.deep.equal(["model-late", 250]);
    expect(of({ kind: "expired", missing: "adapter" }))
      .to.deep.equal(["adapter-late", 250]);
    expect(of({ kind: "closed", remainingMs: 700 }))
      .to.deep.equal(["closed", 700]);
  });

  it("is not put down to servers if the caller has left", () => {
    const signal = AbortSignal.abort();
    const { kind } = refusals.causeOf(
      { kind: "expired", missing: "model" },
      { ...context(), signal },
      returns,
      performance.now(),
    );
    expect(kind).to.equal("given-up");
  });

  it("says that a request has not run only if no attempt may have", () => {
    const cause = { kind: "no-room", reason: "r", retryAfterMs: 9 } as const;
    const of = (possibleRuns: number) =>
      refusals.createRefusal(
        context(),
        { possibleRuns, reason: "r", cause },
        performance.now(),
      );
    expect(of(0).outcome).to.equal("not-run");
    expect(of(0).retryAfterSeconds).to.equal(0.009);
    expect(of(1).outcome).to.equal("may-have-run");
  });

  it("shows what it follows from, and how old that is", () => {
    const view = new fleetView.FleetView();
    const servers = [
      fixtures.serverRecord("s1", { models: [MODEL] }),
      fixtures.serverRecord("s2"),
    ];
    view.apply(fixtures.watchResponse({ servers }), 1_000);
    const forecasts = new forecastView.ForecastView();
    forecasts.apply([FORECAST], 1_100);
    expect(forecasts.describe(context(), view, 1_500)).to.include({
      servers_ready: 2,
      loaded: 1,
      in_memory: 1,
      on_disk: 2,
      loading: 1,
      ready_ms: 4_000,
      forecast_age_ms: 400,
      view_age_ms: 500,
    });
  });

  it("shows that no leader has told anything", () => {
    const fields = new forecastView.ForecastView()
      .describe(context(), new fleetView.FleetView(), 1_500);
    expect(fields).to.include({ servers_ready: 0, term: 0 });
    expect(fields["ready_ms"]).to.equal(undefined);
    expect(fields["view_age_ms"]).to.equal(undefined);
  });
});

describe("callers that were told to come back", () => {
  const create = () =>
    new expectedReturns.ExpectedReturns(new serverTokens.ServerTokens());

  const ready = { model: "m1", readyMs: 4_000, holders: 1 };

  it("come back after the prompts of those that are due before", () => {
    const expected = create();
    const now = performance.now();
    const first = expected.schedule(context(20_000), ready, now);
    const later = { ...ready, readyMs: 4_500, holders: 2 };
    const second = expected.schedule(context(), later, now);
    expect(first).to.be.within(4_000, 4_000 + SPREAD_MS);
    // 20,000 tokens of 0.05 ms each are read first, on two servers.
    expect(second).to.be.within(5_000, 5_000 + SPREAD_MS);
  });

  it("don't wait for those that are due later", () => {
    const expected = create();
    const now = performance.now();
    expected.schedule(context(20_000), { ...ready, readyMs: 9_000 }, now);
    expect(expected.schedule(context(), ready, now))
      .to.be.within(4_000, 4_000 + SPREAD_MS);
  });

  it("are told no more than a third of the time that they have left", () => {
    const now = performance.now();
    const away = { ...ready, readyMs: 20_000 };
    expect(create().schedule(context(), away, now)).to.be.within(9_900, 10_001);
  });

  it("are forgotten if they never come back", () => {
    const expected = create();
    const now = performance.now();
    expected.schedule(context(), ready, now);
    expect(expected.due(now + 4_000)).to.have.length(1);
    expect(expected.due(now + 4_000 + SPREAD_MS + 501)).to.have.length(0);
  });

  it("are forgotten from the latest on, if there are too many", () => {
    const expected = create();
    const now = performance.now();
    for (let count = 0; count < 300; count += 1) {
      const readyMs = count === 0 ? 1_000 : 4_000;
      expected.schedule(context(), { ...ready, readyMs }, now);
    }
    const due = expected.due(now);
    expect(due).to.have.length(256);
    expect(due[0]?.dueAt).to.be.below(now + 1_200);
  });
});

describe("what a leader tells hosts of callers that come back", () => {
  const report = (dueMs: number, count = 1) => ({
    host: "h1",
    load: [],
    demand: [{
      service: SERVICE.name,
      model: "m1",
      slacksMs: Array<number>(count).fill(dueMs),
      returningMs: Array<number>(count).fill(dueMs),
      running: 0,
      arrivals: 0,
    }],
  });
  const server = fixtures.heartbeat("s1", { models: [MODEL] });
  const registry = { activeServers: () => [server] };

  it("keeps room from shortly before they are due until shortly after", () => {
    const tracker = new core.gateway.DemandTracker();
    tracker.addReport(report(2_000), 0);
    const room = new keptRoom.KeptRoom(tracker, registry);
    const kept = (now: number) => room.describe(server, now).kept;
    expect(kept(1_000)).to.equal(undefined);
    expect(kept(1_600)).to.equal(1);
    expect(kept(2_400)).to.equal(1);
    // The caller never comes back, and no later report says so.
    expect(kept(2_800)).to.equal(undefined);
  });

  it("keeps room again when a new leader has the reports", () => {
    const tracker = new core.gateway.DemandTracker();
    const room = new keptRoom.KeptRoom(tracker, registry);
    expect(room.describe(server, 0).kept).to.equal(undefined);
    tracker.addReport(report(200), 300);
    expect(room.describe(server, 300).kept).to.equal(1);
  });

  it("keeps an eighth of a server at most, however many hosts expect", () => {
    const tracker = new core.gateway.DemandTracker();
    tracker.addReport(report(0, 900), 0);
    const room = new keptRoom.KeptRoom(tracker, registry);
    expect(room.describe(server, 0).kept).to.equal(1);
  });

  const forecasting = (
    loading: string | undefined,
    planned: string | undefined,
  ) => {
    const scheduler = {
      round: 0,
      readyMs: () => 4_000,
      isPlanned: (_service: string, model: string) => model === planned,
    };
    const idle = { busyMs: 4_000, pendingAdapters: new Set<string>() };
    const status = { ...idle, loading, unloadingAdapters: new Set<string>() };
    const executor = { status: () => status };
    const held = fixtures.heartbeat("s1", { onDisk: ["m1"] });
    const registry = { activeServers: () => [held] };
    return { scheduler, executor, registry, status };
  };
  const copies = { loaded: 0, inMemory: 0, onDisk: 1, loading: 1 };

  it("tells which copies and orders a forecast follows from", () => {
    const forecasts = new reportedForecasts.ReportedForecasts(
      forecasting("m1", undefined),
    );
    expect(forecasts.answer(report(100, 3), 0))
      .to.deep.equal([{ ...FORECAST, copies }]);
  });

  it("counts a load for which its server is not free yet", () => {
    const forecasts = new reportedForecasts.ReportedForecasts(
      forecasting(undefined, "m1"),
    );
    expect(forecasts.answer(report(100), 0)[0]?.copies).to.deep.equal(copies);
  });

  it("counts a load as soon as a round of the planner has ordered it", () => {
    const sources = forecasting(undefined, undefined);
    const forecasts = new reportedForecasts.ReportedForecasts(sources);
    const loading = () => forecasts.answer(report(100), 0)[0]?.copies?.loading;
    expect(loading()).to.equal(0);
    sources.status.loading = "m1";
    sources.scheduler.round = 1;
    expect(loading()).to.equal(1);
  });
});
