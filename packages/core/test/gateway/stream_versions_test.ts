import type { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import fastCheck from "fast-check";
import {
  GatewayState,
  inferOrigin,
  OwnStreams,
  StreamOrigins,
  VersionActivity,
} from "../../src/gateway/mod.ts";

const SERVICE = "advice";
const VERSIONS = ["v1", "v2", "v3"];
const HOSTS = 3;
const STEP_MS = 200;
const STREAM_MS = 30_000;

type Server = {
  readonly id: string;
  born: number;
  softwareVersion: string;
  isRunning: boolean;
};

type Stream = {
  readonly id: string;
  /** Versions of the servers that made its events. */
  readonly versions: Set<string>;
  /** Ids of the servers that made its events. */
  readonly servers: Set<string>;
  /** Whether one of these came back under its id with another version. */
  isUncertain: boolean;
  /** Whether the leader was told of it since it began. */
  isReported: boolean;
  /** Whether the service had one version only, at all times. */
  isInferable: boolean;
};

/** A leader's record of one term. */
class Leader {
  readonly term: number;
  readonly origins = new StreamOrigins();

  constructor(term: number) {
    this.term = term;
  }
}

/** An entry host: what it knows of the servers, and its streams. */
class Host {
  readonly servers = new Map<string, Server>();
  readonly streams: OwnStreams;
  mixedServices: readonly string[] = [];
  isInTouch = true;

  constructor() {
    this.streams = new OwnStreams({
      server: (id) => this.servers.get(id),
      isMixed: (service) => this.mixedServices.includes(service),
    });
  }

  /** Learns what the leader tells. */
  learn(servers: readonly Server[], { mixedServices }: GatewayState): void {
    for (const server of servers) this.servers.set(server.id, { ...server });
    this.mixedServices = mixedServices;
  }
}

/** Plays a fleet in which servers, hosts and leaders come and go. */
class Simulation {
  now = 0;
  leader = new Leader(1);
  /** The replicated state, which outlives the leaders. */
  readonly state = new GatewayState();
  readonly hosts = Array.from({ length: HOSTS }, () => new Host());
  readonly servers: Server[] = [];
  readonly streams: Stream[] = [];
  /** Resumptions that went on, and those that could have but did not. */
  continued = 0;
  readonly refusedWithoutNeed: string[] = [];

  /** Lets one event happen that two numbers select. */
  step(event: number, choice: number): void {
    this.now += STEP_MS;
    const host = this.hosts[choice % HOSTS];
    if (host === undefined) return;
    switch (event) {
      case 0:
        return this.#startServer(pick(VERSIONS, choice) ?? "v1");
      case 1:
        return this.#stopServer(choice);
      case 2:
        return this.#replaceServer(choice);
      case 3:
      case 4:
      case 5:
        return this.#begin(host);
      case 6:
      case 7:
        return this.#resume(pick(this.streams, choice), this.hosts, choice);
      case 8:
        return this.#report(host);
      case 9:
        return this.#restartHost(choice % HOSTS);
      case 10:
        return this.#setInTouch(host, !host.isInTouch);
      default:
        return this.#changeLeader();
    }
  }

  #startServer(softwareVersion: string): void {
    const id = `s${this.servers.length}`;
    const server = { id, born: this.now, softwareVersion, isRunning: true };
    this.servers.push(server);
    this.#announce(server);
  }

  #announce(server: Server): void {
    const { softwareVersion } = server;
    const kind = "add-software-version";
    this.state.apply({ kind, service: SERVICE, softwareVersion });
    for (const host of this.hosts.filter(({ isInTouch }) => isInTouch)) {
      host.learn([server], this.state);
    }
    for (const stream of this.streams) {
      stream.isInferable &&= !this.#isMixed();
    }
  }

  #isMixed(): boolean {
    return this.state.mixedServices.length > 0;
  }

  #stopServer(choice: number): void {
    const server = pick(this.servers, choice);
    if (server !== undefined) server.isRunning = false;
  }

  /** The server comes back under its id; hosts that are cut off miss it. */
  #replaceServer(choice: number): void {
    const server = pick(this.servers, choice);
    if (server === undefined) return;
    if (this.hosts.some(({ isInTouch }) => !isInTouch)) return;
    const softwareVersion = pick(VERSIONS, choice) ?? "v1";
    if (softwareVersion !== server.softwareVersion) {
      for (const stream of this.streams) {
        stream.isUncertain ||= stream.servers.has(server.id);
      }
    }
    server.born = this.now;
    server.softwareVersion = softwareVersion;
    server.isRunning = true;
    this.#announce(server);
  }

  #begin(host: Host): void {
    const server = this.#runningServers(host)[0];
    if (server === undefined) return;
    const { softwareVersion } = server;
    const id = `r${this.streams.length}`;
    const own = host.streams.begin({
      id,
      origin: { service: SERVICE, softwareVersion },
      isRouteSplit: false,
      expiresAt: this.now + STREAM_MS,
    }, this.now);
    host.streams.addServer(own, server);
    this.streams.push({
      id,
      versions: new Set([softwareVersion]),
      servers: new Set([server.id]),
      isUncertain: false,
      isReported: false,
      isInferable: !this.#isMixed(),
    });
  }

  /** Servers that a host may send to and that run, as it knows them. */
  #runningServers(host: Host): Server[] {
    return this.servers.filter((server) =>
      server.isRunning && host.servers.get(server.id)?.born === server.born
    );
  }

  #resume(
    stream: Stream | undefined,
    hosts: readonly Host[],
    choice: number,
  ): void {
    const host = pick(hosts, Math.floor(choice / 7));
    if (stream === undefined || host === undefined) return;
    const origin = this.#find(stream.id, host);
    const servers = this.#runningServers(host).filter(({ softwareVersion }) =>
      softwareVersion === origin?.softwareVersion
    );
    const [server] = servers;
    if (origin !== null && server !== undefined) {
      const own = host.streams.begin({
        id: stream.id,
        origin,
        isRouteSplit: false,
        expiresAt: this.now + STREAM_MS,
      }, this.now);
      host.streams.addServer(own, server);
      stream.versions.add(server.softwareVersion);
      stream.servers.add(server.id);
      this.continued += 1;
      return;
    }
    const possible = this.#runningServers(host).filter((one) =>
      stream.versions.has(one.softwareVersion)
    );
    const isKnown = !stream.isUncertain &&
      (stream.isReported || stream.isInferable);
    if (host.isInTouch && isKnown && possible.length >= 2) {
      this.refusedWithoutNeed.push(stream.id);
    }
  }

  #find(id: string, host: Host): gateway.StreamOrigin | null {
    const known = host.streams.find(id, this.now) ??
      (host.isInTouch
        ? this.leader.origins.find(id, this.now) ??
          inferOrigin([SERVICE], this.state)
        : null);
    return known?.softwareVersion === null ? null : known;
  }

  #report(host: Host): void {
    if (!host.isInTouch) return;
    const { origins, term } = this.leader;
    const reported = host.streams.collect(term, this.now);
    origins.record(reported, this.now);
    host.streams.acknowledge(reported, term);
    for (const { id, softwareVersion } of reported) {
      const stream = this.streams.find((one) => one.id === id);
      if (stream !== undefined) stream.isReported = softwareVersion !== null;
    }
  }

  /** A killed host is replaced by one that knows what the leader knows. */
  #restartHost(index: number): void {
    const host = new Host();
    this.hosts[index] = host;
    host.learn(this.servers, this.state);
  }

  #setInTouch(host: Host, isInTouch: boolean): void {
    host.isInTouch = isInTouch;
    if (!isInTouch) return;
    host.learn(this.servers, this.state);
    this.#report(host);
  }

  /** The next leader knows no more than the replicated state. */
  #changeLeader(): void {
    this.leader = new Leader(this.leader.term + 1);
    for (const stream of this.streams) stream.isReported = false;
  }
}

