import * as timers from "node:timers/promises";
import { gateway } from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as fleetView from "../../src/gateway/entry/fleet_view.ts";
import * as leaderSync from "../../src/gateway/entry/leader_sync.ts";
import * as fixtures from "./fixtures.ts";

const TERM = 3;
const EMPTY_REPORT: leaderSync.LocalReport = {
  demand: [],
  usage: [],
  load: [],
  requests: [],
  wanted: [],
  streams: [],
};

/** An entry host's synchronization with a leader that always answers. */
class Fixture implements Disposable {
  hasNews = false;
  /** Reports that the leader has received. */
  reports = 0;
  /** Time that the leader takes to answer, in milliseconds. */
  answerMs = 0;
  hostCount = 1;
  isAnswering = true;
  failures = 0;
  /** Watches that the leader has received. */
  watches: gateway.WatchRequest[] = [];
  /** Time after which the leader answers a watch without news, in ms. */
  holdMs = 1_000;
  /** Servers in the answers to watches, among them malformed ones. */
  servers: gateway.ServerRecord[] = [];
  readonly view = new fleetView.FleetView();
  readonly sync: leaderSync.LeaderSync;
  readonly #ended = new AbortController();

  constructor() {
    this.sync = new leaderSync.LeaderSync({
      host: "entry-1",
      leader: {
        leader: "control-1",
        setControlHosts: () => undefined,
        call: (method, params) =>
          this.#answer(
            method,
            typeof params === "function" ? params() : params,
          ),
      },
      view: this.view,
      hasNews: () => this.hasNews,
      collectReport: () => {
        this.hasNews = false;
        return EMPTY_REPORT;
      },
      missingTokens: () => [],
      onReportResponse: () => undefined,
      onReportFailed: () => this.failures += 1,
    });
  }

  async start(): Promise<void> {
    this.sync.start();
    await wait.waitFor("the first report", () => this.reports > 0);
    await timers.setTimeout(300);
  }

  [Symbol.dispose](): void {
    this.sync[Symbol.dispose]();
    this.#ended.abort();
  }

  async #answer(method: string, params: object): Promise<unknown> {
    const { signal } = this.#ended;
    if (method === gateway.METHODS.watch) {
      const watch = params as gateway.WatchRequest;
      this.watches.push(watch);
      const isHeld = watch.term === TERM;
      const heldMs = isHeld ? this.holdMs : 0;
      await timers.setTimeout(heldMs, undefined, { signal })
        .catch(() => undefined);
      return fixtures.watchResponse({
        term: TERM,
        heldMs,
        servers: this.servers,
        configuration: fixtures.configuration([]),
      });
    }
    this.reports += 1;
    if (!this.isAnswering) throw new Error("no answer");
    await timers.setTimeout(this.answerMs);
    return {
      term: TERM,
      hostCount: this.hostCount,
      usage: [],
      usageRevision: 0,
      load: [],
      lent: [],
      forecasts: [],
    } satisfies gateway.ReportResponse;
  }
}

describe("synchronization of an entry host with the leader", () => {
  const malformed: Record<string, unknown>[] = [
    { address: "10.0.0.1:70000" },
    { slots: 2 ** 53 },
    { coldMs: Infinity },
    { born: "now" },
    { models: [{ name: "m" }] },
    { id: { id: "s1" } },
    { failureDomain: "a".repeat(10_000) },
  ];
  for (const fields of malformed) {
    const name = JSON.stringify(fields).slice(0, 40);
    it(`follows a leader that tells of a malformed server: ${name}`, async () => {
      using fixture = new Fixture();
      const broken = { ...fixtures.serverRecord("s1"), ...fields };
      fixture.servers = [
        broken as gateway.ServerRecord,
        fixtures.serverRecord("s2"),
        null as unknown as gateway.ServerRecord,
      ];
      await fixture.start();
      const known = fixture.view.serverRecords(0).map(({ id }) => id);
      expect(known).to.deep.equal(["s2"]);
      expect(fixture.view.configuration?.version).to.equal(1);
    });
  }

  it("sends no reports without news", async () => {
    using fixture = new Fixture();
    await fixture.start();
    const { reports } = fixture;
    await timers.setTimeout(1_200);
    expect(fixture.reports).to.equal(reports);
  });

  it("reports news within an interval, and urgent ones at once", async () => {
    using fixture = new Fixture();
    await fixture.start();
    const { reports } = fixture;
    fixture.hasNews = true;
    await wait.waitFor("a report", () => fixture.reports === reports + 1);
    const urgentAt = performance.now();
    fixture.sync.reportSoon();
    await wait.waitFor("a report", () => fixture.reports === reports + 2);
    expect(performance.now() - urgentAt).to.be.below(200);
  });

  it("sends fewer reports in a larger fleet", async () => {
    const counts: number[] = [];
    for (const hostCount of [9, 400]) {
      using fixture = new Fixture();
      fixture.hostCount = hostCount;
      await fixture.start();
      const { reports } = fixture;
      const until = performance.now() + 2_000;
      while (performance.now() < until) {
        fixture.hasNews = true;
        await timers.setTimeout(20);
      }
      counts.push(fixture.reports - reports);
    }
    // Every 250 ms with 9 hosts, every second with 400.
    expect(counts[0]).to.be.within(5, 9);
    expect(counts[1]).to.be.within(1, 3);
  });

  it("reports at once what may wait, but once an interval at most", async () => {
    using fixture = new Fixture();
    await fixture.start();
    const { reports } = fixture;
    fixture.sync.reportIfDue();
    await timers.setTimeout(100);
    expect(fixture.reports).to.equal(reports + 1);
    fixture.sync.reportIfDue();
    await timers.setTimeout(100);
    expect(fixture.reports).to.equal(reports + 1);
  });

  it("refreshes when the leader has answered a later report", async () => {
    using fixture = new Fixture();
    await fixture.start();
    fixture.answerMs = 80;
    const { reports } = fixture;
    const startedAt = performance.now();
    await fixture.sync.refresh(2_000);
    expect(fixture.reports).to.equal(reports + 1);
    expect(performance.now() - startedAt).to.be.within(75, 1_000);
  });

  it("ends a refresh at its time limit when the leader is silent", async () => {
    using fixture = new Fixture();
    await fixture.start();
    fixture.answerMs = 1_000;
    const startedAt = performance.now();
    await fixture.sync.refresh(100);
    expect(performance.now() - startedAt).to.be.within(95, 700);
  });

  it("tells when a report was not answered", async () => {
    using fixture = new Fixture();
    await fixture.start();
    fixture.isAnswering = false;
    fixture.hasNews = true;
    await wait.waitFor("a failure", () => fixture.failures > 0);
  });
});
