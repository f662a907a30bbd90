import { expect } from "chai";
import process from "node:process";
import * as serverTable from "../../src/control/server_table.ts";
import * as announcementSimulation from "./announcement_simulation.ts";

/** `HEARTBEAT_SEED` and `HEARTBEAT_RUNS` set the first seed and the number of runs. */
const FIRST_SEED = Number(process.env["HEARTBEAT_SEED"] ?? 1);
const RUNS = Number(process.env["HEARTBEAT_RUNS"] ?? 60);
const STEPS = 400;
/** Interval between announcements of a server, in milliseconds. */
const INTERVAL_MS = 1_000;
/** Maximum delivery delay of a message, in milliseconds. */
const MAX_DELIVERY_DELAY_MS = 700;

interface Case {
  readonly name: string;
  run(
    simulation: announcementSimulation.AnnouncementSimulation,
    server: announcementSimulation.SimulatedServer,
  ): void;
  /** Expected number of full announcements after the first one. */
  readonly expectedFull: number;
}

const CASES: readonly Case[] = [
  {
    name: "only request counts change",
    expectedFull: 0,
    run(simulation, server) {
      for (const count of [3, 0, 7]) {
        server.setRunning(count);
        announceAndDeliver(simulation, server);
      }
    },
  },
  {
    name: "a model is loaded and unloaded again",
    expectedFull: 2,
    run(simulation, server) {
      server.setLoadedModels(1);
      announceAndDeliver(simulation, server);
      server.setLoadedModels(0);
      announceAndDeliver(simulation, server);
      announceAndDeliver(simulation, server);
    },
  },
  {
    name: "a heartbeat is lost",
    expectedFull: 0,
    run(simulation, server) {
      simulation.announce(server, 0);
      simulation.drop(simulation.send(0, "heartbeats"));
      announceAndDeliver(simulation, server);
    },
  },
  {
    name: "a heartbeat is resent after its answer is lost",
    expectedFull: 0,
    run(simulation, server) {
      simulation.announce(server, 0);
      simulation.deliver(simulation.send(0, "heartbeats"), false);
      simulation.deliverAll(0);
    },
  },
  {
    name: "new content is resent in full after its answer is lost",
    expectedFull: 2,
    run(simulation, server) {
      server.setLoadedModels(1);
      simulation.announce(server, 0);
      simulation.deliver(simulation.send(0, "full"), false);
      announceAndDeliver(simulation, server);
    },
  },
  {
    name: "new content is resent in full after its message is lost",
    expectedFull: 2,
    run(simulation, server) {
      server.setLoadedModels(1);
      simulation.announce(server, 0);
      simulation.drop(simulation.send(0, "full"));
      announceAndDeliver(simulation, server);
    },
  },
  {
    name: "a heartbeat arrives after a later full announcement",
    expectedFull: 1,
    run(simulation, server) {
      simulation.announce(server, 0);
      const delayed = simulation.send(0, "heartbeats");
      server.setLoadedModels(1);
      announceAndDeliver(simulation, server);
      // The leader asks for the content again, although it already has it.
      const { buffer } = delayed!;
      simulation.deliver(delayed);
      expect(buffer.takeFull(simulation.now)).to.have.length(1);
    },
  },
  {
    name: "a full announcement arrives after a later one",
    expectedFull: 2,
    run(simulation, server) {
      server.setLoadedModels(1);
      simulation.announce(server, 0);
      const delayed = simulation.send(0, "full");
      server.setLoadedModels(0);
      simulation.announce(server, 0);
      simulation.deliver(simulation.send(0, "full"));
      simulation.deliver(delayed);
    },
  },
  {
    name: "a heartbeat of an earlier incarnation arrives late",
    expectedFull: 2,
    run(simulation, server) {
      simulation.announce(server, 0);
      const delayed = simulation.send(0, "heartbeats");
      server.restart();
      simulation.now += 2_500;
      simulation.announce(server, 1);
      simulation.deliverAll(1);
      simulation.now += 2_500;
      announceAndDeliver(simulation, server, 1);
      simulation.deliver(delayed);
      // The announcement buffered on the first host is too old to be forwarded.
      simulation.deliverAll(0);
      announceAndDeliver(simulation, server, 1);
      server.setLoadedModels(1);
      announceAndDeliver(simulation, server, 1);
    },
  },
  {
    name: "a heartbeat arrives late from the previous host of a server",
    expectedFull: 2,
    run(simulation, server) {
      simulation.announce(server, 0);
      const delayed = simulation.send(0, "heartbeats");
      server.setLoadedModels(1);
      announceAndDeliver(simulation, server, 1);
      simulation.deliver(delayed);
      simulation.deliverAll(0);
    },
  },
  {
    name: "a server returns to a host with changed content",
    expectedFull: 2,
    run(simulation, server) {
      server.setLoadedModels(1);
      announceAndDeliver(simulation, server, 1);
      server.setLoadedModels(0);
      announceAndDeliver(simulation, server, 0);
    },
  },
  {
    name: "a server alternates between two hosts",
    expectedFull: 1,
    run(simulation, server) {
      for (const host of [1, 0, 1, 0]) {
        announceAndDeliver(simulation, server, host);
      }
    },
  },
  {
    name: "a server alternates between two hosts and changes its content",
    expectedFull: 3,
    run(simulation, server) {
      announceAndDeliver(simulation, server, 1);
      server.setLoadedModels(1);
      announceAndDeliver(simulation, server, 0);
      announceAndDeliver(simulation, server, 1);
      announceAndDeliver(simulation, server, 0);
    },
  },
  {
    name: "a new leader has no content",
    expectedFull: 1,
    run(simulation, server) {
      simulation.changeLeader();
      announceAndDeliver(simulation, server);
      announceAndDeliver(simulation, server);
    },
  },
  {
    name: "the leader changes while a heartbeat is in flight",
    expectedFull: 1,
    run(simulation, server) {
      simulation.announce(server, 0);
      const delayed = simulation.send(0, "heartbeats");
      simulation.changeLeader();
      simulation.deliver(delayed);
      simulation.deliverAll(0);
    },
  },
  {
    name: "a former leader returns with outdated content",
    expectedFull: 2,
    run(simulation, server) {
      const { leader, reference } = simulation;
      simulation.changeLeader();
      server.setLoadedModels(1);
      announceAndDeliver(simulation, server);
      simulation.leader = leader;
      simulation.reference = reference;
      announceAndDeliver(simulation, server);
    },
  },
  {
    name: "a host restarts",
    expectedFull: 1,
    run(simulation, server) {
      simulation.restartHost(0);
      announceAndDeliver(simulation, server);
      announceAndDeliver(simulation, server);
    },
  },
];