function pick<Item>(items: readonly Item[], choice: number): Item | undefined {
  return items[choice % Math.max(1, items.length)];
}

describe("streams of several software versions", () => {
  const EVENTS = fastCheck.array(
    fastCheck.tuple(fastCheck.nat(11), fastCheck.nat(10_000)),
    { minLength: 20, maxLength: 120 },
  );

  it("never hold two versions, and go on where their version is known", () => {
    let continued = 0;
    fastCheck.assert(
      fastCheck.property(EVENTS, (events) => {
        const simulation = new Simulation();
        simulation.step(0, 0);
        for (const [event, choice] of events) simulation.step(event, choice);
        continued += simulation.continued;
        const mixed = simulation.streams.filter((one) => one.versions.size > 1);
        expect(mixed.map(({ id }) => id)).to.deep.equal([]);
        expect(simulation.refusedWithoutNeed).to.deep.equal([]);
      }),
      { numRuns: 400 },
    );
    expect(continued).to.be.above(400);
  });

  it("can't be resumed once their server came back with another version", () => {
    const servers = new Map([
      ["s1", { id: "s1", born: 1, softwareVersion: "v1" }],
    ]);
    const streams = new OwnStreams({
      server: (id) => servers.get(id),
      isMixed: () => true,
    });
    const stream = streams.begin({
      id: "r1",
      origin: { service: SERVICE, softwareVersion: "v1" },
      isRouteSplit: false,
      expiresAt: 1_000,
    }, 0);
    streams.addServer(stream, { id: "s1", born: 1, softwareVersion: "v1" });
    const reported = streams.collect(1, 0);
    streams.acknowledge(reported, 1);
    servers.set("s1", { id: "s1", born: 2, softwareVersion: "v2" });
    expect(streams.find("r1", 0)?.softwareVersion).to.equal(null);
    expect(streams.collect(1, 0).map((one) => one.softwareVersion))
      .to.deep.equal([null]);
  });

  it("can't be resumed where two of different versions have the same id", () => {
    const streams = new OwnStreams({
      server: () => undefined,
      isMixed: () => true,
    });
    const begin = (softwareVersion: string) =>
      streams.begin({
        id: "r1",
        origin: { service: SERVICE, softwareVersion },
        isRouteSplit: false,
        expiresAt: 1_000,
      }, 0);
    const first = begin("v1");
    expect(begin("v1")).to.equal(first);
    streams.acknowledge(streams.collect(1, 0), 1);
    const second = begin("v2");
    // An answer under way goes on at the version of its own events.
    expect(streams.originOf(second).softwareVersion).to.equal("v2");
    expect(streams.find("r1", 0)?.softwareVersion).to.equal(null);
    expect(streams.collect(1, 0).map((one) => one.softwareVersion))
      .to.deep.equal([null]);
    // The end of either of them leaves the other one, which may be resumed.
    streams.end(second);
    streams.end(first);
    expect(streams.find("r1", 0)?.softwareVersion).to.equal(null);
  });

  it("are reported once a term, and only where the version can't be inferred", () => {
    let isMixed = false;
    const streams = new OwnStreams({
      server: () => undefined,
      isMixed: () => isMixed,
    });
    const origin = { service: SERVICE, softwareVersion: "v1" };
    const expiresAt = 1_000;
    streams.begin({ id: "r1", origin, isRouteSplit: false, expiresAt }, 0);
    expect(streams.hasNews(1, 0)).to.equal(false);
    isMixed = true;
    const reported = streams.collect(1, 0);
    expect(reported).to.deep.equal([
      { id: "r1", ...origin, remainingMs: 1_000 },
    ]);
    streams.acknowledge(reported, 1);
    expect(streams.hasNews(1, 0)).to.equal(false);
    expect(streams.hasNews(2, 0)).to.equal(true);
    expect(streams.hasNews(2, 1_000)).to.equal(false);
  });

  it("are not resumed when two hosts report different versions", () => {
    const origins = new StreamOrigins();
    const report = (softwareVersion: string) => [
      { id: "r1", service: SERVICE, softwareVersion, remainingMs: 100 },
    ];
    origins.record(report("v1"), 0);
    expect(origins.find("r1", 0)?.softwareVersion).to.equal("v1");
    origins.record(report("v2"), 0);
    expect(origins.find("r1", 0)?.softwareVersion).to.equal(null);
  });

  it("are forgotten after their callers' time, and beyond a limit", () => {
    const origins = new StreamOrigins();
    const stream = (id: string, remainingMs: number) => ({
      id,
      service: SERVICE,
      softwareVersion: "v1",
      remainingMs,
    });
    origins.record([stream("r1", 100)], 0);
    expect(origins.find("r1", 100)).to.equal(undefined);
    const many = Array.from(
      { length: 200_001 },
      (_, index) => stream(`x${index}`, 60_000),
    );
    origins.record(many, 1);
    expect(origins.size).to.equal(200_000);
    expect(origins.find("x0", 1)).to.equal(undefined);
    expect(origins.find("x200000", 1)?.softwareVersion).to.equal("v1");
  });

  it("have no inferred version where a route leads to two services", () => {
    const state = new GatewayState();
    const add = (softwareVersion: string) =>
      state.apply({
        kind: "add-software-version",
        service: SERVICE,
        softwareVersion,
      });
    add("v1");
    expect(inferOrigin([SERVICE], state)?.softwareVersion).to.equal("v1");
    expect(inferOrigin([SERVICE, "other"], state)).to.equal(null);
    expect(inferOrigin(["other"], state)).to.equal(null);
    add("v2");
    expect(inferOrigin([SERVICE], state)).to.equal(null);
    const restored = GatewayState.fromSnapshot(state.toSnapshot());
    expect(restored.mixedServices).to.deep.equal([SERVICE]);
    restored.apply({
      kind: "remove-software-version",
      service: SERVICE,
      softwareVersion: "v1",
    });
    expect(inferOrigin([SERVICE], restored)?.softwareVersion).to.equal("v2");
  });

  it("count for a version until its servers have been silent for long", () => {
    const activity = new VersionActivity(0);
    const versions = new Map([[SERVICE, ["v1", "v2"]]]);
    activity.record({ service: SERVICE, softwareVersion: "v2" }, 500_000);
    expect(activity.expired(versions, 600_000)).to.deep.equal([]);
    expect(activity.expired(versions, 600_001))
      .to.deep.equal([{ service: SERVICE, softwareVersion: "v1" }]);
  });
});
