import { expect } from "chai";
import * as fakes from "./fake_server.ts";
import * as fixtures from "./fixtures.ts";
import * as worlds from "./simulation.ts";

const { GB } = fixtures;
const SIZES = { a: 2, b: 3, c: 4, d: 5 };

interface Setup {
  readonly servers?: Partial<fakes.FakeServerOptions>[];
  readonly sizes?: Readonly<Record<string, number>>;
  readonly maxReplicas?: number;
}

function worldOf(setup: Setup = {}): worlds.World {
  const { servers = [{}, {}], sizes = SIZES, maxReplicas = 1 } = setup;
  return new worlds.World({
    seed: 7,
    faults: worlds.NO_FAULTS,
    servers: servers.map((options, index) =>
      new fakes.FakeServer({
        id: `s${index}`,
        failureDomain: `d${index}`,
        memoryBytes: 10 * GB,
        checksFencing: index % 2 === 0,
        ...options,
      })
    ),
    configuration: fixtures.configuration(sizes, { maxReplicas }),
  });
}

function cachedOn(model: string, place: "memory" | "disk") {
  return { cached: [{ model, version: "1", place }] };
}

function server(world: worlds.World, index: number): fakes.FakeServer {
  const found = world.servers[index];
  if (found === undefined) throw new RangeError(`no server ${index}`);
  return found;
}

function holders(world: worlds.World, model: string, version = "1"): string[] {
  return world.servers.filter((item) => item.has(model, version))
    .map(({ id }) => id);
}

function load(world: worlds.World, model: string): void {
  world.demand("h1", model, 1);
  expect(world.runUntil(() => holders(world, model).length > 0)).to.equal(true);
  world.demand("h1", model, 0);
}

function count(world: worlds.World, kind: string): number {
  return world.actions.filter((action) => action.kind === kind).length;
}

