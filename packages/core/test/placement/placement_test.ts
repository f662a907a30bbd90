import { expect } from "chai";
import * as fakeServer from "./fake_server.ts";
import * as fixtures from "./fixtures.ts";
import * as simulatedCluster from "./simulated_cluster.ts";

const { GB } = fixtures;
const SIZES = { a: 2, b: 3, c: 4, d: 5 };

interface ClusterOptions {
  readonly servers?: Partial<fakeServer.FakeServerOptions>[];
  readonly sizes?: Readonly<Record<string, number>>;
  readonly maxReplicas?: number;
}

function createCluster(
  options: ClusterOptions = {},
): simulatedCluster.SimulatedCluster {
  const { servers = [{}, {}], sizes = SIZES, maxReplicas = 1 } = options;
  return new simulatedCluster.SimulatedCluster({
    seed: 7,
    faults: simulatedCluster.NO_FAULTS,
    servers: servers.map((serverOptions, index) =>
      new fakeServer.FakeServer({
        id: `s${index}`,
        failureDomain: `d${index}`,
        memoryBytes: 10 * GB,
        checksFencing: index % 2 === 0,
        ...serverOptions,
      })
    ),
    configuration: fixtures.configuration(sizes, { maxReplicas }),
  });
}

/** Options of a server that has a model cached. */
function cachedOn(model: string, place: "memory" | "disk") {
  return { cached: [{ model, version: "1", place }] };
}

function server(
  cluster: simulatedCluster.SimulatedCluster,
  index: number,
): fakeServer.FakeServer {
  const found = cluster.servers[index];
  if (found === undefined) throw new RangeError(`no server ${index}`);
  return found;
}

/** Ids of the servers that have a model loaded. */
function holders(
  cluster: simulatedCluster.SimulatedCluster,
  model: string,
  version = "1",
): string[] {
  return cluster.servers.filter((item) => item.isLoaded(model, version))
    .map(({ id }) => id);
}

/** Creates demand for a model until it is loaded. */
function load(cluster: simulatedCluster.SimulatedCluster, model: string): void {
  cluster.setDemand("h1", model, 1);
  expect(cluster.runUntil(() => holders(cluster, model).length > 0)).to.equal(
    true,
  );
  cluster.setDemand("h1", model, 0);
}

function countActions(
  cluster: simulatedCluster.SimulatedCluster,
  kind: string,
): number {
  return cluster.actions.filter((action) => action.kind === kind).length;
}

