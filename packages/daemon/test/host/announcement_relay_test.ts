import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as v from "valibot";
import * as host from "../../src/host/mod.ts";
import * as simulation from "./announcement_simulation.ts";

type Exchange = v.InferOutput<typeof protocol.control.ExchangeRequest>;

/** A leader that keeps what it is sent, as it arrives. */
class FakeLeader {
  readonly exchanges: Exchange[] = [];
  readonly announced: protocol.control.RelayedAnnouncement[][] = [];
  unrecognized: string[] = [];
  /** Calls that fail before one is answered. */
  failures = 0;

  call(method: string, params: object | (() => object)): Promise<unknown> {
    if (this.failures > 0) {
      this.failures--;
      return Promise.reject(new Error("no leader"));
    }
    const made = typeof params === "function" ? params() : params;
    const sent = JSON.parse(JSON.stringify(made));
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

  /** Heartbeats of all exchanges. */
  get heartbeats(): protocol.control.ServerHeartbeat[] {
    return this.exchanges.flatMap(({ heartbeats }) => heartbeats);
  }
}

/** A relay and the exchanges of a host with a fake leader. */
class Host implements Disposable {
  readonly leader = new FakeLeader();
  readonly relay: host.AnnouncementRelay;
  readonly exchanger: host.Exchanger;
  readonly server = new simulation.Server("engine-1");
  requested = 0;

  constructor() {
    const { leader } = this;
    this.relay = new host.AnnouncementRelay({
      leader,
      requestExchange: () => this.requested++,
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

  /** Announces the server and waits until the leader has it in full. */
  async introduce(): Promise<void> {
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
  it("sends news of several servers in one message", async () => {
    using own = new Host();
    own.relay.add(new simulation.Server("engine-2").announce());
    await own.introduce();
    const ids = own.leader.announced[0]!.map(({ id }) => id);
    expect(ids).to.deep.equal(["engine-2", "engine-1"]);
  });

  it("sends what is no news with the next exchange", async () => {
    using own = new Host();
    await own.introduce();
    own.server.run(3);
    own.announce();
    expect(own.requested).to.equal(0);
    await own.exchanger.flush();
    const [heartbeat] = own.leader.heartbeats;
    expect(heartbeat).to.include({ id: "engine-1", sequence: 2, running: 3 });
    await own.exchanger.flush();
    expect(own.leader.heartbeats).to.have.length(1);
    expect(own.leader.announced).to.have.length(1);
  });

  it("sends in full at once what the leader does not know", async () => {
    using own = new Host();
    await own.introduce();
    own.announce();
    own.leader.unrecognized = ["engine-1", "unknown-server"];
    await own.exchanger.flush();
    const [, again] = own.leader.announced;
    expect(again?.map(({ sequence }) => sequence)).to.deep.equal([2]);
  });

  it("sends heartbeats again whose exchange failed", async () => {
    using own = new Host();
    await own.introduce();
    own.announce();
    own.leader.failures = 1;
    await own.exchanger.flush();
    own.announce();
    expect(own.requested, "asks for an exchange").to.equal(1);
    await own.exchanger.flush();
    const sequences = own.leader.heartbeats.map(({ sequence }) => sequence);
    expect(sequences).to.deep.equal([3]);
  });

  it("sends in full again what may not have arrived", async () => {
    using own = new Host();
    own.leader.failures = 1;
    own.announce();
    await wait.waitFor("the failure", () => own.leader.failures === 0);
    await own.introduce();
    expect(own.leader.announced[0]![0]!.sequence).to.equal(2);
  });
});
