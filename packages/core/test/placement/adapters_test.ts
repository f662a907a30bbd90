import { expect } from "chai";
import * as fakeServer from "./fake_server.ts";
import * as fixtures from "./fixtures.ts";
import * as simulatedCluster from "./simulated_cluster.ts";

const { GB } = fixtures;
const MODEL = "advice/a";
/** Interval of planning rounds. The orders of one end before the next. */
const ROUND_MS = 100;

/** Creates servers that all have the base model of the adapters loaded. */
function createCluster(
  servers: number,
  adapters: number,
): simulatedCluster.SimulatedCluster {
  const cluster = new simulatedCluster.SimulatedCluster({
    seed: 11,
    faults: simulatedCluster.NO_FAULTS,
    servers: Array.from(
      { length: servers },
      (_, index) =>
        new fakeServer.FakeServer({
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
  cluster.run(1_000);
  cluster.setDemand("h", MODEL, 4 * servers);
  const isLoadedEverywhere = () =>
    cluster.servers.every((server) => server.isLoaded(MODEL, "1"));
  expect(cluster.runUntil(isLoadedEverywhere)).to.equal(true);
  return cluster;
}

/** Number of adapters that are loaded on at least one server. */
function countLoadedAdapters(
  cluster: simulatedCluster.SimulatedCluster,
): number {
  const held = cluster.servers.flatMap((server) => server.heldModels());
  return new Set(held.map(({ model }) => model)).size - 1;
}

/** Maximum number of adapter loads that were ordered in one round. */
function maxOrderedInOneRound(
  cluster: simulatedCluster.SimulatedCluster,
  adapters: number,
): number {
  let most = 0;
  for (
    let round = 0;
    round < 100 && countLoadedAdapters(cluster) < adapters;
    round++
  ) {
    const before = cluster.actions.length;
    cluster.run(cluster.nowMs + ROUND_MS);
    const ordered = cluster.actions.slice(before).filter((action) =>
      action.kind === "order" && action.order.kind === "load-adapter"
    );
    most = Math.max(most, ordered.length);
  }
  return most;
}

describe("concurrent adapter loads", () => {
  const cases = [
    { servers: 10, adapters: 20, most: 20 },
    { servers: 10, adapters: 40, most: 30 },
    { servers: 20, adapters: 100, most: 30 },
    { servers: 5, adapters: 40, most: 20 },
  ];
  for (const { servers, adapters, most } of cases) {
    it(`run at most ${most} at once for ${adapters} adapters on ${servers} servers`, () => {
      const cluster = createCluster(servers, adapters);
      for (let index = 0; index < adapters; index++) {
        cluster.setDemand(`h${index}`, `${MODEL}:x${index}`, 1);
      }
      expect(maxOrderedInOneRound(cluster, adapters)).to.equal(most);
      expect(countLoadedAdapters(cluster)).to.equal(adapters);
      expect(cluster.violations).to.deep.equal([]);
    });
  }
});
