import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import type * as fleetCoordinator from "../../src/gateway/control/fleet_coordinator.ts";
import * as coordinating from "./coordinating.ts";
import * as fixtures from "./fixtures.ts";

const END = { kind: "ended", id: "s1", born: 1 } as const;
const COPY = {
  term: 1,
  revision: 5,
  servers: [{ record: fixtures.serverRecord("s1"), revision: 5 }],
};

describe("the end of a server", () => {
  let state: core.gateway.GatewayState;
  let commands: gateway.Command[];
  let commit: (command: gateway.Command) => Promise<unknown>;

  beforeEach(() => {
    state = coordinating.createState();
    commands = [];
    commit = (command) => {
      commands.push(command);
      state.apply(command);
      return Promise.resolve();
    };
  });

  function createLeader(
    term: number,
    known?: core.gateway.ServerListCopy,
  ): fleetCoordinator.FleetCoordinator {
    return coordinating.createCoordinator({
      term,
      known,
      state: () => state,
      commit: (command) => commit(command),
    });
  }

  async function stateOf(
    leader: fleetCoordinator.FleetCoordinator,
  ): Promise<string | undefined> {
    const { servers } = await leader.watch({
      host: "observer",
      term: 0,
      revision: 0,
      configuration: 1,
    });
    return servers.find(({ id }) => id === "s1")?.state;
  }

  /** Tells a leader of the server and of its end, and ends its term. */
  async function endAtFirstLeader(): Promise<void> {
    using leader = createLeader(1);
    leader.handleHeartbeat({
      kind: "heartbeat",
      heartbeat: fixtures.heartbeat("s1"),
    });
    await leader.handleUpdate(END);
  }

  // It was known to the leader alone, and gone with it.
  it("is known to the next leader, whoever was told of it", async () => {
    await endAtFirstLeader();
    using second = createLeader(2, COPY);
    expect(await stateOf(second)).to.equal("ended");
    second.handleHeartbeat({
      kind: "heartbeat",
      heartbeat: fixtures.heartbeat("s1", { sequence: 9 }),
    });
    expect(await stateOf(second)).to.equal("ended");
    second.handleHeartbeat({
      kind: "heartbeat",
      heartbeat: fixtures.heartbeat("s1", { born: 2 }),
    });
    expect(await stateOf(second)).to.equal("ready");
  });

  it("is known to a leader that hears of the server from a host", async () => {
    await endAtFirstLeader();
    using second = createLeader(2);
    await second.report(
      fixtures.report("h1", { servers: [fixtures.serverRecord("s1")] }),
    );
    expect(await stateOf(second)).to.equal("ended");
  });

  it("is committed once, however often it is sent", async () => {
    using leader = createLeader(1, COPY);
    await leader.handleUpdate(END);
    await leader.handleUpdate(END);
    const ends = commands.filter(({ kind }) => kind === "end-server");
    expect(ends).to.have.length(1);
  });

  it("is not committed for a server whose starts can't be told apart", async () => {
    using leader = createLeader(1, COPY);
    await leader.handleUpdate({ ...END, born: 0 });
    expect(commands.filter(({ kind }) => kind === "end-server"))
      .to.deep.equal([]);
  });

  it("is not acknowledged if it is not committed", async () => {
    using leader = createLeader(1, COPY);
    commit = () => Promise.reject(new Error("no quorum"));
    const acknowledged = await leader.handleUpdate(END)
      .then(() => true, () => false);
    expect(acknowledged).to.equal(false);
    expect(await stateOf(leader)).to.equal("ended");
  });

  it("is kept in snapshots, for a bounded number of servers", () => {
    for (let index = 0; index < 5_000; index += 1) {
      state.apply({ kind: "end-server", id: `x${index}`, born: 7 });
    }
    const restored = core.gateway.GatewayState.fromSnapshot(state.toSnapshot());
    expect(restored.endedServers).to.have.length(4_096);
    expect(restored.hasEnded({ id: "x4999", born: 7 })).to.equal(true);
    expect(restored.hasEnded({ id: "x4999", born: 8 })).to.equal(false);
    expect(restored.hasEnded({ id: "x0", born: 7 })).to.equal(false);
  });
});
