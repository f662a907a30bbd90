import { wait } from "@ebonypath/testing";
import type { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import * as fleetView from "../../src/gateway/entry/fleet_view.ts";
import * as hostDrain from "../../src/gateway/entry/host_drain.ts";
import * as serverSelector from "../../src/gateway/entry/server_selector.ts";
import * as crashSuspects from "../../src/gateway/entry/crash_suspects.ts";
import * as serverTracker from "../../src/gateway/entry/server_tracker.ts";
import type * as types from "../../src/gateway/entry/types.ts";
import * as fixtures from "./fixtures.ts";
import { EMPTY_METADATA, identityOf } from "./request_metadata.ts";

const SERVICE = fixtures.engineService([], { coldRequestsPerSecond: 4 });

/** A server that holds the model m1. */
function record(
  id: string,
  overrides: Partial<gateway.ServerRecord> = {},
): gateway.ServerRecord {
  const models = [{ name: "m1", version: 1, adapters: [] }];
  return fixtures.serverRecord(id, { models, ...overrides });
}

/** A selector before servers that the leader has told of. */
class Fixture implements Disposable {
  readonly view = new fleetView.FleetView();
  readonly drain = new hostDrain.HostDrain();
  /** Units that may be taken, and servers that units were wanted for. */
  units = 0;
  wanted: string[] = [];
  /** Servers that were to be probed. */
  probed: string[] = [];
  readonly tracker = new serverTracker.ServerTracker(() => {});
  readonly selector: serverSelector.ServerSelector;
  readonly suspects = new crashSuspects.CrashSuspects({
    view: this.view,
    probe: () => Promise.resolve("refused"),
    onCrash: () => {},
    onNews: () => {},
  });

  /** Deadline of a request whose caller comes back. */
  returning: number | undefined;

  constructor(servers: gateway.ServerRecord[]) {
    this.selector = new serverSelector.ServerSelector({
      view: this.view,
      tracker: this.tracker,
      callers: { isReturning: ({ deadline }) => deadline === this.returning },
      borrower: {
        tryTake: () => {
          if (this.units === 0) return false;
          this.units -= 1;
          return true;
        },
        want: (_limit, name) => this.wanted.push(name),
      },
      suspects: this.suspects,
      drain: this.drain,
      onProbeDue: ({ id }) => this.probed.push(id),
      onQueued: () => {},
      onDequeued: () => {},
    });
    this.view.apply(
      fixtures.watchResponse({ servers }),
      performance.now(),
    );
  }

  /** Selects a server for a request that waits for up to `patienceMs`. */
  select(
    model: string,
    patienceMs: number,
    softwareVersion?: string,
  ): Promise<types.Selection> {
    return this.selector.select(
      this.context(model, patienceMs, softwareVersion),
    );
  }

  context(
    model: string,
    patienceMs: number,
    softwareVersion?: string,
  ): types.RequestContext {
    const now = performance.now();
    return {
      metadata: { ...EMPTY_METADATA, model },
      identity: identityOf(model),
      route: {
        name: "r",
        host: "h",
        pathPrefix: "/",
        kind: "streaming",
        timeoutMs: 10_000,
        targetMs: 500,
        priority: 1,
        split: [],
        maxAttempts: 1,
        isPublic: true,
        isResumable: false,
      },
      service: SERVICE,
      workspace: undefined,
      ...(softwareVersion === undefined
        ? {}
        : { origin: { service: SERVICE.name, softwareVersion } }),
      arrivedAt: now,
      deadline: now + 10_000,
      queueDeadline: now + patienceMs,
      priority: 1,
      isRetryable: false,
      signal: new AbortController().signal,
      failedServers: new Set(),
    };
  }

  [Symbol.dispose](): void {
    this.selector[Symbol.dispose]();
  }
}

describe("gateway server selector", () => {
  it("lets others use the rate of a request while it waits for a server", async () => {
    using fixture = new Fixture([record("s1")]);
    const calls: string[] = [];
    let isThere = true;
    const rateHold = {
      fits: () => isThere,
      take: () => calls.push("take") > 0,
      release: () => calls.push("release"),
    } as unknown as types.RequestContext["rateHold"];
    const waiting = { ...fixture.context("absent", 100), rateHold };
    expect((await fixture.selector.select(waiting)).kind).to.equal("expired");
    expect(calls).to.deep.equal(["release"]);
    const held = { ...fixture.context("m1", 100), rateHold };
    expect((await fixture.selector.select(held)).kind).to.equal("server");
    expect(calls).to.deep.equal(["release", "take"]);
    isThere = false;
    const beyond = { ...fixture.context("m1", 100), rateHold };
    expect((await fixture.selector.select(beyond)).kind).to.equal("expired");
  });

  it("selects no server that leaves, though the leader deems it ready", async () => {
    using fixture = new Fixture([record("s1"), record("s2")]);
    fixture.tracker.availability.recordLeaving(record("s1"));
    for (let sent = 0; sent < 20; sent += 1) {
      const selected = await fixture.select("m1", 100);
      expect(selected.kind === "server" && selected.server.id)
        .to.equal("s2");
    }
    // A full exchange of the view, and a new leader, don't undo it.
    fixture.view.apply(
      fixtures.watchResponse({ term: 2, servers: [record("s1")] }),
      performance.now(),
    );
    expect((await fixture.select("m1", 60)).kind).to.equal("expired");
  });

  it("refuses at once what all servers want no requests for", async () => {
    using fixture = new Fixture([record("s1"), record("s2")]);
    const { availability } = fixture.tracker;
    const now = performance.now();
    availability.recordClosed(record("s1"), 5_000, now, 0);
    availability.recordClosed(record("s2"), 3_000, now, 0);
    const refused = await fixture.select("m1", 1_000);
    expect(refused.kind).to.equal("closed");
    const { remainingMs } = refused as { remainingMs: number };
    expect(remainingMs).to.be.within(2_900, 3_000);
    // Who has the time waits.
    const patient = fixture.select("m1", 9_000);
    expect(fixture.selector.isWaiting).to.equal(true);
    fixture.selector[Symbol.dispose]();
    expect((await patient).kind).to.equal("expired");
  });

  it("has an unreachable server probed rather than tried by requests", async () => {
    using fixture = new Fixture([record("s1")]);
    const { availability } = fixture.tracker;
    availability.recordUnreachable(record("s1"), performance.now());
    const selection = fixture.select("m1", 1_000);
    await wait.waitFor("a probe", () => fixture.probed.includes("s1"));
    availability.recordReachable(record("s1"));
    fixture.selector.processQueue();
    expect((await selection).kind).to.equal("server");
  });

  it("refuses a waiting request at once when it is quarantined", async () => {
    using fixture = new Fixture([record("s1")]);
    const context = fixture.context("m2", 9_000);
    const selection = fixture.selector.select(context);
    const harmless = fixture.select("m3", 50);
    const { fingerprint } = context.identity;
    fixture.view.apply(
      fixtures.watchResponse({
        servers: [record("s1")],
        quarantines: {
          revision: 1,
          requests: [{ fingerprint, remainingMs: 60_000 }],
        },
      }),
      performance.now(),
    );
    const { kind } = await selection;
    expect(kind).to.equal("quarantined");
    expect((await harmless).kind).to.equal("expired");
  });

  it("sends a suspect only to the server that it is admitted to", async () => {
    using fixture = new Fixture([record("s1"), record("s2"), record("s3")]);
    const context = fixture.context("m1", 2_000);
    const { fingerprint } = context.identity;
    const answer = (watched: gateway.ReportResponse["watched"]) =>
      fixture.suspects.onReportResponse({
        term: 1,
        hostCount: 1,
        usage: [],
        usageRevision: 0,
        load: [],
        lent: [],
        forecasts: [],
        ...(watched === undefined ? {} : { watched }),
      });
    answer([{ kind: "suspect", fingerprint, remainingMs: 60_000 }]);
    const selection = fixture.selector.select(context);
    expect(fixture.selector.isWaiting).to.equal(true);
    const [request] = fixture.suspects.takeReports();
    expect(request?.kind).to.equal("waiting");
    answer([{
      kind: "admitted",
      fingerprint,
      server: "s2",
      remainingMs: 60_000,
    }]);
    fixture.selector.processQueue();
    const selected = await selection;
    expect(selected.kind === "server" && selected.server.id).to.equal("s2");
    // One run at a time.
    const again = await fixture.selector.select(fixture.context("m1", 60));
    expect(again.kind).to.equal("expired");
  });

  it("gives up at once a request whose model is loaded too late", async () => {
    using fixture = new Fixture([record("s1")]);
    const startedAt = performance.now();
    const selection = fixture.select("m2", 2_000);
    const patient = fixture.select("m2", 9_000);
    const forecast = { service: SERVICE.name, model: "m2", readyMs: 5_000 };
    fixture.selector.applyForecasts([forecast]);
    expect(await selection)
      .to.deep.equal({ kind: "hopeless", forecast });
    expect(performance.now() - startedAt).to.be.below(500);
    // The other request has the time, and waits on.
    expect(fixture.selector.isWaiting).to.equal(true);
    fixture.selector[Symbol.dispose]();
    expect(await patient).to.deep.equal({ kind: "expired" });
  });

  it("keeps room for callers that come back, from those that can wait", async () => {
    using fixture = new Fixture([record("s1")]);
    const told = { server: "s1", running: 7, kept: 1 };
    fixture.tracker.applyFleetLoad([told], performance.now());
    const patient = fixture.select("m1", 9_000);
    expect(fixture.selector.isWaiting).to.equal(true);
    const back = fixture.context("m1", 9_000);
    fixture.returning = back.deadline;
    const selected = await fixture.selector.select(back);
    expect(selected.kind).to.equal("server");
    // It takes the room when it would be late otherwise.
    expect((await patient).kind).to.equal("server");
  });

  it("lets a request that can not wait have the room that is kept", async () => {
    using fixture = new Fixture([record("s1")]);
    const told = { server: "s1", running: 7, kept: 1 };
    fixture.tracker.applyFleetLoad([told], performance.now());
    const context = fixture.context("m1", 9_000);
    const urgent = { ...context, arrivedAt: context.arrivedAt - 500 };
    expect((await fixture.selector.select(urgent)).kind).to.equal("server");
    expect(fixture.selector.isWaiting).to.equal(false);
  });

  it("leaves kept room no longer than a full server lets it", async () => {
    using fixture = new Fixture([record("s1")]);
    const told = { server: "s1", running: 7, kept: 1 };
    fixture.tracker.applyFleetLoad([told], performance.now());
    const context = fixture.context("m1", 9_000);
    const { tokens } = fixture.tracker;
    const estimate = tokens.estimateOf(context.service.name);
    const expectedMs = (utilization: number) =>
      estimate.expectedMs({ tokens: 0, utilization });
    expect(expectedMs(0)).to.be.below(expectedMs(1));
    const leftMs = expectedMs(0) + expectedMs(1);
    const arrivedAt = context.arrivedAt + leftMs - context.route.targetMs;
    const selection = await fixture.selector.select({ ...context, arrivedAt });
    expect(selection.kind).to.equal("server");
  });

  it("keeps no room that a leader told of before it was lost", async () => {
    using fixture = new Fixture([record("s1")]);
    const told = { server: "s1", running: 7, kept: 1 };
    fixture.tracker.applyFleetLoad([told], performance.now() - 2_100);
    expect((await fixture.select("m1", 9_000)).kind).to.equal("server");
  });

  it("does not let a request that found no room wait for itself", async () => {
    using fixture = new Fixture([record("s1"), record("s2")]);
    const load = ["s1", "s2"].map((server) => ({ server, running: 8 }));
    fixture.tracker.applyFleetLoad(load, performance.now());
    const context = fixture.context("m1", 60);
    const metadata = { ...context.metadata, promptTokens: 100_000 };
    const selection = await fixture.selector.select({ ...context, metadata });
    expect(selection).to.deep.equal({ kind: "expired", roomMs: 0 });
  });

  it("tells how long the prompts take that wait before a request", async () => {
    using fixture = new Fixture([record("s1"), record("s2")]);
    const load = ["s1", "s2"].map((server) => ({ server, running: 8 }));
    fixture.tracker.applyFleetLoad(load, performance.now());
    const patient = fixture.context("m1", 9_000);
    const metadata = { ...patient.metadata, promptTokens: 100_000 };
    const arrivedAt = performance.now() - 20_000;
    const waiting = { ...patient, metadata, arrivedAt };
    void fixture.selector.select({ ...waiting, priority: 0 });
    void fixture.selector.select({ ...waiting, priority: 9 });
    const selection = await fixture.select("m1", 60);
    // A token takes 0.05 ms as long as no answer has been seen.
    expect(selection).to.deep.equal({ kind: "expired", roomMs: 2_500 });
  });

  it("lets requests for other models and services wait", () => {
    using fixture = new Fixture([record("s1")]);
    void fixture.select("m2", 2_000);
    fixture.selector.applyForecasts([
      { service: SERVICE.name, model: "m3", readyMs: 5_000 },
      { service: "other", model: "m2", readyMs: 5_000 },
    ]);
    expect(fixture.selector.isWaiting).to.equal(true);
  });

  it("gives up when a request might not end before its host stops", async () => {
    using fixture = new Fixture([]);
    fixture.drain.recordRun(fixture.context("m1", 9_000), 400);
    const waiting = fixture.select("m1", 9_000);
    const startedAt = performance.now();
    fixture.drain.begin(startedAt + 800);
    expect((await waiting).kind).to.equal("stopping");
    // 400 ms and a quarter, and 100 ms for the answer to arrive.
    expect(performance.now() - startedAt).to.be.within(200, 299 + 200);
    fixture.drain[Symbol.dispose]();
  });

  it("gives up at the queue deadline", async () => {
    using fixture = new Fixture([record("s1")]);
    expect(await fixture.select("m2", 60))
      .to.deep.equal({ kind: "expired", missing: "model" });
    const context = fixture.context("m1", 60);
    const metadata = { ...context.metadata, adapter: "a1" };
    expect(await fixture.selector.select({ ...context, metadata }))
      .to.deep.equal({ kind: "expired", missing: "adapter" });
  });

  it("sends to a cold server with a borrowed unit only", async () => {
    using fixture = new Fixture([record("s1", { coldMs: 60_000 })]);
    const selection = fixture.select("m1", 5_000);
    await wait.waitFor("a unit is wanted", () => fixture.wanted.length > 0);
    expect(fixture.wanted[0]).to.equal("s1");
    fixture.units = 1;
    expect((await selection).kind).to.equal("server");
    expect(fixture.units).to.equal(0);
  });

  it("resumes a stream only at a server of the version that began it", async () => {
    using fixture = new Fixture([
      record("s1", { softwareVersion: "v1" }),
      record("s2", { softwareVersion: "v2" }),
    ]);
    for (let request = 0; request < 20; request += 1) {
      const selection = await fixture.select("m1", 5_000, "v2");
      expect(selection.kind === "server" && selection.server.id)
        .to.equal("s2");
    }
  });

  it("gives up a stream at once when no server of its version is left", async () => {
    using fixture = new Fixture([
      record("s1", { softwareVersion: "v1" }),
      record("s2", { softwareVersion: "v2", state: "draining" }),
    ]);
    expect(await fixture.select("m1", 5_000, "v2"))
      .to.deep.equal({ kind: "version-gone" });
  });

  it("gives up a stream that waits when the last server of its version leaves", async () => {
    using fixture = new Fixture([record("s1", { softwareVersion: "v1" })]);
    const selection = fixture.select("m2", 5_000, "v1");
    expect(fixture.selector.isWaiting).to.equal(true);
    fixture.view.apply(
      fixtures.watchResponse({
        revision: 2,
        isWhole: false,
        servers: [
          record("s1", { softwareVersion: "v1", state: "draining" }),
          record("s2", { softwareVersion: "v2" }),
        ],
      }),
      performance.now(),
    );
    expect(await selection).to.deep.equal({ kind: "version-gone" });
  });

  it("prefers a server that is warm", async () => {
    using fixture = new Fixture([
      record("s1", { coldMs: 60_000 }),
      record("s2"),
    ]);
    for (let request = 0; request < 20; request += 1) {
      const selection = await fixture.select("m1", 5_000);
      expect(selection.kind === "server" && selection.server.id)
        .to.equal("s2");
    }
    expect(fixture.wanted).to.deep.equal([]);
  });
});
