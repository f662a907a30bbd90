import * as core from "@ebonypath/core";
import { gateway } from "@ebonypath/protocol";
import * as fleetCoordinator from "../../src/gateway/control/fleet_coordinator.ts";
import * as fleetView from "../../src/gateway/entry/fleet_view.ts";
import * as leaderSync from "../../src/gateway/entry/leader_sync.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";
import * as fixtures from "./fixtures.ts";

/** Creates a state with a service whose servers run one software version. */
export function createState(): core.gateway.GatewayState {
  const state = new core.gateway.GatewayState();
  state.apply({
    kind: "add-software-version",
    service: "advice",
    softwareVersion: "1",
  });
  state.apply({
    kind: "configure",
    source: "",
    configuration: fixtures.configuration([]),
  });
  return state;
}

/** Creates the coordinator of a leader that gives no orders. */
export function createCoordinator(
  overrides: Partial<fleetCoordinator.FleetCoordinatorOptions> = {},
): fleetCoordinator.FleetCoordinator {
  const state = createState();
  return new fleetCoordinator.FleetCoordinator({
    host: "control-1",
    orderHolder: "control-1",
    orderTakeoverDelayMs: 60_000,
    retryBudget: { ratio: 0.2, slack: 54, windowMs: 10_000 },
    term: 1,
    engineClient: {
      order: () => Promise.resolve({ kind: "accepted" }),
      report: () => Promise.reject(new Error("no report")),
    },
    metrics: new GatewayMetrics(),
    state: () => state,
    controlHosts: () => [],
    hasLease: () => true,
    commit: (command) => {
      state.apply(command);
      return Promise.resolve();
    },
    commitChange: fixtures.refuseChanges,
    streamOrigins: new core.gateway.StreamOrigins(),
    ...overrides,
  });
}

/** Entry hosts that follow a leader, and what they exchange with it. */
export class FollowingHosts implements Disposable {
  readonly views: fleetView.FleetView[] = [];
  /** Records of servers in reports. */
  reportedRecords = 0;
  /** Records of servers in the responses to watches. */
  sentRecords = 0;
  /** Responses to watches. */
  responses = 0;
  leader: fleetCoordinator.FleetCoordinator;
  /** Hosts whose calls fail. */
  readonly cut = new Set<string>();
  readonly #syncs: leaderSync.LeaderSync[] = [];

  constructor(leader: fleetCoordinator.FleetCoordinator, count: number) {
    this.leader = leader;
    for (let index = 0; index < count; index += 1) this.#add(`entry-${index}`);
  }

  resetCounts(): void {
    this.reportedRecords = 0;
    this.sentRecords = 0;
    this.responses = 0;
  }

  [Symbol.dispose](): void {
    for (const sync of this.#syncs) sync[Symbol.dispose]();
  }

  #add(host: string): void {
    const view = new fleetView.FleetView();
    const sync = new leaderSync.LeaderSync({
      host,
      leader: {
        leader: "control-1",
        setControlHosts: () => undefined,
        call: (method, params) =>
          this.#call(
            host,
            method,
            typeof params === "function" ? params() : params,
          ),
      },
      view,
      hasNews: () => false,
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
    this.views.push(view);
    this.#syncs.push(sync);
    sync.start();
  }

  async #call(host: string, method: string, params: object): Promise<unknown> {
    const response = await this.#answer(method, params);
    if (this.cut.has(host)) throw new Error("the link is cut");
    return response;
  }

  async #answer(method: string, params: object): Promise<unknown> {
    if (method === gateway.METHODS.report) {
      const report = params as gateway.ReportRequest;
      this.reportedRecords += report.servers.length;
      return await this.leader.report(report);
    }
    const response = await this.leader.watch(params as gateway.WatchRequest);
    this.responses += 1;
    this.sentRecords += response.servers.length;
    return response;
  }
}
