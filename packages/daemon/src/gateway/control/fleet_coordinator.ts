/**
 * What the leader of a gateway fleet knows and tells; ends with its term.
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

/** Longest time that a question for changes waits, in milliseconds. */
const WATCH_MS = 1_000;
/** Time over which changes are collected before they are told, in ms. */
const COLLECT_MS = 2;
/** Time after which all live servers have been heard, in milliseconds. */
const SETTLE_MS = 2_600;
/**
 * Time after a suspension in which a lease from before it has run out: the
 * shortest election timeout. In milliseconds.
 */
const LEASE_RENEWAL_MS = core.replication.DEFAULT_SETTINGS
  .electionTimeoutMinimumMs;
/** Pause after a failure to become the one that gives orders, in ms. */
const CLAIM_RETRY_MS = 200;
/** Time between two looks for servers to forget, in milliseconds. */
const EXPIRY_MS = 1_000;

/** What a directory needs of its host. */
export interface FleetCoordinatorOptions {
  readonly host: string;
  readonly term: number;
  readonly engineClient: types.EngineClient;
  readonly metrics: metrics.GatewayMetrics;
  /** Names this host as the one that gives orders, also after a restart. */
  readonly orderHolder: string;
  /** Time during which orders of two hosts must not alternate, in ms. */
  readonly orderTakeoverDelayMs: number;
  readonly state: () => core.gateway.GatewayState;
  readonly controlHosts: () => string[];
  hasLease(): boolean;
  /**
   * Commits a change of the state.
   *
   * @throws {Error} it is not known to be committed
   */
  commit(command: gateway.Command): Promise<unknown>;
}

interface Waiter {
  readonly request: gateway.WatchRequest;
  readonly resolve: (response: gateway.WatchResponse) => void;
  readonly timer: NodeJS.Timeout;
}

