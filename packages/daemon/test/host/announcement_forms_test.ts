import { expect } from "chai";
import process from "node:process";
import * as serverTable from "../../src/control/server_table.ts";
import * as simulation from "./announcement_simulation.ts";

/** `HEARTBEAT_SEED` and `HEARTBEAT_RUNS` choose other and longer runs. */
const FIRST_SEED = Number(process.env["HEARTBEAT_SEED"] ?? 1);
const RUNS = Number(process.env["HEARTBEAT_RUNS"] ?? 60);
const STEPS = 400;
/** Time between two announcements of a server, in milliseconds. */
const INTERVAL_MS = 1_000;
/** Longest time that a message is under way, in milliseconds. */
const TRANSIT_MS = 700;

interface Case {
  readonly name: string;
  run(world: simulation.World, server: simulation.Server): void;
  /** Announcements passed on in full, after the first one. */
  readonly full: number;
}

const CASES: readonly Case[] = [
  {
    name: "only counts change",
    full: 0,
    run(world, server) {
      for (const count of [3, 0, 7]) {
        server.run(count);
        step(world, server);
      }
    },
  },
  {
    name: "a model more, and the same set again",
    full: 2,
    run(world, server) {
      server.load(1);
      step(world, server);
      server.load(0);
      step(world, server);
      step(world, server);
    },
  },
  {
    name: "a lost heartbeat",
    full: 0,
    run(world, server) {
      world.announce(server, 0);
      world.lose(world.send(0, "heartbeats"));
      step(world, server);
    },
  },
  {
    name: "a heartbeat whose answer is lost comes again",
    full: 0,
    run(world, server) {
      world.announce(server, 0);
      world.deliver(world.send(0, "heartbeats"), false);
      world.settle(0);
    },
  },
  {
    name: "news whose answer is lost comes again in full",
    full: 2,
    run(world, server) {
      server.load(1);
      world.announce(server, 0);
      world.deliver(world.send(0, "full"), false);
      step(world, server);
    },
  },
  {
    name: "lost news comes again in full",
    full: 2,
    run(world, server) {
      server.load(1);
      world.announce(server, 0);
      world.lose(world.send(0, "full"));
      step(world, server);
    },
  },
  {
    name: "a heartbeat that is overtaken by news",
    full: 1,
    run(world, server) {
      world.announce(server, 0);
      const late = world.send(0, "heartbeats");
      server.load(1);
      step(world, server);
      // The host is asked again, and has what the leader knows already.
      const { book } = late!;
      world.deliver(late);
      expect(book.takeFull(world.now)).to.have.length(1);
    },
  },
  {
    name: "a heartbeat that overtakes the news before it",
    full: 2,
    run(world, server) {
      server.load(1);
      world.announce(server, 0);
      const late = world.send(0, "full");
      server.load(0);
      world.announce(server, 0);
      world.deliver(world.send(0, "full"));
      world.deliver(late);
    },
  },
  {
    name: "a heartbeat of an earlier incarnation",
    full: 2,
    run(world, server) {
      world.announce(server, 0);
      const late = world.send(0, "heartbeats");
      server.restart();
      world.now += 2_500;
      world.announce(server, 1);
      world.settle(1);
      world.now += 2_500;
      step(world, server, 1);
      world.deliver(late);
      // What the former host still has of it is too old to be passed on.
      world.settle(0);
      step(world, server, 1);
      server.load(1);
      step(world, server, 1);
    },
  },
  {
    name: "a heartbeat of the host that a server has left",
    full: 2,
    run(world, server) {
      world.announce(server, 0);
      const late = world.send(0, "heartbeats");
      server.load(1);
      step(world, server, 1);
      world.deliver(late);
      world.settle(0);
    },
  },
  {
    name: "a server that left a host and comes back changed",
    full: 2,
    run(world, server) {
      server.load(1);
      step(world, server, 1);
      server.load(0);
      step(world, server, 0);
    },
  },
  {
    name: "a server at two hosts by turns",
    full: 1,
    run(world, server) {
      for (const host of [1, 0, 1, 0]) step(world, server, host);
    },
  },
  {
    name: "a server at two hosts that changes at one of them",
    full: 3,
    run(world, server) {
      step(world, server, 1);
      server.load(1);
      step(world, server, 0);
      step(world, server, 1);
      step(world, server, 0);
    },
  },
  {
    name: "a leader that knows nothing",
    full: 1,
    run(world, server) {
      world.changeLeader();
      step(world, server);
      step(world, server);
    },
  },
  {
    name: "a change of the leader while a heartbeat is under way",
    full: 1,
    run(world, server) {
      world.announce(server, 0);
      const late = world.send(0, "heartbeats");
      world.changeLeader();
      world.deliver(late);
      world.settle(0);
    },
  },
  {
    name: "a leader that comes back with what it knew before",
    full: 2,
    run(world, server) {
      const { leader, reference } = world;
      world.changeLeader();
      server.load(1);
      step(world, server);
      world.leader = leader;
      world.reference = reference;
      step(world, server);
    },
  },
  {
    name: "a host that restarts",
    full: 1,
    run(world, server) {
      world.restartHost(0);
      step(world, server);
      step(world, server);
    },
  },
];

/** A second passes, a server announces itself, and all is passed on. */
function step(
  world: simulation.World,
  server: simulation.Server,
  host = 0,
): void {
  world.now += INTERVAL_MS;
  world.announce(server, host);
  world.settle(host);
}

