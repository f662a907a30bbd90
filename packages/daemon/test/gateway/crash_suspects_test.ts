import { expect } from "chai";
import type { gateway } from "@ebonypath/protocol";
import type * as connectionProbe from "../../src/gateway/entry/connection_probe.ts";
import * as crashSuspects from "../../src/gateway/entry/crash_suspects.ts";
import * as fleetView from "../../src/gateway/entry/fleet_view.ts";
import type * as types from "../../src/gateway/entry/types.ts";
import * as fixtures from "./fixtures.ts";
import { EMPTY_METADATA, identityOf } from "./request_metadata.ts";

const SERVER = fixtures.serverRecord("s1");

function contextOf(body: string): types.RequestContext {
  return {
    metadata: EMPTY_METADATA,
    identity: identityOf(body),
    service: fixtures.engineService([]),
    workspace: undefined,
    deadline: performance.now() + 1_000,
  } as unknown as types.RequestContext;
}

/** A host that knows one server. */
class Fixture {
  readonly view = new fleetView.FleetView();
  probes = 0;
  news = 0;
  #revision = 0;
  readonly suspects: crashSuspects.CrashSuspects;

  constructor(result: connectionProbe.ProbeResult) {
    this.suspects = new crashSuspects.CrashSuspects({
      view: this.view,
      probe: () => {
        this.probes += 1;
        return Promise.resolve(result);
      },
      onCrash: () => {},
      onNews: () => this.news += 1,
    });
    this.tell([SERVER]);
  }

  tell(servers: gateway.ServerRecord[], term = 1): void {
    this.#revision += 1;
    const revision = this.#revision;
    this.view.apply(
      fixtures.watchResponse({ servers, term, revision, isWhole: false }),
      performance.now(),
    );
  }

  /** Servers whose crashes are reported. */
  reportedCrashes(): string[] {
    return this.suspects.takeReports().flatMap((report) =>
      report.kind === "death" ? [`${report.server}/${report.incarnation}`] : []
    );
  }
}

describe("the crash suspects of an entry host", () => {
  it("reports a server that refuses connections, with one probe", async () => {
    const fixture = new Fixture("refused");
    await Promise.all(
      ["a", "b", "c"].map((body) =>
        fixture.suspects.recordFailure(contextOf(body), SERVER, 0, true)
      ),
    );
    expect(fixture.probes).to.equal(1);
    expect(fixture.news).to.be.at.least(1);
    expect(fixture.reportedCrashes()).to.deep.equal(["s1/1", "s1/1", "s1/1"]);
  });

  it("reports no server that leaves", async () => {
    for (const state of ["draining", "ended"] as const) {
      const fixture = new Fixture("refused");
      fixture.tell([{ ...SERVER, state }]);
      await fixture.suspects.recordFailure(contextOf("a"), SERVER, 0, true);
      expect(fixture.reportedCrashes()).to.deep.equal([]);
    }
  });

  it("reports a server that is back under its id before it is probed", async () => {
    const fixture = new Fixture("listening");
    await fixture.suspects.recordFailure(contextOf("a"), SERVER, 0, true);
    expect(fixture.reportedCrashes()).to.deep.equal([]);
    fixture.tell([{ ...SERVER, born: 2 }]);
    expect(fixture.reportedCrashes()).to.deep.equal(["s1/1"]);
  });

  it("reports a server that another one has replaced at its address", async () => {
    const fixture = new Fixture("silent");
    await fixture.suspects.recordFailure(contextOf("a"), SERVER, 0, true);
    fixture.tell([
      { ...SERVER, state: "ended" },
      fixtures.serverRecord("s2", { address: SERVER.address, born: 2 }),
    ]);
    expect(fixture.reportedCrashes()).to.deep.equal(["s1/1"]);
  });

  it("does not take a broken connection or a slow server for a crash", async () => {
    const fixture = new Fixture("listening");
    await fixture.suspects.recordFailure(contextOf("a"), SERVER, 0, true);
    fixture.tell([SERVER]);
    expect(fixture.reportedCrashes()).to.deep.equal([]);
    await fixture.suspects.recordFailure(contextOf("b"), SERVER, 0, false);
    fixture.tell([{ ...SERVER, born: 2 }]);
    expect(fixture.reportedCrashes()).to.deep.equal(["s1/1"]);
  });

  it("tells a new leader of its crashes again", async () => {
    const fixture = new Fixture("refused");
    await fixture.suspects.recordFailure(contextOf("a"), SERVER, 0, true);
    expect(fixture.reportedCrashes()).to.deep.equal(["s1/1"]);
    expect(fixture.reportedCrashes()).to.deep.equal([]);
    fixture.tell([SERVER], 2);
    expect(fixture.reportedCrashes()).to.deep.equal(["s1/1"]);
  });

  it("asks the leader when it has other suspects than the host knows", () => {
    const fixture = new Fixture("refused");
    expect(fixture.suspects.hasNews).to.equal(false);
    fixture.view.apply(
      fixtures.watchResponse({ revision: 9, suspectRevision: 3 }),
      performance.now(),
    );
    expect(fixture.suspects.hasNews).to.equal(true);
    expect(fixture.news).to.equal(1);
  });

  it("keeps the admission of a request when another one of the same has ended", () => {
    const fixture = new Fixture("refused");
    const [first, second] = [contextOf("a"), contextOf("a")];
    const { fingerprint } = first.identity;
    const answer = (watched: gateway.ReportResponse["watched"]) =>
      fixture.suspects.onReportResponse(
        { watched } as unknown as gateway.ReportResponse,
      );
    const suspect = { fingerprint, remainingMs: 9_000 };
    answer([{ ...suspect, kind: "suspect" }]);
    fixture.suspects.requestAdmission(second, ["s1"], performance.now());
    answer([{ ...suspect, kind: "admitted", server: "s1" }]);
    fixture.suspects.recordEnd(first);
    expect(fixture.suspects.permissionFor(second, performance.now()).kind)
      .to.equal("admitted");
  });

  it("keeps an admission while the same request runs under another id", () => {
    const fixture = new Fixture("refused");
    const [first, second] = [contextOf("a"), contextOf("a")];
    const { fingerprint } = first.identity;
    fixture.suspects.onReportResponse({
      watched: [{
        kind: "admitted",
        fingerprint,
        server: "s1",
        remainingMs: 9_000,
      }],
    } as unknown as gateway.ReportResponse);
    fixture.suspects.recordStart(first);
    fixture.suspects.recordEnd(second);
    expect(fixture.suspects.takeReports()).to.deep.equal([]);
    fixture.suspects.recordSuccess(first, 0);
    const [report, ...others] = fixture.suspects.takeReports();
    expect(report).to.include({ kind: "ended", fingerprint, survived: true });
    expect(others).to.deep.equal([]);
  });
});
