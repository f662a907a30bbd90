import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as v from "valibot";
import * as host from "../../src/host/mod.ts";
import * as simulation from "./announcement_simulation.ts";

type Exchange = v.InferOutput<typeof protocol.control.ExchangeRequest>;

/** Leader that validates and records the requests that it receives. */
class FakeLeader {
  readonly exchanges: Exchange[] = [];
  readonly announced: protocol.control.RelayedAnnouncement[][] = [];
  unrecognized: string[] = [];
  /** Number of calls that fail before one succeeds. */
  failures = 0;

  call(method: string, params: object | (() => object)): Promise<unknown> {
    if (this.failures > 0) {
      this.failures--;
      return Promise.reject(new Error("no leader"));
    }
    const resolved = typeof params === "function" ? params() : params;
    const sent = JSON.parse(JSON.stringify(resolved));
    if (method === protocol.control.ANNOUNCE_METHOD) {
      const schema = protocol.control.AnnounceRequest;
      this.announced.push(v.parse(schema, sent).announcements);
      return Promise.resolve(null);
    }
    this.exchanges.push(v.parse(protocol.control.ExchangeRequest, sent));
    const { unrecognized } = this;
    this.unrecognized = [];
    return Promise.resolve({
      term: 1,
      viewIndex: 1,
      watched: [],
      assignments: [],
      cancellations: [],
      ...(unrecognized.length === 0 ? {} : { unrecognized }),
    });
  }

  /** The heartbeats of all exchanges. */
  get heartbeats(): protocol.control.ServerHeartbeat[] {
    return this.exchanges.flatMap(({ heartbeats }) => heartbeats);
  }
}

/** Announcement relay and exchanger of a host, connected to a fake leader. */
class TestHost implements Disposable {
  readonly leader = new FakeLeader();
  readonly relay: host.AnnouncementRelay;
  readonly exchanger: host.Exchanger;
  readonly server = new simulation.SimulatedServer("engine-1");
  requestedExchanges = 0;

  constructor() {
    const { leader } = this;
    this.relay = new host.AnnouncementRelay({
      leader,
      requestExchange: () => this.requestedExchanges++,
    });
    this.exchanger = new host.Exchanger({
      identity: { name: "h1", incarnation: "i1", failureDomain: "fd-1" },
      roles: ["entry"],
      leader,
      shares: new core.limits.HostShares("h1/i1"),
      state: new host.FleetState(),
      reporter: host.EMPTY_REPORTER,
      announcements: this.relay,
      isDraining: () => false,
    });
  }

  announce(): void {
    this.relay.add(this.server.announce());
  }

  /** Announces the server and waits until the leader has the full message. */
  async announceInFull(): Promise<void> {
    const { leader } = this;
    this.announce();
    await wait.waitFor("the announcement", () => leader.announced.length === 1);
  }

  [Symbol.dispose](): void {
    this.relay[Symbol.dispose]();
    this.exchanger[Symbol.dispose]();
  }
}

describe("announcement relay", () => {
  it("sends full announcements of several servers in one message", async () => {
    using testHost = new TestHost();
    testHost.relay.add(new simulation.SimulatedServer("engine-2").announce());
    await testHost.announceInFull();
    const ids = testHost.leader.announced[0]!.map(({ id }) => id);
    expect(ids).to.deep.equal(["engine-2", "engine-1"]);
  });

  it("sends unchanged content as a heartbeat in the next exchange", async () => {
    using testHost = new TestHost();
    await testHost.announceInFull();
    testHost.server.setRunning(3);
    testHost.announce();
    expect(testHost.requestedExchanges).to.equal(0);
    await testHost.exchanger.flush();
    const [heartbeat] = testHost.leader.heartbeats;
    expect(heartbeat).to.include({ id: "engine-1", sequence: 2, running: 3 });
    await testHost.exchanger.flush();
    expect(testHost.leader.heartbeats).to.have.length(1);
    expect(testHost.leader.announced).to.have.length(1);
  });

  it("sends content in full without delay if the leader does not know it", async () => {
    using testHost = new TestHost();
    await testHost.announceInFull();
    testHost.announce();
    testHost.leader.unrecognized = ["engine-1", "unknown-server"];
    await testHost.exchanger.flush();
    const [, again] = testHost.leader.announced;
    expect(again?.map(({ sequence }) => sequence)).to.deep.equal([2]);
  });

  it("resends heartbeats after a failed exchange", async () => {
    using testHost = new TestHost();
    await testHost.announceInFull();
    testHost.announce();
    testHost.leader.failures = 1;
    await testHost.exchanger.flush();
    testHost.announce();
    expect(testHost.requestedExchanges, "requested exchanges").to.equal(1);
    await testHost.exchanger.flush();
    const sequences = testHost.leader.heartbeats.map(({ sequence }) =>
      sequence
    );
    expect(sequences).to.deep.equal([3]);
  });

  it("sends an announcement in full again after a failed call", async () => {
    using testHost = new TestHost();
    testHost.leader.failures = 1;
    testHost.announce();
    await wait.waitFor("the failure", () => testHost.leader.failures === 0);
    await testHost.announceInFull();
    expect(testHost.leader.announced[0]![0]!.sequence).to.equal(2);
  });
});
