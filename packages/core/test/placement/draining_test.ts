import { expect } from "chai";
import * as fakes from "./fake_server.ts";
import * as fixtures from "./fixtures.ts";
import * as worlds from "./simulation.ts";

const { GB } = fixtures;

/** What all hosts say; undefined while one of them has not reported. */
type Said = number | undefined;

/** One server with room for one of two models, and `advice/a` on it. */
function oneServer(
  runningRequestsOn: NonNullable<worlds.Options["runningRequestsOn"]>,
): worlds.World {
  const world = new worlds.World({
    seed: 7,
    faults: worlds.NO_FAULTS,
    servers: [
      new fakes.FakeServer({
        id: "s0",
        memoryBytes: 6 * GB,
        checksFencing: true,
      }),
    ],
    configuration: fixtures.configuration({ a: 4, b: 5, c: 1 }),
    runningRequestsOn,
  });
  world.run(1_000);
  world.demand("h1", "advice/a", 1);
  expect(world.runUntil(() => holds(world, "advice/a"))).to.equal(true);
  world.demand("h1", "advice/a", 0);
  return world;
}

function holds(world: worlds.World, model: string): boolean {
  return world.servers.some((server) => server.has(model, "1"));
}

function orders(world: worlds.World, kind: string): string[] {
  return world.actions.flatMap((action) =>
    action.kind === "order" && action.order.kind === kind
      ? [action.order.model]
      : []
  );
}

describe("unloads of replicas in use", () => {
  const cases: { name: string; before: Said; after: Said; unloads: boolean }[] =
    [
      {
        name: "wait for the last request",
        before: 1,
        after: 1,
        unloads: false,
      },
      { name: "follow the last request", before: 1, after: 0, unloads: true },
      {
        name: "wait for hosts that have not reported",
        before: undefined,
        after: undefined,
        unloads: false,
      },
      {
        name: "follow the report of the last host",
        before: undefined,
        after: 0,
        unloads: true,
      },
    ];
  for (const { name, before, after, unloads } of cases) {
    it(name, () => {
      const said: { running: Said } = { running: before };
      const world = oneServer(() => said.running);
      // The request on `advice/a` began after the last report of demand.
      world.demand("h2", "advice/b", 1);
      world.run(world.nowMs + 5_000);
      expect(orders(world, "unload")).to.deep.equal([]);
      said.running = after;
      world.run(world.nowMs + 200);
      const expected = unloads ? ["advice/a"] : [];
      expect(orders(world, "unload")).to.deep.equal(expected);
      expect(world.violations).to.deep.equal([]);
    });
  }

  it("don't happen where an idle model frees the memory", () => {
    const world = oneServer(() => 0);
    world.demand("h3", "advice/c", 1);
    expect(world.runUntil(() => holds(world, "advice/c"))).to.equal(true);
    world.demand("h3", "advice/c", 0, 1);
    world.demand("h2", "advice/b", 1);
    expect(world.runUntil(() => holds(world, "advice/b"))).to.equal(true);
    expect(orders(world, "unload")).to.deep.equal(["advice/a"]);
    expect(holds(world, "advice/c")).to.equal(true);
  });

  it("ask about requests since hosts have heard of the unload", () => {
    const since: number[] = [];
    const world = oneServer((_, sinceMs) => {
      since.push(sinceMs);
      return 0;
    });
    const askedMs = world.nowMs;
    world.demand("h2", "advice/b", 1);
    world.runUntil(() => orders(world, "unload").length > 0);
    expect(Math.min(...since)).to.be.at.least(askedMs + 250);
  });
});
