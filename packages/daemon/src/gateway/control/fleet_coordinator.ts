/**
 * State and duties of the leader of a gateway fleet during one term: it tracks
 * servers and demand, informs entry hosts, and has models loaded and unloaded.
 *
 * @module
 */
import * as timers from "node:timers";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as metrics from "../metrics.ts";
import * as orderExecutor from "./order_executor.ts";
import * as loadScheduler from "./load_scheduler.ts";
import type * as types from "./types.ts";

const write = log.createLog("directory");

/** Longest time that a watch request waits for a change, in milliseconds. */
const WATCH_TIMEOUT_MS = 1_000;
/** Time over which changes are collected before they are sent, in ms. */
const COLLECT_MS = 2;
/** Time within which all running servers send a heartbeat, in milliseconds. */
const SETTLE_MS = 2_600;
/**
 * Pause of orders after a suspension, in milliseconds. A lease from before the
 * suspension expires within the shortest election timeout.
 */
const LEASE_RENEWAL_MS = core.replication.DEFAULT_SETTINGS
  .electionTimeoutMinimumMs;
/** Delay before another attempt to become the order holder, in ms. */
const CLAIM_RETRY_MS = 200;
/** Interval of the checks for silent servers, in milliseconds. */
const EXPIRY_CHECK_INTERVAL_MS = 1_000;

/** Options of a fleet coordinator. */
export interface FleetCoordinatorOptions {
  readonly host: string;
  readonly term: number;
  readonly engineClient: types.EngineClient;
  readonly metrics: metrics.GatewayMetrics;
  /** Identifies this host as the order holder, also after a restart. */
  readonly orderHolder: string;
  /**
   * Delay before this host takes over the orders of another one, in ms. Orders
   * of two hosts must not alternate at a server.
   */
  readonly orderTakeoverDelayMs: number;
  readonly state: () => core.gateway.GatewayState;
  readonly controlHosts: () => string[];
  hasLease(): boolean;
  /**
   * Commits a command to the replicated state.
   *
   * @throws {Error} the command may not be committed
   */
  commit(command: gateway.Command): Promise<unknown>;
}

/** A watch request that waits for a change. */
interface PendingWatch {
  readonly request: gateway.WatchRequest;
  readonly resolve: (response: gateway.WatchResponse) => void;
  readonly timer: NodeJS.Timeout;
}

