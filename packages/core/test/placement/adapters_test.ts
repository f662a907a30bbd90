import { expect } from "chai";
import * as fakes from "./fake_server.ts";
import * as fixtures from "./fixtures.ts";
import * as worlds from "./simulation.ts";

const { GB } = fixtures;
const MODEL = "advice/a";
/** Orders of one round end before the next one: no answer is lost here. */
const ROUND_MS = 100;

/** Servers that hold a model of which many adapters are wanted at once. */
function worldOf(servers: number, adapters: number): worlds.World {
  const world = new worlds.World({
    seed: 11,
    faults: worlds.NO_FAULTS,
    servers: Array.from(
      { length: servers },
      (_, index) =>
        new fakes.FakeServer({
          id: `s${index}`,
          failureDomain: `d${index % 4}`,
          memoryBytes: 20 * GB,
          checksFencing: true,
        }),
    ),
    configuration: fixtures.configuration({ a: 1 }, {
      maxReplicas: servers,
      adapters: Array.from({ length: adapters }, (_, index) => ({
        name: `x${index}`,
        version: "1",
        bytes: GB / 10,
      })),
    }),
  });
  world.run(1_000);
  world.demand("h", MODEL, 4 * servers);
  const isHeld = () => world.servers.every((server) => server.has(MODEL, "1"));
  expect(world.runUntil(isHeld)).to.equal(true);
  return world;
}

function loaded(world: worlds.World): number {
  const held = world.servers.flatMap((server) => server.held());
  return new Set(held.map(({ model }) => model)).size - 1;
}

/** Most adapters that were ordered in one round. */
function mostInFlight(world: worlds.World, adapters: number): number {
  let most = 0;
  for (let round = 0; round < 100 && loaded(world) < adapters; round++) {
    const before = world.actions.length;
    world.run(world.nowMs + ROUND_MS);
    const ordered = world.actions.slice(before).filter((action) =>
      action.kind === "order" && action.order.kind === "load-adapter"
    );
    most = Math.max(most, ordered.length);
  }
  return most;
}

describe("adapters wanted at once", () => {
  const cases = [
    { servers: 10, adapters: 20, most: 20 },
    { servers: 10, adapters: 40, most: 30 },
    { servers: 20, adapters: 100, most: 30 },
    { servers: 5, adapters: 40, most: 20 },
  ];
  for (const { servers, adapters, most } of cases) {
    it(`${adapters} on ${servers} servers: ${most} in flight`, () => {
      const world = worldOf(servers, adapters);
      for (let index = 0; index < adapters; index++) {
        world.demand(`h${index}`, `${MODEL}:x${index}`, 1);
      }
      expect(mostInFlight(world, adapters)).to.equal(most);
      expect(loaded(world)).to.equal(adapters);
      expect(world.violations).to.deep.equal([]);
    });
  }
});
