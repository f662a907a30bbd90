import { expect } from "chai";
import type { gateway } from "@ebonypath/protocol";
import type * as connectionProbe from "../../src/gateway/entry/connection_probe.ts";
import * as crashSuspects from "../../src/gateway/entry/crash_suspects.ts";
import * as fleetView from "../../src/gateway/entry/fleet_view.ts";
import type * as types from "../../src/gateway/entry/types.ts";
import * as fixtures from "./fixtures.ts";
import { EMPTY_METADATA, identityOf } from "./request_metadata.ts";

const SERVER = fixtures.serverRecord("s1");

function contextOf(
  body: string,
  content?: Parameters<typeof identityOf>[1],
): types.RequestContext {
  return {
    metadata: EMPTY_METADATA,
    identity: identityOf(body, content),
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

  it("reports what the requests under which a server crashed may share", async () => {
    const fixture = new Fixture("refused");
    const content = { service: "m", model: "m", promptParts: ["5c", "91"] };
    const context = contextOf("a", content);
    await fixture.suspects.recordFailure(context, SERVER, 0, true);
    const [report] = fixture.suspects.takeReports();
    const attributes = report?.kind === "death"
      ? report.inFlight[0]?.attributes?.map(({ kind, name }) =>
        `${kind} ${name}`
      )
      : undefined;
    expect(attributes).to.deep.equal([
      "prompt-part 91",
      "prompt-part 5c",
      "model m",
      "prompt-prefix m 5c,91",
    ]);
  });

  it("refuses a request of which a part is in quarantine", () => {
    const fixture = new Fixture("refused");
    const content = { promptParts: ["5c", "91"] };
    const [part] = contextOf("a", content).identity.attributes;
    const requests = [{ fingerprint: part!.fingerprint, remainingMs: 9_000 }];
    fixture.view.apply(
      fixtures.watchResponse({
        revision: 9,
        quarantines: { revision: 1, requests },
      }),
      performance.now(),
    );
    const kindFor = (promptParts: string[]) =>
      fixture.suspects.permissionFor(
        contextOf("b", { promptParts }),
        performance.now(),
      ).kind;
    expect(kindFor(["aa", "91"])).to.equal("quarantined");
    expect(kindFor(["5c", "92"])).to.equal("clear");
  });

  it("takes an answer for broken that ends with its server", async () => {
    const refused = new Fixture("refused").suspects;
    expect(await refused.confirmEnd(contextOf("a"), SERVER, 0))
      .to.equal(false);
    for (const result of ["listening", "silent"] as const) {
      const { suspects } = new Fixture(result);
      expect(await suspects.confirmEnd(contextOf("a"), SERVER, 0))
        .to.equal(true);
    }
  });

  it("counts a crash under an answer that had seemed to be whole", async () => {
    const fixture = new Fixture("listening");
    await fixture.suspects.confirmEnd(contextOf("a"), SERVER, 0);
    expect(fixture.reportedCrashes()).to.deep.equal([]);
    fixture.tell([{ ...SERVER, born: 2 }]);
    expect(fixture.reportedCrashes()).to.deep.equal(["s1/1"]);
  });

  it("digests no body of an answered request before any crash is known", () => {
    const fixture = new Fixture("refused");
    const { identity } = contextOf("a", { promptParts: ["5c"] });
    let digests = 0;
    const counted = {
      attributes: identity.attributes,
      get fingerprint() {
        digests += 1;
        return identity.fingerprint;
      },
    };
    const context = { ...contextOf("a"), identity: counted };
    fixture.suspects.recordSuccess(
      context as unknown as types.RequestContext,
      0,
    );
    expect(digests).to.equal(0);
  });
});