/** Coordinates a fleet for one term of leadership; keeps no durable state. */
export class FleetCoordinator implements Disposable {
  readonly term: number;
  readonly #options: FleetCoordinatorOptions;
  readonly #registry = new core.gateway.ServerRegistry();
  readonly #demandTracker = new core.gateway.DemandTracker();
  readonly #usageTracker = new core.gateway.UsageTracker();
  readonly #executor: orderExecutor.OrderExecutor;
  readonly #scheduler: loadScheduler.LoadScheduler;
  readonly #startedAt = performance.now();
  readonly #pendingWatches = new Set<PendingWatch>();
  readonly #expiryTimer: NodeJS.Timeout;
  readonly #suspensionDetector = new core.gateway.SuspensionDetector(
    performance.now(),
    Date.now(),
  );
  #ordersPausedUntil = 0;
  #claimTimer: NodeJS.Timeout | undefined;
  #collectTimer: NodeJS.Timeout | undefined;
  #isDisposed = false;

  constructor(options: FleetCoordinatorOptions) {
    this.term = options.term;
    this.#options = options;
    this.#executor = new orderExecutor.OrderExecutor({
      client: options.engineClient,
      registry: this.#registry,
      holder: options.host,
      token: options.term,
      metrics: options.metrics,
      canSendOrders: () => this.#canSendOrders(),
      engineOf: (service) =>
        options.state().configuration?.services
          .find(({ name }) => name === service)?.engine,
      onOrderFinished: () => this.#onChange(),
    });
    this.#scheduler = new loadScheduler.LoadScheduler({
      executor: this.#executor,
      registry: this.#registry,
      demandTracker: this.#demandTracker,
      configuration: () => options.state().configuration,
      withdrawnDomains: () => options.state().withdrawnDomains,
      canSendOrders: () => this.#canSendOrders(),
    });
    this.#expiryTimer = timers.setInterval(
      () => {
        if (this.#registry.expire(performance.now())) this.#onChange();
      },
      EXPIRY_CHECK_INTERVAL_MS,
    );
    options.metrics.leading.set(1);
    const { orderHolder } = options.state();
    write("leading", { term: this.term, orderHolder });
    // Orders of the previous holder may still be in transit.
    const delayMs = orderHolder === null ? 0 : options.orderTakeoverDelayMs;
    if (!this.#holdsOrders) this.#claimOrders(delayMs);
  }

  /** Handles a heartbeat, or the end, of a server. */
  handleHeartbeat(relayed: gateway.ServerUpdate): void {
    const now = performance.now();
    const { revision } = this.#registry;
    if (relayed.kind === "ended") {
      this.#registry.markEnded(relayed.id, now);
    } else if (this.#registry.applyHeartbeat(relayed.heartbeat, now)) {
      this.#executor.handleHeartbeat(relayed.heartbeat);
    }
    if (this.#registry.revision === revision) return;
    this.#logServer(relayed);
    this.#onChange();
  }

  /** Sends changes of the replicated state to entry hosts. */
  onStateChange(): void {
    this.#registry.bumpRevision();
    this.#onChange();
  }

  /** Answers when something has changed, or after a timeout. */
  watch(request: gateway.WatchRequest): Promise<gateway.WatchResponse> {
    if (this.#hasChanges(request)) {
      return Promise.resolve(this.#createResponse(request));
    }
    return new Promise((resolve) => {
      const timer = timers.setTimeout(
        () => this.#release(pending),
        WATCH_TIMEOUT_MS,
      );
      const pending: PendingWatch = { request, resolve, timer };
      this.#pendingWatches.add(pending);
    });
  }

  /** Records the report of a host; answers with data from all reports. */
  report(report: gateway.ReportRequest): gateway.ReportResponse {
    const now = performance.now();
    const { revision } = this.#registry;
    this.#registry.mergeRecords(report.servers, now);
    this.#demandTracker.addReport(report, now);
    const isWaiting = report.demand.some(({ slacksMs }) => slacksMs.length > 0);
    if (isWaiting) this.#scheduler.requestPlan();
    if (this.#registry.revision !== revision) this.#onChange();
    this.#usageTracker.recordUsage(report.host, report.usage);
    const reports = this.#demandTracker.recentReports(now);
    const hosts = reports.map(({ host }) => host);
    this.#usageTracker.retainHosts(new Set(hosts));
    const { term, usageRevision } = report.answered;
    return {
      term: this.term,
      hosts,
      usage: this.#usageTracker.changesSince(
        term === this.term ? usageRevision : 0,
      ),
      usageRevision: this.#usageTracker.revision,
      load: totalLoad(reports),
    };
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    timers.clearInterval(this.#expiryTimer);
    timers.clearTimeout(this.#collectTimer);
    timers.clearTimeout(this.#claimTimer);
    this.#scheduler[Symbol.dispose]();
    for (const pending of [...this.#pendingWatches]) this.#release(pending);
    this.#options.metrics.leading.set(0);
    write("not-leading", { term: this.term });
  }

  get #holdsOrders(): boolean {
    const { orderHolder, state } = this.#options;
    return state().orderHolder === orderHolder;
  }

  /** Makes this host the order holder after a delay, and retries on failure. */
  #claimOrders(delayMs: number): void {
    const host = this.#options.orderHolder;
    this.#claimTimer = timers.setTimeout(() => {
      this.#options.commit({ kind: "hold-orders", host }).then(
        () => write("holds-orders", { term: this.term }),
        (error: unknown) => {
          write("holds-no-orders", { term: this.term, error });
          if (!this.#isDisposed) this.#claimOrders(CLAIM_RETRY_MS);
        },
      );
    }, delayMs);
  }

  /**
   * Whether this host may send orders now. Orders of two leaders must not
   * alternate at a server.
   */
  #canSendOrders(): boolean {
    const now = performance.now();
    if (this.#suspensionDetector.hasClockJumped(now, Date.now())) {
      write("clock-jumped", { term: this.term });
      this.#ordersPausedUntil = now + LEASE_RENEWAL_MS;
    }
    return !this.#isDisposed && this.#holdsOrders &&
      now >= this.#ordersPausedUntil && this.#options.hasLease();
  }

  get #isSettled(): boolean {
    return performance.now() - this.#startedAt >= SETTLE_MS;
  }

  #onChange(): void {
    this.#scheduler.requestPlan();
    this.#collectTimer ??= timers.setTimeout(() => {
      this.#collectTimer = undefined;
      for (const pending of [...this.#pendingWatches]) {
        if (this.#hasChanges(pending.request)) this.#release(pending);
      }
    }, COLLECT_MS);
  }

  #release(pending: PendingWatch): void {
    this.#pendingWatches.delete(pending);
    timers.clearTimeout(pending.timer);
    pending.resolve(this.#createResponse(pending.request));
  }

  #hasChanges(
    { configuration, revision, term }: gateway.WatchRequest,
  ): boolean {
    const version = this.#options.state().configuration?.version ?? null;
    return term !== this.term || revision !== this.#registry.revision ||
      (version !== null && version !== configuration);
  }

  #createResponse(request: gateway.WatchRequest): gateway.WatchResponse {
    const now = performance.now();
    const state = this.#options.state();
    const isWhole = request.term !== this.term;
    const { configuration } = state;
    const isNewer = configuration !== null &&
      configuration.version > (request.configuration ?? -1);
    return {
      term: this.term,
      revision: this.#registry.revision,
      isWhole,
      isSettled: this.#isSettled,
      servers: this.#registry.changesSince(isWhole ? 0 : request.revision, now),
      withdrawnDomains: state.withdrawnDomains,
      controlHosts: this.#options.controlHosts(),
      ...(isNewer ? { configuration } : {}),
    };
  }

  #logServer(relayed: gateway.ServerUpdate): void {
    if (relayed.kind === "ended") {
      write("server-ended", { server: relayed.id });
      return;
    }
    const { address, born, id, models, sequence, state } = relayed.heartbeat;
    write("server", {
      server: id,
      born,
      sequence,
      state,
      address,
      models: models.map(({ name }) => name).join(","),
    });
  }
}

function totalLoad(
  reports: readonly gateway.ReportRequest[],
): gateway.ServerLoad[] {
  const totals = new Map<string, number>();
  for (const { load } of reports) {
    for (const { running, server } of load) {
      totals.set(server, (totals.get(server) ?? 0) + running);
    }
  }
  return [...totals].map(([server, running]) => ({ server, running }));
}