describe("placement", () => {
  it("decides one replica for the demand of nine hosts", () => {
    const world = worldOf({ servers: [{ concurrency: 32 }, {}] });
    world.run(1_000);
    for (let host = 0; host < 9; host++) {
      world.demand(`h${host}`, "advice/a", 2);
    }
    world.run(10_000);
    expect(holders(world, "advice/a")).to.have.length(1);
    expect(count(world, "decide")).to.equal(1);
  });

  it("loads from memory before disk before the store", () => {
    const model = "advice/a";
    const all = [{}, cachedOn(model, "disk"), cachedOn(model, "memory")];
    for (const servers of [all, all.slice(0, 2)]) {
      const world = worldOf({ servers });
      world.run(1_000);
      load(world, model);
      expect(holders(world, model)).to.deep.equal([`s${servers.length - 1}`]);
    }
  });

  it("queues behind the loads of a server only while that is faster", () => {
    const world = worldOf({ servers: [cachedOn("advice/b", "disk"), {}] });
    world.run(1_000);
    world.demand("h1", "advice/d", 1);
    world.run(1_200);
    world.demand("h2", "advice/c", 1);
    world.runUntil(() => holders(world, "advice/c").length > 0);
    expect(new Set(world.state.replicas().map((item) => item.server)).size)
      .to.equal(2);
  });

  it("evicts the idle model with the lowest worth", () => {
    const world = worldOf({ servers: [{}] });
    world.run(1_000);
    for (const model of ["advice/a", "advice/b", "advice/c"]) {
      load(world, model);
    }
    for (let i = 0; i < 20; i++) {
      world.demand("h1", "advice/c", 1);
      world.run(world.nowMs + 100);
      world.demand("h1", "advice/c", 0);
      world.demand("h1", "advice/a", 1);
      world.run(world.nowMs + 100);
      world.demand("h1", "advice/a", 0);
    }
    load(world, "advice/d");
    expect(server(world, 0).held().map(({ model }) => model))
      .to.include("advice/d").and.not.include("advice/b");
  });

  it("never evicts a model with running requests", () => {
    const world = worldOf({ servers: [{ memoryBytes: 6 * GB }] });
    world.run(1_000);
    load(world, "advice/c");
    world.demand("h1", "advice/c", 0, 1);
    world.demand("h2", "advice/d", 1);
    world.run(world.nowMs + 20_000);
    expect(holders(world, "advice/c")).to.have.length(1);
    world.demand("h1", "advice/c", 0);
    expect(world.runUntil(() => holders(world, "advice/d").length === 1))
      .to.equal(true);
  });

  it("loads an adapter after its model, and unloads it before", () => {
    const world = worldOf({ servers: [{ memoryBytes: 6 * GB }] });
    world.run(1_000);
    load(world, "advice/c:x");
    expect(holders(world, "advice/c")).to.deep.equal(["s0"]);
    load(world, "advice/d");
    const orders = world.actions.flatMap((action) =>
      action.kind === "order"
        ? [`${action.order.kind} ${action.order.model}`]
        : []
    );
    expect(orders).to.deep.equal([
      "load advice/c",
      "load-adapter advice/c:x",
      "unload-adapter advice/c:x",
      "unload advice/c",
      "load advice/d",
    ]);
  });

  it("adds replicas in other failure domains up to the maximum", () => {
    const world = worldOf({
      servers: [
        { failureDomain: "d1" },
        { failureDomain: "d1" },
        { failureDomain: "d2" },
      ],
      maxReplicas: 2,
    });
    world.run(1_000);
    world.demand("h1", "advice/a", 20);
    world.run(20_000);
    expect(holders(world, "advice/a")).to.have.length(2);
    expect(holders(world, "advice/a")).to.include("s2");
  });

  const departures: [string, (world: worlds.World, id: number) => void][] = [
    ["a withdrawn failure domain", (world, id) => {
      world.withdrawn.add(`d${id}`);
    }],
    ["a leaving server", (world, id) => {
      server(world, id).leaving = true;
    }],
    ["a silent server", (world, id) => {
      server(world, id).silentUntilMs = Infinity;
    }],
    ["a server that turned cold", (world, id) => {
      server(world, id).turnCold();
    }],
    ["a server that started again", (world, id) => {
      server(world, id).restart();
    }],
  ];
  for (const [name, depart] of departures) {
    it(`makes a replica ready again after ${name}`, () => {
      const world = worldOf();
      world.run(3_000);
      load(world, "advice/a");
      const first = holders(world, "advice/a")[0] === "s0" ? 0 : 1;
      world.run(world.nowMs + 5_000);
      world.demand("h1", "advice/a", 1);
      depart(world, first);
      const other = `s${1 - first}`;
      expect(world.runUntil(() => {
        const now = holders(world, "advice/a");
        return now.includes(other) || count(world, "decide") === 2 &&
            now.length === 1;
      })).to.equal(true);
    });
  }

  it("moves a model in frequent use out of a withdrawn failure domain", () => {
    const world = worldOf();
    world.run(3_000);
    load(world, "advice/d");
    for (let i = 0; i < 20; i++) load(world, "advice/d");
    const first = holders(world, "advice/d")[0] === "s0" ? 0 : 1;
    world.withdrawn.add(`d${first}`);
    const moved = () => holders(world, "advice/d").includes(`s${1 - first}`);
    expect(world.runUntil(moved)).to.equal(true);
  });

  it("decides again when a server dies during a load", () => {
    const world = worldOf({ sizes: { a: 8 } });
    world.run(3_000);
    world.demand("h1", "advice/a", 1);
    world.runUntil(() => count(world, "order") === 1);
    const first = world.state.replicas()[0]?.server === "s0" ? 0 : 1;
    server(world, first).restart();
    expect(
      world.runUntil(() => holders(world, "advice/a").length === 1, 30_000),
    )
      .to.equal(true);
    expect(world.violations).to.deep.equal([]);
  });

  it("loads a new version before it unloads the old one", () => {
    const world = worldOf({ servers: [{}] });
    world.run(1_000);
    load(world, "advice/a");
    world.demand("h1", "advice/a", 1);
    world.configure(fixtures.configuration(SIZES, { version: "2" }));
    expect(world.runUntil(() => holders(world, "advice/a", "2").length === 1))
      .to.equal(true);
    expect(holders(world, "advice/a", "1")).to.have.length(1);
    world.demand("h1", "advice/a", 0);
    expect(world.runUntil(() => holders(world, "advice/a", "1").length === 0))
      .to.equal(true);
  });

  it("adopts what a server holds undecided, and unloads unknown models", () => {
    const world = worldOf({ servers: [{}] });
    const violations = world.violations;
    server(world, 0).hold("advice/a", 2 * GB);
    server(world, 0).hold("advice/other", GB);
    const settled = () =>
      world.state.replicas().length === 1 &&
      !server(world, 0).has("advice/other");
    for (let i = 0; i < 400 && !settled(); i++) {
      world.run(world.nowMs + 100);
      violations.length = 0;
    }
    expect(world.state.replicas().map(({ model }) => model))
      .to.deep.equal(["advice/a"]);
    expect(count(world, "decide")).to.equal(0);
  });

  it("loads nothing beside a replica that it is about to adopt", () => {
    const world = worldOf({ servers: [{}, {}, {}] });
    server(world, 1).hold("advice/a", 2 * GB);
    const isAdopted = () => world.state.replicas().length > 0;
    for (let i = 0; i < 100 && !isAdopted(); i++) {
      world.run(world.nowMs + 100);
      if (i === 10) world.demand("h1", "advice/a", 1);
      // A replica counts as undecided until it is adopted.
      world.violations.length = 0;
    }
    expect(count(world, "decide")).to.equal(0);
    expect(world.state.replicas().map((replica) => replica.server))
      .to.deep.equal([server(world, 1).id]);
  });

  it("unloads an idle model, and keeps one that is needed often", () => {
    const world = worldOf({ servers: [{ memoryBytes: 20 * GB }] });
    world.run(1_000);
    load(world, "advice/d");
    load(world, "advice/a");
    for (let minute = 0; minute < 40; minute++) {
      world.demand("h1", "advice/a", 1);
      world.run(world.nowMs + 1_000);
      world.demand("h1", "advice/a", 0);
      world.run(world.nowMs + 59_000);
    }
    expect(holders(world, "advice/a")).to.have.length(1);
    expect(holders(world, "advice/d")).to.have.length(0);
  });

  it("takes over from an earlier leader without loading again", () => {
    const world = worldOf();
    world.run(3_000);
    load(world, "advice/a");
    world.demand("h1", "advice/a", 1);
    world.changeLeader();
    world.run(world.nowMs + 20_000);
    expect(count(world, "decide")).to.equal(1);
    expect(world.placement.readyModels(world.state.replicas()[0]?.server ?? ""))
      .to.deep.equal(["advice/a"]);
  });

  it("says what the fleet can do for a model", () => {
    const world = worldOf({ servers: [cachedOn("advice/b", "disk")] });
    world.run(1_000);
    load(world, "advice/a");
    expect(world.placement.capacity("advice/a"))
      .to.deep.include({ loaded: true, spare: 4, concurrency: 4, loadMs: 0 });
    const other = world.placement.capacity("advice/b");
    expect(other).to.include({ loaded: false, spare: 0 });
    expect(other?.loadMs).to.be.closeTo(1_520, 1);
  });
});
