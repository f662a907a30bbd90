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
class Scene {
  readonly ledger = new suspicion.SuspectTracker();
  readonly watches = HOSTS.map(() => new suspicion.HostSuspects());
  readonly quarantined = new Set<string>();
  readonly answered: string[] = [];
  now = 0;
  deaths = 0;
  /** Waiting requests, each with the host that it came to. */
  waiting: { fingerprint: string; host: number }[] = [];

  exchange(): void {
    this.watches.forEach((watch, index) => {
      const reports = watch.takeReports();
      const watched = this.ledger.exchange(HOSTS[index]!, reports, this.now);
      watch.update(watched, this.now);
    });
    for (const { fingerprint } of this.ledger.crashingRequests(this.now)) {
      this.quarantined.add(fingerprint);
      this.ledger.forget(fingerprint);
    }
    this.now += EXCHANGE_MS;
  }

  /** Crashes a server with requests in flight, each of them from one host. */
  crash(server: string, fingerprints: readonly string[]): void {
    this.deaths++;
    fingerprints.forEach((fingerprint, index) => {
      const host = index % HOSTS.length;
      const requests = [inFlight(fingerprint)];
      const incarnation = `${this.deaths}`;
      this.watches[host]!.recordCrash(server, incarnation, requests, this.now);
      this.waiting.push({ fingerprint, host });
    });
  }

  /** Runs what waits wherever it is cleared; some requests crash the server. */
  dispatch(crashing: ReadonlySet<string>): void {
    const placed = new Map<string, { fingerprint: string; host: number }[]>();
    const left: typeof this.waiting = [];
    for (const request of this.waiting) {
      const { fingerprint, host } = request;
      const watch = this.watches[host]!;
      const clearance = watch.permissionFor(fingerprint, this.now);
      if (this.quarantined.has(fingerprint)) {
        watch.recordEnd(fingerprint, false);
      } else if (clearance.kind === "wait") {
        watch.requestAdmission(fingerprint, SERVERS, RUN_MS);
        left.push(request);
      } else {
        const server = clearance.kind === "clear" ? "s0" : clearance.server;
        watch.recordStart(fingerprint);
        placed.set(server, [...(placed.get(server) ?? []), request]);
      }
    }
    this.waiting = left;
    this.now += EXCHANGE_MS;
    placed.forEach((requests, server) => {
      const names = requests.map(({ fingerprint }) => fingerprint);
      const suspects = this.#suspectsAmong(names);
      expect(suspects, `suspects on ${server}`).to.be.at.most(1);
      const crashes = names.some((name) => crashing.has(name));
      if (crashes) {
        this.crash(server, names);
      }
      for (const { fingerprint, host } of requests) {
        this.watches[host]!.recordEnd(fingerprint, !crashes);
        if (!crashes) {
          this.answered.push(fingerprint);
        }
      }
    });
  }

  #suspectsAmong(names: readonly string[]): number {
    const watched = this.ledger.exchange("observer", [], this.now)
      .map(({ fingerprint }) => fingerprint);
    return names.filter((name) => watched.includes(name)).length;
  }
}

