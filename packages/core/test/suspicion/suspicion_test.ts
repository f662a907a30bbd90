import { suspicion } from "@ebonypath/core";
import { expect } from "chai";

const HOSTS = ["h0", "h1", "h2"];
const SERVERS = ["s0", "s1", "s2", "s3"];
const RUN_MS = 500;
const EXCHANGE_MS = 100;

function inFlight(fingerprint: string) {
  return { fingerprint, workspace: "shop", model: "fit" };
}

/** Entry hosts that exchange with one leader, and servers that may crash. */
class FleetSimulation {
  readonly tracker = new suspicion.SuspectTracker();
  readonly hosts = HOSTS.map(() => new suspicion.HostSuspects());
  readonly quarantined = new Set<string>();
  readonly answered: string[] = [];
  now = 0;
  crashes = 0;
  /** Waiting requests, each with the host that received it. */
  waiting: { fingerprint: string; hostIndex: number }[] = [];

  /** Exchanges once between each host and the leader. */
  exchange(): void {
    this.hosts.forEach((host, index) => {
      const reports = host.takeReports();
      const watched = this.tracker.exchange(HOSTS[index]!, reports, this.now);
      host.update(watched, this.now);
    });
    for (const { fingerprint } of this.tracker.crashingRequests(this.now)) {
      this.quarantined.add(fingerprint);
      this.tracker.forget(fingerprint);
    }
    this.now += EXCHANGE_MS;
  }

  /** Crashes a server with requests in flight, each from one host. */
  crash(server: string, fingerprints: readonly string[]): void {
    this.crashes++;
    fingerprints.forEach((fingerprint, index) => {
      const hostIndex = index % HOSTS.length;
      const requests = [inFlight(fingerprint)];
      const incarnation = `${this.crashes}`;
      this.hosts[hostIndex]!.recordCrash(
        server,
        incarnation,
        requests,
        this.now,
      );
      this.waiting.push({ fingerprint, hostIndex });
    });
  }

  /** Dispatches what may run. Requests in `crashing` crash their server. */
  dispatch(crashing: ReadonlySet<string>): void {
    const dispatched = new Map<
      string,
      { fingerprint: string; hostIndex: number }[]
    >();
    const stillWaiting: typeof this.waiting = [];
    for (const request of this.waiting) {
      const { fingerprint, hostIndex } = request;
      const host = this.hosts[hostIndex]!;
      const permission = host.permissionFor(fingerprint, this.now);
      if (this.quarantined.has(fingerprint)) {
        host.recordEnd(fingerprint, false);
      } else if (permission.kind === "wait") {
        host.requestAdmission(fingerprint, SERVERS, RUN_MS);
        stillWaiting.push(request);
      } else {
        const server = permission.kind === "clear" ? "s0" : permission.server;
        host.recordStart(fingerprint);
        dispatched.set(server, [...(dispatched.get(server) ?? []), request]);
      }
    }
    this.waiting = stillWaiting;
    this.now += EXCHANGE_MS;
    dispatched.forEach((requests, server) => {
      const fingerprints = requests.map(({ fingerprint }) => fingerprint);
      const suspects = this.#countSuspects(fingerprints);
      expect(suspects, `suspects on ${server}`).to.be.at.most(1);
      const hasCrashed = fingerprints.some((one) => crashing.has(one));
      if (hasCrashed) {
        this.crash(server, fingerprints);
      }
      for (const { fingerprint, hostIndex } of requests) {
        this.hosts[hostIndex]!.recordEnd(fingerprint, !hasCrashed);
        if (!hasCrashed) {
          this.answered.push(fingerprint);
        }
      }
    });
  }

  #countSuspects(fingerprints: readonly string[]): number {
    const watched = this.tracker.exchange("observer", [], this.now)
      .map(({ fingerprint }) => fingerprint);
    return fingerprints.filter((one) => watched.includes(one)).length;
  }
}