/**
 * Advances the clock by one interval, sends an announcement to a host and
 * delivers all its messages.
 */
function announceAndDeliver(
  simulation: announcementSimulation.AnnouncementSimulation,
  server: announcementSimulation.SimulatedServer,
  host = 0,
): void {
  simulation.now += INTERVAL_MS;
  simulation.announce(server, host);
  simulation.deliverAll(host);
}

describe("announcement forwarding", () => {
  for (const testCase of CASES) {
    it(`${testCase.name}: the leader has the latest content`, () => {
      const simulation = new announcementSimulation.AnnouncementSimulation();
      const server = new announcementSimulation.SimulatedServer("engine-1");
      announceAndDeliver(simulation, server);
      const before = simulation.sentCounts.full;
      testCase.run(simulation, server);
      expect(simulation.findDifference()).to.equal(undefined);
      expect(simulation.sentCounts.full - before).to.equal(
        testCase.expectedFull,
      );
      const known = simulation.leader.placement.latestAnnouncement(server.id);
      const next = server.announce();
      expect({ ...known, sequence: next.sequence }).to.deep.equal(next);
      expect(known?.sequence).to.equal(next.sequence - 1);
    });
  }

  it("a delayed heartbeat does not revive a server that was marked down", () => {
    const simulation = new announcementSimulation.AnnouncementSimulation();
    const server = new announcementSimulation.SimulatedServer("engine-1");
    announceAndDeliver(simulation, server);
    simulation.announce(server, 0);
    simulation.now += 500;
    const { placement } = simulation.leader;
    placement.markDown(server.id, "i1", simulation.now);
    simulation.now += 300;
    simulation.deliverAll(0);
    expect(simulation.leader.isUsable(server.id, simulation.now)).to.equal(
      false,
    );
    announceAndDeliver(simulation, server);
    expect(simulation.leader.isUsable(server.id, simulation.now)).to.equal(
      true,
    );
  });

  it("a delayed heartbeat does not extend the life of a silent server", () => {
    const simulation = new announcementSimulation.AnnouncementSimulation();
    const server = new announcementSimulation.SimulatedServer("engine-1");
    announceAndDeliver(simulation, server);
    simulation.now += INTERVAL_MS;
    simulation.announce(server, 0);
    const lastAt = simulation.now;
    simulation.now += INTERVAL_MS;
    simulation.deliverAll(0);
    const deadAt = lastAt + serverTable.SERVER_SILENT_MS;
    expect(simulation.leader.isUsable(server.id, deadAt - 1)).to.equal(true);
    expect(simulation.leader.isUsable(server.id, deadAt)).to.equal(false);
  });

  it("an announcement that was buffered for too long is not forwarded", () => {
    const simulation = new announcementSimulation.AnnouncementSimulation();
    const server = new announcementSimulation.SimulatedServer("engine-1");
    announceAndDeliver(simulation, server);
    simulation.announce(server, 0);
    simulation.now += 2_000;
    expect(simulation.send(0, "heartbeats")).to.equal(undefined);
  });

  it("a heartbeat is urgent if nothing of the server was forwarded for three intervals", () => {
    const simulation = new announcementSimulation.AnnouncementSimulation();
    const server = new announcementSimulation.SimulatedServer("engine-1");
    announceAndDeliver(simulation, server);
    simulation.now += INTERVAL_MS;
    const usual = simulation.announce(server, 0);
    expect(usual).to.deep.equal({ kind: "heartbeat", isUrgent: false });
    simulation.deliverAll(0);
    simulation.now += 3 * INTERVAL_MS;
    const urgent = simulation.announce(server, 0);
    expect(urgent).to.deep.equal({ kind: "heartbeat", isUrgent: true });
  });

  it("an announcement that just missed an exchange does not make the next one urgent", () => {
    const simulation = new announcementSimulation.AnnouncementSimulation();
    const server = new announcementSimulation.SimulatedServer("engine-1");
    announceAndDeliver(simulation, server);
    for (const isUrgent of [false, false, true]) {
      simulation.now += INTERVAL_MS;
      expect(simulation.announce(server, 0)).to.deep.include({ isUrgent });
    }
  });

  it(`matches the reference leader under random faults (${RUNS} seeds from ${FIRST_SEED})`, () => {
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      expect(findViolation(seed) ?? "none", `seed ${seed}`).to.equal("none");
    }
  });
});

