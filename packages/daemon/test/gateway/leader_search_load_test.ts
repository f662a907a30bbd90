import * as timers from "node:timers/promises";
import { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import * as fleet from "../../src/fleet/mod.ts";
import * as fleetView from "../../src/gateway/entry/fleet_view.ts";
import * as leaderSync from "../../src/gateway/entry/leader_sync.ts";
import * as stateConfirmer from "../../src/gateway/entry/state_confirmer.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";
import * as fixtures from "./fixtures.ts";

const CONTROL_HOSTS = ["c1:1", "c2:1", "c3:1", "c4:1", "c5:1"];
/** Duration of the search, in milliseconds. */
const SEARCH_MS = 3_000;
/** Calls per second of one entry host to all control hosts together. */
const MAX_CALLS_PER_SECOND = 5;
/** Questions to each control host whether the host's state is current. */
const MAX_CONFIRMATIONS_PER_SECOND = 1;
/** Interval at which requests want something of the leader, in milliseconds. */
const REQUEST_INTERVAL_MS = 20;

/** Error of a control host without a leader. */
type Failure = (method: string, peer: string) => Error;

/** Calls of an entry host by method while no control host leads. */
async function callsWithoutLeader(
  failure: Failure,
): Promise<Map<string, number>> {
  const calls = new Map<string, number>();
  const rpc: fleet.RpcCaller = {
    call(peer, method) {
      calls.set(method, (calls.get(method) ?? 0) + 1);
      return Promise.reject(failure(method, peer));
    },
  };
  const leader = new fleet.LeaderClient(rpc, CONTROL_HOSTS);
  const view = new fleetView.FleetView();
  view.apply(
    fixtures.watchResponse({
      term: 3,
      configuration: fixtures.configuration([]),
      servers: [fixtures.serverRecord("s1")],
    }),
    performance.now(),
  );
  using sync = new leaderSync.LeaderSync({
    host: "entry-1",
    leader,
    view,
    hasNews: () => true,
    collectReport: () => ({
      demand: [],
      usage: [],
      load: [],
      requests: [],
      wanted: [],
      streams: [],
    }),
    missingTokens: () => [],
    onReportResponse: () => undefined,
    onReportFailed: () => undefined,
  });
  using confirmer = new stateConfirmer.StateConfirmer({
    rpc,
    controlHosts: () => leader.controlHosts,
    onControlHosts: () => undefined,
    view,
    confirmationAgeMs: 1_200,
    metrics: new GatewayMetrics(),
  });
  sync.start();
  confirmer.start();
  const until = performance.now() + SEARCH_MS;
  while (performance.now() < until) {
    sync.reportSoon();
    void sync.refresh(100);
    void confirmer.confirm();
    sync.findStream({ id: "r1", services: ["advice"] })
      .catch(() => undefined);
    await timers.setTimeout(REQUEST_INTERVAL_MS);
  }
  return calls;
}

describe("an entry host without a leader", () => {
  const failures: Record<string, Failure> = {
    "control hosts that know no leader": (method, peer) =>
      new fleet.NotLeader(method, peer, null),
    "unreachable control hosts": (method, peer) =>
      new fleet.Unreachable(method, peer, "refused"),
  };
  for (const [name, failure] of Object.entries(failures)) {
    it(`calls ${name} ${MAX_CALLS_PER_SECOND} times a second at most, whatever waits`, async () => {
      const calls = await callsWithoutLeader(failure);
      const total = [...calls.values()].reduce((sum, one) => sum + one, 0);
      const positions = calls.get(gateway.METHODS.position) ?? 0;
      const seconds = SEARCH_MS / 1_000;
      expect(total - positions, JSON.stringify([...calls]))
        .to.be.within(1, MAX_CALLS_PER_SECOND * seconds);
      expect(positions / CONTROL_HOSTS.length)
        .to.be.within(1, 1 + MAX_CONFIRMATIONS_PER_SECOND * seconds);
      expect(calls.get(gateway.METHODS.report) ?? 0).to.equal(0);
    });
  }
});