describe("requests that crash servers", () => {
  const cases = [
    { name: "a single request", first: ["x"], crashing: ["x"] },
    {
      name: "one of several requests",
      first: ["a", "x", "b", "c", "d", "e"],
      crashing: ["x"],
    },
    {
      name: "two requests in one crash",
      first: ["a", "x", "y", "b"],
      crashing: ["x", "y"],
    },
    {
      name: "none, as the host was reclaimed",
      first: ["a", "b"],
      crashing: [],
    },
  ];
  for (const { name, first, crashing } of cases) {
    it(`quarantines crashing requests and serves others: ${name}`, () => {
      const fleet = new FleetSimulation();
      fleet.crash("s0", first);
      for (let round = 0; round < 60; round++) {
        fleet.exchange();
        fleet.dispatch(new Set(crashing));
      }
      expect([...fleet.quarantined].sort()).to.deep.equal(crashing);
      const harmless = first.filter((one) => !crashing.includes(one));
      expect([...new Set(fleet.answered)].sort()).to.deep.equal(harmless);
      expect(fleet.crashes).to.be.at.most(1 + crashing.length);
      expect(fleet.waiting).to.have.length(0);
    });
  }

  it("counts a crash that several hosts report once", () => {
    const fleet = new FleetSimulation();
    for (const host of fleet.hosts) {
      host.recordCrash("s0", "1", [inFlight("x")], 0);
    }
    for (let round = 0; round < 30; round++) {
      fleet.exchange();
    }
    expect(fleet.quarantined.size).to.equal(0);
  });

  it("does not quarantine a request that ran on servers that crashed together", () => {
    const fleet = new FleetSimulation();
    for (const server of SERVERS) fleet.crash(server, ["popular"]);
    for (let round = 0; round < 60; round++) {
      fleet.exchange();
      fleet.dispatch(new Set());
    }
    expect([...fleet.quarantined]).to.deep.equal([]);
    expect(fleet.answered).to.include("popular");
  });

  it("isolates a request only after as many crashes as are set", () => {
    const counts = suspicion.SHARED_SERVER_CRASH_COUNTS;
    const tracker = new suspicion.SuspectTracker(counts);
    const host = new suspicion.HostSuspects(counts);
    for (let crash = 1; crash <= counts.isolation; crash++) {
      expect(host.permissionFor("x", 0).kind).to.equal("clear");
      host.recordCrash(`s${crash}`, "1", [inFlight("x"), inFlight("a")], 0);
      const { revision } = tracker;
      host.update(tracker.exchange("h0", host.takeReports(), 0), 0);
      expect(tracker.revision > revision).to.equal(crash === counts.isolation);
    }
    expect(host.permissionFor("x", 0).kind).to.equal("wait");
  });

  it("keeps the crashes of a request over a change of leader", () => {
    const counts = suspicion.SHARED_SERVER_CRASH_COUNTS;
    const host = new suspicion.HostSuspects(counts);
    host.recordCrash("s0", "1", [inFlight("x")], 0);
    host.recordCrash("s1", "1", [inFlight("x")], 0);
    new suspicion.SuspectTracker(counts)
      .exchange("h0", host.takeReports(), 0);
    const nextLeader = new suspicion.SuspectTracker(counts);
    host.beginTerm(1);
    host.update(nextLeader.exchange("h0", host.takeReports(), 1), 1);
    expect(host.permissionFor("x", 1).kind).to.equal("wait");
  });

  it("forgets the crashes of a request that has run without one", () => {
    const host = new suspicion.HostSuspects();
    host.recordCrash("s0", "1", [inFlight("x"), inFlight("y")], 0);
    host.takeReports();
    host.recordEnd("x", true);
    host.takeReports();
    host.beginTerm(1);
    expect(host.takeReports()).to.deep.equal([{
      kind: "death",
      server: "s0",
      incarnation: "1",
      inFlight: [inFlight("y")],
    }]);
  });

  it("holds back suspects on their host before the leader answers", () => {
    const host = new suspicion.HostSuspects();
    host.recordCrash("s0", "1", [inFlight("x")], 0);
    expect(host.permissionFor("x", 0).kind).to.equal("wait");
    expect(host.permissionFor("a", 0).kind).to.equal("clear");
  });

  it("sends the reports of a failed exchange again", () => {
    const host = new suspicion.HostSuspects();
    host.recordCrash("s0", "1", [inFlight("x")], 0);
    host.requeueReports(host.takeReports());
    expect(host.takeReports().map(({ kind }) => kind))
      .to.deep.equal(["death"]);
  });

  it("admits a suspect for one run only", () => {
    const fleet = new FleetSimulation();
    fleet.crash("s0", ["x"]);
    const [host] = fleet.hosts;
    fleet.exchange();
    host!.requestAdmission("x", SERVERS, RUN_MS);
    fleet.exchange();
    expect(host!.permissionFor("x", fleet.now).kind).to.equal("admitted");
    host!.recordStart("x");
    fleet.exchange();
    expect(host!.permissionFor("x", fleet.now).kind).to.equal("wait");
    host!.recordEnd("x", false);
    expect(host!.permissionFor("x", fleet.now).kind).to.equal("wait");
  });

  it("admits a suspect elsewhere after an admission is handed back", () => {
    const fleet = new FleetSimulation();
    fleet.crash("s0", ["a"]);
    fleet.exchange();
    const host = fleet.hosts[0]!;
    host.requestAdmission("a", ["s0"], RUN_MS);
    fleet.exchange();
    const admitted = { kind: "admitted", server: "s0" };
    expect(host.permissionFor("a", fleet.now)).to.deep.equal(admitted);
    host.returnAdmission("a");
    expect(host.permissionFor("a", fleet.now).kind).to.equal("wait");
    host.requestAdmission("a", ["s1"], RUN_MS);
    fleet.exchange();
    expect(host.permissionFor("a", fleet.now))
      .to.deep.equal({ kind: "admitted", server: "s1" });
  });

  it("expires the admission of a host that has disappeared", () => {
    const tracker = new suspicion.SuspectTracker();
    const waiting = {
      kind: "waiting" as const,
      fingerprint: "x",
      servers: SERVERS,
      runMs: RUN_MS,
    };
    const crash = {
      kind: "death" as const,
      server: "s0",
      incarnation: "1",
      inFlight: [inFlight("x")],
    };
    tracker.exchange("h0", [crash, waiting], 0);
    const kindAt = (now: number) =>
      tracker.exchange("h1", [waiting], now)[0]!.kind;
    expect(kindAt(RUN_MS)).to.equal("suspect");
    expect(kindAt(RUN_MS + 1000)).to.equal("admitted");
  });

  it("expires suspects and limits their number", () => {
    const tracker = new suspicion.SuspectTracker();
    for (let i = 0; i < 3 * suspicion.MAX_CRASHES; i++) {
      const requests = Array.from(
        { length: 20 },
        (_, index) => inFlight(`${i}-${index}`),
      );
      tracker.exchange("h0", [{
        kind: "death",
        server: "s0",
        incarnation: `${i}`,
        inFlight: requests,
      }], i);
    }
    const count = (now: number) => tracker.exchange("h1", [], now).length;
    expect(count(1000)).to.equal(suspicion.MAX_SUSPECTS);
    expect(count(1000 + suspicion.SUSPECT_TTL_MS)).to.equal(0);
  });
});