describe("announcements passed on in full or as heartbeats", () => {
  for (const one of CASES) {
    it(`${one.name}: the leader knows the same`, () => {
      const world = new simulation.World();
      const server = new simulation.Server("engine-1");
      step(world, server);
      const before = world.passed.full;
      one.run(world, server);
      expect(world.difference()).to.equal(undefined);
      expect(world.passed.full - before).to.equal(one.full);
      const known = world.leader.placement.latestAnnouncement(server.id);
      const next = server.announce();
      expect({ ...known, sequence: next.sequence }).to.deep.equal(next);
      expect(known?.sequence).to.equal(next.sequence - 1);
    });
  }

  it("a held heartbeat does not revive a server that was found dead", () => {
    const world = new simulation.World();
    const server = new simulation.Server("engine-1");
    step(world, server);
    world.announce(server, 0);
    world.now += 500;
    const { placement } = world.leader;
    placement.markDown(server.id, "i1", world.now);
    world.now += 300;
    world.settle(0);
    expect(world.leader.isUsable(server.id, world.now)).to.equal(false);
    step(world, server);
    expect(world.leader.isUsable(server.id, world.now)).to.equal(true);
  });

  it("a held heartbeat does not make a silent server live longer", () => {
    const world = new simulation.World();
    const server = new simulation.Server("engine-1");
    step(world, server);
    world.now += INTERVAL_MS;
    world.announce(server, 0);
    const lastAt = world.now;
    world.now += INTERVAL_MS;
    world.settle(0);
    const deadAt = lastAt + serverTable.SERVER_SILENT_MS;
    expect(world.leader.isUsable(server.id, deadAt - 1)).to.equal(true);
    expect(world.leader.isUsable(server.id, deadAt)).to.equal(false);
  });

  it("what was held for too long is not passed on", () => {
    const world = new simulation.World();
    const server = new simulation.Server("engine-1");
    step(world, server);
    world.announce(server, 0);
    world.now += 2_000;
    expect(world.send(0, "heartbeats")).to.equal(undefined);
  });

  it("a server of which two announcements were lost is passed on at once", () => {
    const world = new simulation.World();
    const server = new simulation.Server("engine-1");
    step(world, server);
    world.now += INTERVAL_MS;
    const usual = world.announce(server, 0);
    expect(usual).to.deep.equal({ kind: "heartbeat", isUrgent: false });
    world.settle(0);
    world.now += 3 * INTERVAL_MS;
    const urgent = world.announce(server, 0);
    expect(urgent).to.deep.equal({ kind: "heartbeat", isUrgent: true });
  });

  it("an announcement that just missed the exchange makes none urgent", () => {
    const world = new simulation.World();
    const server = new simulation.Server("engine-1");
    step(world, server);
    for (const isUrgent of [false, false, true]) {
      world.now += INTERVAL_MS;
      expect(world.announce(server, 0)).to.deep.include({ isUrgent });
    }
  });

  it(`faults of all kinds at random (${RUNS} seeds from ${FIRST_SEED})`, () => {
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      expect(violationOf(seed) ?? "none", `seed ${seed}`).to.equal("none");
    }
  });
});

/** Runs a world at random; returns the first fault that the leader shows. */
function violationOf(seed: number): string | undefined {
  const chance = random(seed);
  const below = (limit: number) => Math.floor(chance() * limit);
  const world = new simulation.World(3);
  const servers = ["a", "b", "c"].map((id) => new simulation.Server(id));
  const homes = servers.map(() => below(3));
  let underWay: { message: simulation.Message; untilMs: number }[] = [];
  const post = (message: simulation.Message | undefined) => {
    if (message === undefined) return;
    underWay.push({ message, untilMs: world.now + below(TRANSIT_MS) });
  };
  for (let count = 0; count < STEPS; count++) {
    world.now += 10 + below(150);
    const at = below(servers.length);
    const server = servers[at]!;
    switch (below(12)) {
      case 0:
        server.load(below(3));
        break;
      case 1:
        homes[at] = below(3);
        break;
      case 2:
        if (below(8) === 0) server.restart();
        break;
      case 3:
        if (below(8) === 0) world.changeLeader();
        break;
      case 4:
        if (below(8) === 0) world.restartHost(below(3));
        break;
      case 5:
      case 6:
        post(world.send(below(3), "heartbeats"));
        break;
      default:
        server.run(below(5));
        if (world.announce(server, homes[at]!).kind === "full") {
          post(world.send(homes[at]!, "full"));
        }
    }
    for (const { message, untilMs } of underWay) {
      if (untilMs > world.now) continue;
      const fate = below(10);
      if (fate === 0) world.lose(message);
      else world.deliver(message, fate !== 1);
    }
    underWay = underWay.filter(({ untilMs }) => untilMs > world.now);
    const found = world.difference() ?? lateDeath(world, servers);
    if (found !== undefined) return found;
  }
  return undefined;
}

/** A server that is heard later than its last announcement may have come. */
function lateDeath(
  world: simulation.World,
  servers: readonly simulation.Server[],
): string | undefined {
  for (
    const { announcement, lastSeenMs: heardMs } of world.leader.placement
      .servers()
  ) {
    const { receivedAt } = servers.find(({ id }) => id === announcement.id)!;
    // Steps of the clock add to the time under way.
    if (heardMs <= receivedAt + TRANSIT_MS + 160) continue;
    return `${announcement.id} heard at ${heardMs}, received at ${receivedAt}`;
  }
  return undefined;
}

/** A seeded generator of numbers from 0 to 1. */
function random(seed: number): () => number {
  let state = seed * 7_919 + 1;
  return () => {
    state = (Math.imul(state, 1_103_515_245) + 12_345) & 0x7fffffff;
    return state / 0x80000000;
  };
}