/** The soft state of one leadership. */
export class FleetCoordinator implements Disposable {
  readonly term: number;
  readonly #options: FleetCoordinatorOptions;
  readonly #roster = new core.gateway.ServerRegistry();
  readonly #demand = new core.gateway.DemandTracker();
  readonly #usage = new core.gateway.UsageTracker();
  readonly #desk: orderExecutor.OrderExecutor;
  readonly #pager: loadScheduler.LoadScheduler;
  readonly #since = performance.now();
  readonly #waiters = new Set<Waiter>();
  readonly #expiry: NodeJS.Timeout;
  readonly #suspension = new core.gateway.SuspensionDetector(
    performance.now(),
    Date.now(),
  );
  #pausedUntil = 0;
  #claiming: NodeJS.Timeout | undefined;
  #collecting: NodeJS.Timeout | undefined;
  #isOver = false;

  constructor(options: FleetCoordinatorOptions) {
    this.term = options.term;
    this.#options = options;
    this.#desk = new orderExecutor.OrderExecutor({
      client: options.engineClient,
      registry: this.#roster,
      holder: options.host,
      token: options.term,
      metrics: options.metrics,
      canSendOrders: () => this.#mayOrder(),
      engineOf: (service) =>
        options.state().configuration?.services
          .find(({ name }) => name === service)?.engine,
      onOrderFinished: () => this.#onChange(),
    });
    this.#pager = new loadScheduler.LoadScheduler({
      executor: this.#desk,
      registry: this.#roster,
      demand: this.#demand,
      configuration: () => options.state().configuration,
      withdrawnDomains: () => options.state().withdrawnDomains,
      canSendOrders: () => this.#mayOrder(),
    });
    this.#expiry = timers.setInterval(
      () => {
        if (this.#roster.expire(performance.now())) this.#onChange();
      },
      EXPIRY_MS,
    );
    options.metrics.leading.set(1);
    const { orderHolder } = options.state();
    write("leading", { term: this.term, orderHolder });
    // Orders of another host may still be on their way.
    const pauseMs = orderHolder === null ? 0 : options.orderTakeoverDelayMs;
    if (!this.#holdsOrders) this.#claimOrders(pauseMs);
  }

  /** Takes a heartbeat of a server. */
  handleHeartbeat(relayed: gateway.ServerUpdate): void {
    const now = performance.now();
    const { revision } = this.#roster;
    if (relayed.kind === "ended") {
      this.#roster.markEnded(relayed.id, now);
    } else if (this.#roster.applyHeartbeat(relayed.heartbeat, now)) {
      this.#desk.handleHeartbeat(relayed.heartbeat);
    }
    if (this.#roster.revision === revision) return;
    this.#logServer(relayed);
    this.#onChange();
  }

  /** Tells of changes of the replicated state. */
  onStateChange(): void {
    this.#roster.bumpRevision();
    this.#onChange();
  }

  /** Answers once something has changed, or after a while. */
  watch(request: gateway.WatchRequest): Promise<gateway.WatchResponse> {
    if (this.#isNews(request)) return Promise.resolve(this.#answer(request));
    return new Promise((resolve) => {
      const timer = timers.setTimeout(() => this.#release(waiter), WATCH_MS);
      const waiter: Waiter = { request, resolve, timer };
      this.#waiters.add(waiter);
    });
  }

  /** Takes what a host reports, and answers what the others have reported. */
  report(report: gateway.ReportRequest): gateway.ReportResponse {
    const now = performance.now();
    const { revision } = this.#roster;
    this.#roster.mergeRecords(report.servers, now);
    this.#demand.addReport(report, now);
    const isWaiting = report.demand.some(({ slacksMs }) => slacksMs.length > 0);
    if (isWaiting) this.#pager.requestPlan();
    if (this.#roster.revision !== revision) this.#onChange();
    this.#usage.recordUsage(report.host, report.usage);
    const reports = this.#demand.recentReports(now);
    const hosts = reports.map(({ host }) => host);
    this.#usage.retainHosts(new Set(hosts));
    const { term, usageRevision } = report.answered;
    return {
      term: this.term,
      hosts,
      usage: this.#usage.changesSince(term === this.term ? usageRevision : 0),
      usageRevision: this.#usage.revision,
      load: sumLoad(reports),
    };
  }

  [Symbol.dispose](): void {
    this.#isOver = true;
    timers.clearInterval(this.#expiry);
    timers.clearTimeout(this.#collecting);
    timers.clearTimeout(this.#claiming);
    this.#pager[Symbol.dispose]();
    for (const waiter of [...this.#waiters]) this.#release(waiter);
    this.#options.metrics.leading.set(0);
    write("not-leading", { term: this.term });
  }

  get #holdsOrders(): boolean {
    const { orderHolder, state } = this.#options;
    return state().orderHolder === orderHolder;
  }

  /** Becomes the host that gives orders, after a pause. */
  #claimOrders(pauseMs: number): void {
    const host = this.#options.orderHolder;
    this.#claiming = timers.setTimeout(() => {
      this.#options.commit({ kind: "hold-orders", host }).then(
        () => write("holds-orders", { term: this.term }),
        (error: unknown) => {
          write("holds-no-orders", { term: this.term, error });
          if (!this.#isOver) this.#claimOrders(CLAIM_RETRY_MS);
        },
      );
    }, pauseMs);
  }

  /** A server must not take turns between two leaders. */
  #mayOrder(): boolean {
    const now = performance.now();
    if (this.#suspension.hasClockJumped(now, Date.now())) {
      write("clock-jumped", { term: this.term });
      this.#pausedUntil = now + LEASE_RENEWAL_MS;
    }
    return !this.#isOver && this.#holdsOrders &&
      now >= this.#pausedUntil && this.#options.hasLease();
  }

  get #isSettled(): boolean {
    return performance.now() - this.#since >= SETTLE_MS;
  }

  #onChange(): void {
    this.#pager.requestPlan();
    this.#collecting ??= timers.setTimeout(() => {
      this.#collecting = undefined;
      for (const waiter of [...this.#waiters]) {
        if (this.#isNews(waiter.request)) this.#release(waiter);
      }
    }, COLLECT_MS);
  }

  #release(waiter: Waiter): void {
    this.#waiters.delete(waiter);
    timers.clearTimeout(waiter.timer);
    waiter.resolve(this.#answer(waiter.request));
  }

  #isNews({ configuration, revision, term }: gateway.WatchRequest): boolean {
    const version = this.#options.state().configuration?.version ?? null;
    return term !== this.term || revision !== this.#roster.revision ||
      (version !== null && version !== configuration);
  }

  #answer(request: gateway.WatchRequest): gateway.WatchResponse {
    const now = performance.now();
    const state = this.#options.state();
    const isWhole = request.term !== this.term;
    const { configuration } = state;
    const isNewer = configuration !== null &&
      configuration.version > (request.configuration ?? -1);
    return {
      term: this.term,
      revision: this.#roster.revision,
      isWhole,
      isSettled: this.#isSettled,
      servers: this.#roster.changesSince(isWhole ? 0 : request.revision, now),
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

function sumLoad(
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
