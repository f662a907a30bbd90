import { expect } from "chai";
import * as fakeServer from "./fake_server.ts";
import * as fixtures from "./fixtures.ts";
import * as simulatedCluster from "./simulated_cluster.ts";

const { GB } = fixtures;

/** Reported running requests; undefined while a host has not reported. */
type ReportedRequests = number | undefined;

/**
 * Creates one server with `advice/a` loaded, and without memory for `advice/b`
 * next to it.
 */
function createCluster(
  runningRequestsOn: NonNullable<
    simulatedCluster.SimulationOptions["runningRequestsOn"]
  >,
): simulatedCluster.SimulatedCluster {
  const cluster = new simulatedCluster.SimulatedCluster({
    seed: 7,
    faults: simulatedCluster.NO_FAULTS,
    servers: [
      new fakeServer.FakeServer({
        id: "s0",
        memoryBytes: 6 * GB,
        checksFencing: true,
      }),
    ],
    configuration: fixtures.configuration({ a: 4, b: 5, c: 1 }),
    runningRequestsOn,
  });
  cluster.run(1_000);
  cluster.setDemand("h1", "advice/a", 1);
  expect(cluster.runUntil(() => isLoaded(cluster, "advice/a"))).to.equal(true);
  cluster.setDemand("h1", "advice/a", 0);
  return cluster;
}

function isLoaded(
  cluster: simulatedCluster.SimulatedCluster,
  model: string,
): boolean {
  return cluster.servers.some((server) => server.isLoaded(model, "1"));
}

/** Models of the orders of one kind that were sent. */
function orderedModels(
  cluster: simulatedCluster.SimulatedCluster,
  kind: string,
): string[] {
  return cluster.actions.flatMap((action) =>
    action.kind === "order" && action.order.kind === kind
      ? [action.order.model]
      : []
  );
}

describe("unload of a replica in use", () => {
  const cases: {
    name: string;
    before: ReportedRequests;
    after: ReportedRequests;
    unloads: boolean;
  }[] = [
    {
      name: "waits for the last request",
      before: 1,
      after: 1,
      unloads: false,
    },
    {
      name: "follows the end of the last request",
      before: 1,
      after: 0,
      unloads: true,
    },
    {
      name: "waits for hosts that have not reported",
      before: undefined,
      after: undefined,
      unloads: false,
    },
    {
      name: "follows the report of the last host",
      before: undefined,
      after: 0,
      unloads: true,
    },
  ];
  for (const { name, before, after, unloads } of cases) {
    it(name, () => {
      const reported: { running: ReportedRequests } = { running: before };
      const cluster = createCluster(() => reported.running);
      // The demand report is older than the running request on `advice/a`.
      cluster.setDemand("h2", "advice/b", 1);
      cluster.run(cluster.nowMs + 5_000);
      expect(orderedModels(cluster, "unload")).to.deep.equal([]);
      reported.running = after;
      cluster.run(cluster.nowMs + 200);
      const expected = unloads ? ["advice/a"] : [];
      expect(orderedModels(cluster, "unload")).to.deep.equal(expected);
      expect(cluster.violations).to.deep.equal([]);
    });
  }

  it("is avoided if evicting an idle model frees enough memory", () => {
    const cluster = createCluster(() => 0);
    cluster.setDemand("h3", "advice/c", 1);
    expect(cluster.runUntil(() => isLoaded(cluster, "advice/c"))).to.equal(
      true,
    );
    cluster.setDemand("h3", "advice/c", 0, 1);
    cluster.setDemand("h2", "advice/b", 1);
    expect(cluster.runUntil(() => isLoaded(cluster, "advice/b"))).to.equal(
      true,
    );
    expect(orderedModels(cluster, "unload")).to.deep.equal(["advice/a"]);
    expect(isLoaded(cluster, "advice/c")).to.equal(true);
  });

  it("counts only reports from after hosts have learned of the unload", () => {
    const sinceTimes: number[] = [];
    const cluster = createCluster((_, sinceMs) => {
      sinceTimes.push(sinceMs);
      return 0;
    });
    const demandedMs = cluster.nowMs;
    cluster.setDemand("h2", "advice/b", 1);
    cluster.runUntil(() => orderedModels(cluster, "unload").length > 0);
    expect(Math.min(...sinceTimes)).to.be.at.least(demandedMs + 250);
  });
});