describe("placement", () => {
  it("decides on one replica for the demand of nine hosts", () => {
    const cluster = createCluster({ servers: [{ concurrency: 32 }, {}] });
    cluster.run(1_000);
    for (let host = 0; host < 9; host++) {
      cluster.setDemand(`h${host}`, "advice/a", 2);
    }
    cluster.run(10_000);
    expect(holders(cluster, "advice/a")).to.have.length(1);
    expect(countActions(cluster, "decide")).to.equal(1);
  });

  it("prefers a server with the model cached in memory, then on disk", () => {
    const model = "advice/a";
    const all = [{}, cachedOn(model, "disk"), cachedOn(model, "memory")];
    for (const servers of [all, all.slice(0, 2)]) {
      const cluster = createCluster({ servers });
      cluster.run(1_000);
      load(cluster, model);
      expect(holders(cluster, model)).to.deep.equal([`s${servers.length - 1}`]);
    }
  });

  it("selects another server if waiting for earlier loads takes longer", () => {
    const cluster = createCluster({
      servers: [cachedOn("advice/b", "disk"), {}],
    });
    cluster.run(1_000);
    cluster.setDemand("h1", "advice/d", 1);
    cluster.run(1_200);
    cluster.setDemand("h2", "advice/c", 1);
    cluster.runUntil(() => holders(cluster, "advice/c").length > 0);
    expect(new Set(cluster.state.replicas().map((item) => item.server)).size)
      .to.equal(2);
  });

  it("evicts the idle model with the lowest retention value", () => {
    const cluster = createCluster({ servers: [{}] });
    cluster.run(1_000);
    for (const model of ["advice/a", "advice/b", "advice/c"]) {
      load(cluster, model);
    }
    for (let i = 0; i < 20; i++) {
      cluster.setDemand("h1", "advice/c", 1);
      cluster.run(cluster.nowMs + 100);
      cluster.setDemand("h1", "advice/c", 0);
      cluster.setDemand("h1", "advice/a", 1);
      cluster.run(cluster.nowMs + 100);
      cluster.setDemand("h1", "advice/a", 0);
    }
    load(cluster, "advice/d");
    expect(server(cluster, 0).heldModels().map(({ model }) => model))
      .to.include("advice/d").and.not.include("advice/b");
  });

  it("never evicts a model with running requests", () => {
    const cluster = createCluster({ servers: [{ memoryBytes: 6 * GB }] });
    cluster.run(1_000);
    load(cluster, "advice/c");
    cluster.setDemand("h1", "advice/c", 0, 1);
    cluster.setDemand("h2", "advice/d", 1);
    cluster.run(cluster.nowMs + 20_000);
    expect(holders(cluster, "advice/c")).to.have.length(1);
    cluster.setDemand("h1", "advice/c", 0);
    expect(cluster.runUntil(() => holders(cluster, "advice/d").length === 1))
      .to.equal(true);
  });

  it("loads an adapter after its model and unloads it before", () => {
    const cluster = createCluster({ servers: [{ memoryBytes: 6 * GB }] });
    cluster.run(1_000);
    load(cluster, "advice/c:x");
    expect(holders(cluster, "advice/c")).to.deep.equal(["s0"]);
    load(cluster, "advice/d");
    const orders = cluster.actions.flatMap((action) =>
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
    const cluster = createCluster({
      servers: [
        { failureDomain: "d1" },
        { failureDomain: "d1" },
        { failureDomain: "d2" },
      ],
      maxReplicas: 2,
    });
    cluster.run(1_000);
    cluster.setDemand("h1", "advice/a", 20);
    cluster.run(20_000);
    expect(holders(cluster, "advice/a")).to.have.length(2);
    expect(holders(cluster, "advice/a")).to.include("s2");
  });

  const disruptions: [
    string,
    (cluster: simulatedCluster.SimulatedCluster, id: number) => void,
  ][] = [
    ["a withdrawal of its failure domain", (cluster, id) => {
      cluster.withdrawnFailureDomains.add(`d${id}`);
    }],
    ["the departure of its server", (cluster, id) => {
      server(cluster, id).leaving = true;
    }],
    ["missing announcements of its server", (cluster, id) => {
      server(cluster, id).silentUntilMs = Infinity;
    }],
    ["a loss of the loaded models", (cluster, id) => {
      server(cluster, id).dropLoadedModels();
    }],
    ["a server restart", (cluster, id) => {
      server(cluster, id).restart();
    }],
  ];
  for (const [name, disrupt] of disruptions) {
    it(`loads a replica again after ${name}`, () => {
      const cluster = createCluster();
      cluster.run(3_000);
      load(cluster, "advice/a");
      const first = holders(cluster, "advice/a")[0] === "s0" ? 0 : 1;
      cluster.run(cluster.nowMs + 5_000);
      cluster.setDemand("h1", "advice/a", 1);
      disrupt(cluster, first);
      const other = `s${1 - first}`;
      expect(cluster.runUntil(() => {
        const now = holders(cluster, "advice/a");
        return now.includes(other) || countActions(cluster, "decide") === 2 &&
            now.length === 1;
      })).to.equal(true);
    });
  }

  it("moves a frequently used model out of a withdrawn failure domain", () => {
    const cluster = createCluster();
    cluster.run(3_000);
    load(cluster, "advice/d");
    for (let i = 0; i < 20; i++) load(cluster, "advice/d");
    const first = holders(cluster, "advice/d")[0] === "s0" ? 0 : 1;
    cluster.withdrawnFailureDomains.add(`d${first}`);
    const moved = () => holders(cluster, "advice/d").includes(`s${1 - first}`);
    expect(cluster.runUntil(moved)).to.equal(true);
  });

  it("decides on another replica if a server restarts during a load", () => {
    const cluster = createCluster({ sizes: { a: 8 } });
    cluster.run(3_000);
    cluster.setDemand("h1", "advice/a", 1);
    cluster.runUntil(() => countActions(cluster, "order") === 1);
    const first = cluster.state.replicas()[0]?.server === "s0" ? 0 : 1;
    server(cluster, first).restart();
    expect(
      cluster.runUntil(() => holders(cluster, "advice/a").length === 1, 30_000),
    )
      .to.equal(true);
    expect(cluster.violations).to.deep.equal([]);
  });

  it("loads a new version before it unloads the old one", () => {
    const cluster = createCluster({ servers: [{}] });
    cluster.run(1_000);
    load(cluster, "advice/a");
    cluster.setDemand("h1", "advice/a", 1);
    cluster.configure(fixtures.configuration(SIZES, { version: "2" }));
    expect(
      cluster.runUntil(() => holders(cluster, "advice/a", "2").length === 1),
    )
      .to.equal(true);
    expect(holders(cluster, "advice/a", "1")).to.have.length(1);
    cluster.setDemand("h1", "advice/a", 0);
    expect(
      cluster.runUntil(() => holders(cluster, "advice/a", "1").length === 0),
    )
      .to.equal(true);
  });

  it("adopts models loaded without a decision and unloads unknown ones", () => {
    const cluster = createCluster({ servers: [{}] });
    const violations = cluster.violations;
    server(cluster, 0).addLoaded("advice/a", 2 * GB);
    server(cluster, 0).addLoaded("advice/other", GB);
    const isReconciled = () =>
      cluster.state.replicas().length === 1 &&
      !server(cluster, 0).isLoaded("advice/other");
    for (let i = 0; i < 400 && !isReconciled(); i++) {
      cluster.run(cluster.nowMs + 100);
      // A model counts as a violation until its adoption is committed.
      violations.length = 0;
    }
    expect(cluster.state.replicas().map(({ model }) => model))
      .to.deep.equal(["advice/a"]);
    expect(countActions(cluster, "decide")).to.equal(0);
  });

  it("loads no second replica while one waits for its adoption", () => {
    const cluster = createCluster({ servers: [{}, {}, {}] });
    server(cluster, 1).addLoaded("advice/a", 2 * GB);
    const isAdopted = () => cluster.state.replicas().length > 0;
    for (let i = 0; i < 100 && !isAdopted(); i++) {
      cluster.run(cluster.nowMs + 100);
      if (i === 10) cluster.setDemand("h1", "advice/a", 1);
      // A model counts as a violation until its adoption is committed.
      cluster.violations.length = 0;
    }
    expect(countActions(cluster, "decide")).to.equal(0);
    expect(cluster.state.replicas().map((replica) => replica.server))
      .to.deep.equal([server(cluster, 1).id]);
  });

  it("unloads an idle model and keeps a frequently used one", () => {
    const cluster = createCluster({ servers: [{ memoryBytes: 20 * GB }] });
    cluster.run(1_000);
    load(cluster, "advice/d");
    load(cluster, "advice/a");
    for (let minute = 0; minute < 40; minute++) {
      cluster.setDemand("h1", "advice/a", 1);
      cluster.run(cluster.nowMs + 1_000);
      cluster.setDemand("h1", "advice/a", 0);
      cluster.run(cluster.nowMs + 59_000);
    }
    expect(holders(cluster, "advice/a")).to.have.length(1);
    expect(holders(cluster, "advice/d")).to.have.length(0);
  });

  it("keeps loaded replicas after a leader change", () => {
    const cluster = createCluster();
    cluster.run(3_000);
    load(cluster, "advice/a");
    cluster.setDemand("h1", "advice/a", 1);
    cluster.changeLeader();
    cluster.run(cluster.nowMs + 20_000);
    expect(countActions(cluster, "decide")).to.equal(1);
    expect(
      cluster.placement.readyModels(cluster.state.replicas()[0]?.server ?? ""),
    )
      .to.deep.equal(["advice/a"]);
  });

  it("reports the capacity for a model", () => {
    const cluster = createCluster({ servers: [cachedOn("advice/b", "disk")] });
    cluster.run(1_000);
    load(cluster, "advice/a");
    expect(cluster.placement.capacity("advice/a"))
      .to.deep.include({ loaded: true, spare: 4, concurrency: 4, loadMs: 0 });
    const other = cluster.placement.capacity("advice/b");
    expect(other).to.include({ loaded: false, spare: 0 });
    expect(other?.loadMs).to.be.closeTo(1_520, 1);
  });
});