describe("crash-inducing requests", () => {
  const cases = [
    { name: "alone", first: ["x"], crashing: ["x"] },
    {
      name: "among innocents",
      first: ["a", "x", "b", "c", "d", "e"],
      crashing: ["x"],
    },
    {
      name: "two of them in one crash",
      first: ["a", "x", "y", "b"],
      crashing: ["x", "y"],
    },
    { name: "none: the host was reclaimed", first: ["a", "b"], crashing: [] },
  ];
  for (const { name, first, crashing } of cases) {
    it(`${name}: quarantined, and the innocents served`, () => {
      const scene = new Scene();
      scene.crash("s0", first);
      for (let round = 0; round < 60; round++) {
        scene.exchange();
        scene.dispatch(new Set(crashing));
      }
      expect([...scene.quarantined].sort()).to.deep.equal(crashing);
      const innocents = first.filter((one) => !crashing.includes(one));
      expect([...new Set(scene.answered)].sort()).to.deep.equal(innocents);
      expect(scene.deaths).to.be.at.most(1 + crashing.length);
      expect(scene.waiting).to.have.length(0);
    });
  }

  it("one death reported by many hosts is one death", () => {
    const scene = new Scene();
    for (const watch of scene.watches) {
      watch.recordCrash("s0", "1", [inFlight("x")], 0);
    }
    for (let round = 0; round < 30; round++) {
      scene.exchange();
    }
    expect(scene.quarantined.size).to.equal(0);
  });

  it("a host treats its own as suspects before the leader answers", () => {
    const watch = new suspicion.HostSuspects();
    watch.recordCrash("s0", "1", [inFlight("x")], 0);
    expect(watch.permissionFor("x", 0).kind).to.equal("wait");
    expect(watch.permissionFor("a", 0).kind).to.equal("clear");
  });

  it("reports whose exchange failed are sent again", () => {
    const watch = new suspicion.HostSuspects();
    watch.recordCrash("s0", "1", [inFlight("x")], 0);
    watch.requeueReports(watch.takeReports());
    expect(watch.takeReports().map(({ kind }) => kind))
      .to.deep.equal(["death"]);
  });

  it("an admission serves for one run", () => {
    const scene = new Scene();
    scene.crash("s0", ["x"]);
    const [watch] = scene.watches;
    scene.exchange();
    watch!.requestAdmission("x", SERVERS, RUN_MS);
    scene.exchange();
    expect(watch!.permissionFor("x", scene.now).kind).to.equal("admitted");
    watch!.recordStart("x");
    scene.exchange();
    expect(watch!.permissionFor("x", scene.now).kind).to.equal("wait");
    watch!.recordEnd("x", false);
    expect(watch!.permissionFor("x", scene.now).kind).to.equal("wait");
  });

  it("an admission that is handed back makes place for another", () => {
    const scene = new Scene();
    scene.crash("s0", ["a"]);
    scene.exchange();
    const watch = scene.watches[0]!;
    watch.requestAdmission("a", ["s0"], RUN_MS);
    scene.exchange();
    const admitted = { kind: "admitted", server: "s0" };
    expect(watch.permissionFor("a", scene.now)).to.deep.equal(admitted);
    watch.returnAdmission("a");
    expect(watch.permissionFor("a", scene.now).kind).to.equal("wait");
    watch.requestAdmission("a", ["s1"], RUN_MS);
    scene.exchange();
    expect(watch.permissionFor("a", scene.now))
      .to.deep.equal({ kind: "admitted", server: "s1" });
  });

  it("the admission of a host that vanished ends with its time", () => {
    const ledger = new suspicion.SuspectTracker();
    const waiting = {
      kind: "waiting" as const,
      fingerprint: "x",
      servers: SERVERS,
      runMs: RUN_MS,
    };
    const death = {
      kind: "death" as const,
      server: "s0",
      incarnation: "1",
      inFlight: [inFlight("x")],
    };
    ledger.exchange("h0", [death, waiting], 0);
    const kindAt = (now: number) =>
      ledger.exchange("h1", [waiting], now)[0]!.kind;
    expect(kindAt(RUN_MS)).to.equal("suspect");
    expect(kindAt(RUN_MS + 1000)).to.equal("admitted");
  });

  it("suspicion expires, and its memory is bounded", () => {
    const ledger = new suspicion.SuspectTracker();
    for (let i = 0; i < 3 * suspicion.MAX_CRASHES; i++) {
      const requests = Array.from(
        { length: 20 },
        (_, index) => inFlight(`${i}-${index}`),
      );
      ledger.exchange("h0", [{
        kind: "death",
        server: "s0",
        incarnation: `${i}`,
        inFlight: requests,
      }], i);
    }
    const count = (now: number) => ledger.exchange("h1", [], now).length;
    expect(count(1000)).to.equal(suspicion.MAX_SUSPECTS);
    expect(count(1000 + suspicion.SUSPECT_TTL_MS)).to.equal(0);
  });
});