/** Runs a random simulation; returns the first violation, if any. */
function findViolation(seed: number): string | undefined {
  const nextRandom = createRandom(seed);
  const below = (limit: number) => Math.floor(nextRandom() * limit);
  const simulation = new announcementSimulation.AnnouncementSimulation(3);
  const servers = ["a", "b", "c"].map((id) =>
    new announcementSimulation.SimulatedServer(id)
  );
  const hostOfServer = servers.map(() => below(3));
  let inFlight: {
    message: announcementSimulation.Message;
    deliverAtMs: number;
  }[] = [];
  const enqueue = (message: announcementSimulation.Message | undefined) => {
    if (message === undefined) return;
    inFlight.push({
      message,
      deliverAtMs: simulation.now + below(MAX_DELIVERY_DELAY_MS),
    });
  };
  for (let count = 0; count < STEPS; count++) {
    simulation.now += 10 + below(150);
    const at = below(servers.length);
    const server = servers[at]!;
    switch (below(12)) {
      case 0:
        server.setLoadedModels(below(3));
        break;
      case 1:
        hostOfServer[at] = below(3);
        break;
      case 2:
        if (below(8) === 0) server.restart();
        break;
      case 3:
        if (below(8) === 0) simulation.changeLeader();
        break;
      case 4:
        if (below(8) === 0) simulation.restartHost(below(3));
        break;
      case 5:
      case 6:
        enqueue(simulation.send(below(3), "heartbeats"));
        break;
      default:
        server.setRunning(below(5));
        if (simulation.announce(server, hostOfServer[at]!).kind === "full") {
          enqueue(simulation.send(hostOfServer[at]!, "full"));
        }
    }
    for (const { message, deliverAtMs } of inFlight) {
      if (deliverAtMs > simulation.now) continue;
      const outcome = below(10);
      if (outcome === 0) simulation.drop(message);
      else simulation.deliver(message, outcome !== 1);
    }
    inFlight = inFlight.filter(({ deliverAtMs }) =>
      deliverAtMs > simulation.now
    );
    const violation = simulation.findDifference() ??
      findLateServer(simulation, servers);
    if (violation !== undefined) return violation;
  }
  return undefined;
}

/**
 * Finds a server that the leader considers heard from later than its last
 * announcement can have arrived.
 */
function findLateServer(
  simulation: announcementSimulation.AnnouncementSimulation,
  servers: readonly announcementSimulation.SimulatedServer[],
): string | undefined {
  for (
    const { announcement, lastSeenMs: heardAtMs } of simulation.leader.placement
      .servers()
  ) {
    const { receivedAt } = servers.find(({ id }) => id === announcement.id)!;
    // The clock advances in steps, which add to the delivery delay.
    if (heardAtMs <= receivedAt + MAX_DELIVERY_DELAY_MS + 160) continue;
    return `${announcement.id} heard at ${heardAtMs}, received at ${receivedAt}`;
  }
  return undefined;
}

/** Creates a seeded generator of numbers from 0 (inclusive) to 1 (exclusive). */
function createRandom(seed: number): () => number {
  let state = seed * 7_919 + 1;
  return () => {
    state = (Math.imul(state, 1_103_515_245) + 12_345) & 0x7fffffff;
    return state / 0x80000000;
  };
}
