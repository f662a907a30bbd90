/**
 * State and duties of the leader of a gateway fleet during one term: it tracks
 * servers and demand, informs entry hosts, and has models loaded and unloaded.
 *
 * @module
 */
import * as timers from "node:timers";
import * as core from "@ebonypath/core";
import { errors, type gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as metrics from "../metrics.ts";
import * as dutyPerformer from "./duty_performer.ts";
import type * as dutyTypes from "./duty_types.ts";
import * as entryConfiguration from "./entry_configuration.ts";
import * as hostInterest from "./host_interest.ts";
import * as orderExecutor from "./order_executor.ts";
import * as keptRoom from "./kept_room.ts";
import * as limitLender from "./limit_lender.ts";
import * as loadScheduler from "./load_scheduler.ts";
import * as reportedForecasts from "./reported_forecasts.ts";
import * as quarantineManager from "./quarantine_manager.ts";
import * as serverPace from "./server_pace.ts";
import type * as types from "./types.ts";

const write = log.createLog("directory");

/** Longest time that a watch request waits for a change, in milliseconds. */
const WATCH_TIMEOUT_MS = 1_000;
/** Time over which changes are collected before they are sent, in ms. */
const COLLECT_MS = 2;
/**
 * Processor time of a response to a watch at its host and the leader, in ms: a
 * profile of control hosts that lost their leader, in a fleet of 87 hosts.
 */
const WATCH_RESPONSE_MS = 1;
/** Part of the leader's time that responses to watches may take. */
const MAX_WATCH_SHARE = 0.5;
/** Longest time for which changes wait until many hosts are told, in ms. */
const MAX_RELEASE_INTERVAL_MS = 250;
/** Watches that are answered before other messages are handled. */
const RELEASE_SLICE = 16;
/** Time within which all running servers send a heartbeat, in milliseconds. */
const SETTLE_MS = 2_600;
/**
 * Time after a suspension for which the lease is uncertain, in milliseconds. A
 * lease from before it expires within the shortest election timeout.
 */
const LEASE_RENEWAL_MS = core.replication.DEFAULT_SETTINGS
  .electionTimeoutMinimumMs;
/** Delay before another attempt to become the order holder, in ms. */
const CLAIM_RETRY_MS = 200;
/**
 * Time after which hosts without the newest configuration are logged, in ms. A
 * host that watches all the time has it within some milliseconds.
 */
const ROLLOUT_WARNING_MS = 500;
/**
 * Most software versions of all services. A writer of false heartbeats can't let
 * the replicated state grow beyond.
 */
const MAX_SOFTWARE_VERSIONS = 1_024;
/**
 * How far the birth of a server may lie ahead of this host's time of day, in ms:
 * more than clocks differ. A later birth at an address ends the earlier server.
 */
const MAX_BIRTH_AHEAD_MS = 3_600_000;
/** Birth of servers that don't tell theirs. */
const UNTOLD_BIRTH = 0;
/** Most hosts that one log line names. */
const MAX_LOGGED_HOSTS = 10;
/**
 * Time over which streams are collected before copies are told of them, in ms. It
 * is short beside the interval in which hosts report them.
 */
const COPY_INTERVAL_MS = 50;
/** Streams in one answer to a copy, from which on the next one has the rest. */
const MAX_COPIED_STREAMS = 5_000;
/** Hosts that are asked within an interval for servers that they know better. */
const MAX_ASKED_HOSTS = 3;
/** That interval, in milliseconds: most hosts know the same servers. */
const ASK_INTERVAL_MS = 500;
/** Interval of the checks for silent servers and hosts, in milliseconds. */
const EXPIRY_CHECK_INTERVAL_MS = 1_000;
const SECOND_MS = 1_000;

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
  /** Retries that all entry hosts together may send. */
  readonly retryBudget: core.gateway.FleetRetryBudget;
  /** How far the usage of workspaces may exceed their rates. */
  readonly rateTolerance?: core.gateway.RateTolerance | undefined;
  /** List of servers of an earlier leader that this one begins with. */
  readonly known?: core.gateway.ServerListCopy | undefined;
  /** Where streams began, with the streams that an earlier leader told of. */
  readonly streamOrigins: core.gateway.StreamOrigins;
  /** Duties that the leader performs; absent if the fleet has none. */
  readonly duties?: dutyTypes.Duties | undefined;
  readonly state: () => core.gateway.GatewayState;
  readonly controlHosts: () => string[];
  hasLease(): boolean;
  /**
   * Commits a command to the replicated state.
   *
   * @throws {Error} the command may not be committed
   */
  commit(command: gateway.Command): Promise<unknown>;
  /**
   * Commits a change if the state is the one that it is meant for.
   *
   * @throws {Error} the change may not be committed
   */
  commitChange(request: gateway.ChangeRequest): Promise<gateway.ChangeResponse>;
}

type ServerEnd = Extract<gateway.ServerUpdate, { kind: "ended" }>;

/** A watch request that waits for a change. */
interface PendingWatch {
  readonly request: gateway.WatchRequest;
  /** Monotonic time of its arrival, in milliseconds. */
  readonly receivedAt: number;
  readonly resolve: (response: gateway.WatchResponse) => void;
  readonly timer: NodeJS.Timeout;
}

/** Coordinates a fleet for one term of leadership; keeps no durable state. */
export class FleetCoordinator implements Disposable {
  readonly term: number;
  readonly #options: FleetCoordinatorOptions;
  readonly #registry = new core.gateway.ServerRegistry();
  readonly #demandTracker = new core.gateway.DemandTracker();
  readonly #paces = new serverPace.ServerPaceKeeper();
  readonly #usageTracker = new core.gateway.UsageTracker();
  readonly #limitedWorkspaces: core.gateway.LimitedWorkspaces;
  readonly #lender: limitLender.LimitLender;
  readonly #rollout = new core.gateway.ConfigurationRollout();
  readonly #versionActivity = new core.gateway.VersionActivity(
    performance.now(),
  );
  /** Versions that are being committed, and those that are being removed. */
  readonly #addingVersions = new Set<string>();
  readonly #removingVersions = new Set<string>();
  readonly #quarantines: quarantineManager.QuarantineManager;
  readonly #duties: dutyPerformer.DutyPerformer | undefined;
  /** Models that each host has requests for, as of its last report. */
  readonly #interests = new Map<string, core.gateway.HostInterest>();
  /** Number of the last report of each host. */
  readonly #reportSequences = new Map<string, number>();
  readonly #executor: orderExecutor.OrderExecutor;
  readonly #scheduler: loadScheduler.LoadScheduler;
  readonly #keptRoom: keptRoom.KeptRoom;
  readonly #forecasts: reportedForecasts.ReportedForecasts;
  readonly #startedAt = performance.now();
  readonly #pendingWatches = new Set<PendingWatch>();
  readonly #expiryTimer: NodeJS.Timeout;
  readonly #suspensionDetector = new core.gateway.SuspensionDetector(
    performance.now(),
    Date.now(),
  );
  readonly #entryConfiguration = new entryConfiguration.EntryConfiguration();
  #leaseUncertainUntil = 0;
  /** Hosts asked for servers since the interval began. */
  #askedHosts = 0;
  /** Monotonic time of that, in milliseconds. */
  #askIntervalBegan = -Infinity;
  #claimTimer: NodeJS.Timeout | undefined;
  #collectTimer: NodeJS.Timeout | undefined;
  #copyTimer: NodeJS.Timeout | undefined;
  /** Monotonic time before which hosts are told of no further changes, in ms. */
  #nextReleaseAt = -Infinity;
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
      engineOf: (service) => this.#serviceOf(service)?.engine,
      onStoreLoad: (load) => this.#scheduler.recordStoreLoad(load),
      onOrderFinished: () => this.#onChange(),
    });
    this.#scheduler = new loadScheduler.LoadScheduler({
      executor: this.#executor,
      registry: this.#registry,
      demandTracker: this.#demandTracker,
      metrics: options.metrics,
      configuration: () => options.state().configuration,
      withdrawnDomains: () => options.state().withdrawnDomains,
      canSendOrders: () => this.#canSendOrders(),
    });
    this.#keptRoom = new keptRoom.KeptRoom(this.#demandTracker, this.#registry);
    this.#forecasts = new reportedForecasts.ReportedForecasts({
      scheduler: this.#scheduler,
      executor: this.#executor,
      registry: this.#registry,
    });
    this.#limitedWorkspaces = new core.gateway.LimitedWorkspaces(
      performance.now(),
      options.rateTolerance,
    );
    this.#lender = new limitLender.LimitLender({
      retryBudget: options.retryBudget,
      coldRequestsPerSecond: (server) => this.#coldRequestsPerSecond(server),
    });
    this.#quarantines = new quarantineManager.QuarantineManager({
      state: options.state,
      serverCount: () => this.#registry.activeServers().length,
      commit: (command) => options.commit(command),
      commitChange: (request) => options.commitChange(request),
      onChange: () => this.#onChange(),
    });
    this.#duties = options.duties && new dutyPerformer.DutyPerformer({
      ...options,
      ...options.duties,
      registry: this.#registry,
      demandTracker: this.#demandTracker,
      holder: options.orderHolder,
      takeoverDelayMs: options.orderTakeoverDelayMs,
      isSettled: () => this.#isSettled,
      isLeaseCertain: () => this.#isLeaseCertain(),
    });
    if (options.known !== undefined) this.#restore(options.known);
    this.#restoreEnds();
    this.#beginRollout();
    this.#expiryTimer = timers.setInterval(
      () => this.#expire(),
      EXPIRY_CHECK_INTERVAL_MS,
    );
    options.metrics.leading.set(1);
    const { orderHolder } = options.state();
    write("leading", {
      term: this.term,
      orderHolder,
      known: options.known?.servers.length,
      streams: options.streamOrigins.size,
    });
    // Orders of the previous holder may still be in transit.
    const delayMs = orderHolder === null ? 0 : options.orderTakeoverDelayMs;
    if (!this.#holdsOrders) this.#claimOrders(delayMs);
  }

  /** The last start of a server that is known. */
  startOf({ id }: gateway.StartRequest): gateway.StartResponse {
    return { born: this.#registry.get(id)?.born ?? null };
  }

  /**
   * Handles a heartbeat, or the end, of a server. An end is committed before it
   * is acknowledged: the server doesn't repeat it.
   *
   * @throws {protocol.errors.StepError} it is not clear which start has ended
   */
  async handleUpdate(update: gateway.ServerUpdate): Promise<void> {
    this.handleHeartbeat(update);
    if (update.kind === "ended") await this.#commitEnd(update);
  }

  /** Handles a heartbeat, or an end that is committed or known otherwise. */
  handleHeartbeat(relayed: gateway.ServerUpdate): void {
    const now = performance.now();
    const { revision } = this.#registry;
    if (relayed.kind === "ended") {
      this.#endServer(relayed, now);
    } else if (!isBorn(relayed.heartbeat)) {
      const { born, id } = relayed.heartbeat;
      write("server-refused", { server: id, born });
      return;
    } else if (!this.#isVersionKnown(relayed.heartbeat)) {
      this.#addVersion(relayed.heartbeat);
      return;
    } else {
      this.#versionActivity.record(relayed.heartbeat, now);
      if (this.#registry.applyHeartbeat(relayed.heartbeat, now)) {
        this.#executor.handleHeartbeat(relayed.heartbeat);
      }
    }
    if (this.#registry.revision === revision) return;
    this.#logServer(relayed);
    if (relayed.kind === "heartbeat") this.#logRemoval(relayed.heartbeat);
    this.#onChange();
  }

  #logRemoval({ born, id, remainingMs }: gateway.Heartbeat): void {
    if (remainingMs === undefined) return;
    this.#options.metrics.removalNotices.inc();
    write("removal-notice", {
      server: id,
      born,
      remaining_ms: Math.round(remainingMs),
    });
  }

  /** Hosts of earlier builds mean whichever start is known. */
  #endedStart({ born, id }: ServerEnd): number | null {
    return born === undefined ? this.startOf({ id }).born : born;
  }

  #endServer(end: ServerEnd, now: number): void {
    const { id } = end;
    const born = this.#endedStart(end);
    if (this.#registry.markEnded({ id, born }, now)) return;
    throw new errors.StepError(
      "end server",
      id,
      "the server was not known when its caller was seen to wait",
    );
  }

  async #commitEnd(end: ServerEnd): Promise<void> {
    const { commit, state } = this.#options;
    const { id } = end;
    const born = this.#endedStart(end);
    // Its end would be that of all its later starts.
    if (born === null || born === UNTOLD_BIRTH) return;
    if (state().hasEnded({ id, born })) return;
    await commit({ kind: "end-server", id, born });
  }

  /** Sends changes of the replicated state to entry hosts. */
  onStateChange(): void {
    this.#beginRollout();
    this.#quarantines.onStateChange();
    this.#registry.bumpRevision();
    this.#onChange();
  }

  /**
   * Answers when something has changed that the host needs at once, or after a
   * timeout with all changes.
   */
  watch(request: gateway.WatchRequest): Promise<gateway.WatchResponse> {
    const now = performance.now();
    if (request.isCopy !== true) {
      this.#demandTracker.touch(request.host, now);
      this.#recordRollout(request, now);
    }
    const waitMs = Math.min(request.waitMs ?? Infinity, WATCH_TIMEOUT_MS);
    if (waitMs === 0 || this.#isAnsweredAtOnce(request, now)) {
      this.#delayNextRelease(1, now);
      return Promise.resolve(this.#createResponse(request, now));
    }
    return new Promise((resolve) => {
      const timer = timers.setTimeout(
        () => this.#release(pending),
        waitMs,
      );
      const pending: PendingWatch = {
        request,
        receivedAt: now,
        resolve,
        timer,
      };
      this.#pendingWatches.add(pending);
      if (this.#hasNews(request)) this.#scheduleRelease();
      if (this.#hasStreamNews(request)) this.#scheduleCopies();
    });
  }

  /**
   * Records the report of a host; answers with what it needs of the others.
   *
   * @throws {protocol.errors.StepError} a later report of the host came before
   */
  async report(
    report: gateway.ReportRequest,
  ): Promise<gateway.ReportResponse> {
    const now = performance.now();
    this.#requireInOrder(report);
    const { revision } = this.#registry;
    this.#registry.mergeRecords(
      report.servers.filter((server) =>
        isBorn(server) && this.#isVersionKnown(server)
      ),
      now,
    );
    if (report.streams.length > 0) {
      this.#options.streamOrigins.record(report.streams, now);
      this.#scheduleCopies();
    }
    const suspects = this.#quarantines.exchange(report, now);
    for (const server of report.leaving ?? []) {
      this.#registry.markLeaving(server);
    }
    this.#demandTracker.addReport(report, now);
    this.#paces.record(report, this.#registry, now);
    this.#interests.set(report.host, hostInterest.interestOf(report));
    if (this.#registry.revision !== revision) this.#onChange();
    this.#releaseWatchOf(report.host);
    this.#recordUsage(report, now);
    const duties = this.#duties?.recordReport(report);
    if (report.demand.some(({ slacksMs }) => slacksMs.length > 0)) {
      await this.#scheduler.planned();
    }
    const { term, usageRevision } = report.answered;
    return {
      term: this.term,
      hostCount: this.#demandTracker.hostCount,
      usage: this.#usageTracker.othersUsage(
        report.host,
        term === this.term ? usageRevision : 0,
      ),
      usageRevision: this.#usageTracker.revision,
      ...(term === this.term ? {} : { missing: this.#missingFor(term) }),
      ...(term === 0 && !this.#isSettled
        ? { missingPresumedMs: this.#settlesInMs }
        : {}),
      load: this.#loadFor(report, now),
      lent: this.#lender.lend(
        this.#demandTracker.hostCount,
        report.requests,
        report.wanted,
        now,
      ),
      forecasts: this.#forecasts.answer(report, performance.now()),
      ...suspects,
      ...duties,
    };
  }

  /** The host has given up a report that was held up, and sent a later one. */
  #requireInOrder({ host, sequence }: gateway.ReportRequest): void {
    if (sequence === undefined) return;
    const last = this.#reportSequences.get(host) ?? -1;
    if (sequence > last) {
      this.#reportSequences.set(host, sequence);
      return;
    }
    write("report-late", { host, sequence, last });
    throw new errors.StepError(
      "report",
      host,
      `report ${sequence} came after report ${last}`,
    );
  }

  /**
   * Tells where a stream began: as its host has reported, or by inference while
   * no other leader can know of more versions.
   */
  findStream({ id, services }: gateway.StreamRequest): gateway.StreamResponse {
    const now = performance.now();
    const reported = id === null
      ? undefined
      : this.#options.streamOrigins.find(id, now);
    if (reported !== undefined) {
      if (reported.softwareVersion === null) {
        write("stream-unknown", { id, reason: "reports-differ" });
      }
      return { origin: reported };
    }
    const hasLease = this.#isLeaseCertain();
    const origin = hasLease
      ? core.gateway.inferOrigin(services, this.#options.state())
      : null;
    if (origin === null) {
      const reason = hasLease ? "not-reported" : "no-lease";
      const { size } = this.#options.streamOrigins;
      write("stream-unknown", { id, reason, streams: size });
    }
    return { origin };
  }

  #isVersionKnown(version: core.gateway.ServiceVersion): boolean {
    const { service, softwareVersion } = version;
    return !this.#removingVersions.has(core.gateway.versionKey(version)) &&
      this.#options.state().softwareVersions(service)
        .includes(softwareVersion);
  }

  /**
   * Commits a new software version. Hosts are told of its servers only then, so
   * that any later leader knows each version at which a stream may have begun.
   */
  #addVersion(heartbeat: gateway.Heartbeat): void {
    const { service, softwareVersion } = heartbeat;
    const key = core.gateway.versionKey(heartbeat);
    if (this.#addingVersions.has(key)) return;
    const known = [...this.#options.state().versionsByService.values()].flat();
    if (known.length >= MAX_SOFTWARE_VERSIONS) {
      write("version-refused", { service, software: softwareVersion });
      return;
    }
    this.#addingVersions.add(key);
    const kind = "add-software-version";
    this.#options.commit({ kind, service, softwareVersion }).then(
      () => {
        write("version-added", { service, software: softwareVersion });
        if (this.#isDisposed || !this.#isVersionKnown(heartbeat)) return;
        this.handleHeartbeat({ kind: "heartbeat", heartbeat });
      },
      (error: unknown) =>
        write("version-not-added", {
          service,
          software: softwareVersion,
          error,
        }),
    ).finally(() => this.#addingVersions.delete(key));
  }

  /** Forgets the versions of which no server has been heard for long. */
  #removeVersions(now: number): void {
    const { commit, state } = this.#options;
    const { versionsByService } = state();
    for (
      const version of this.#versionActivity.expired(versionsByService, now)
    ) {
      const key = core.gateway.versionKey(version);
      if (this.#removingVersions.has(key)) continue;
      this.#removingVersions.add(key);
      commit({ kind: "remove-software-version", ...version }).then(
        () => write("version-removed", version),
        (error: unknown) => write("version-not-removed", { ...version, error }),
      ).finally(() => this.#removingVersions.delete(key));
    }
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    timers.clearInterval(this.#expiryTimer);
    timers.clearTimeout(this.#collectTimer);
    timers.clearTimeout(this.#copyTimer);
    timers.clearTimeout(this.#claimTimer);
    this.#scheduler[Symbol.dispose]();
    this.#quarantines[Symbol.dispose]();
    this.#duties?.[Symbol.dispose]();
    for (const pending of [...this.#pendingWatches]) this.#release(pending);
    this.#options.metrics.leading.set(0);
    write("not-leading", { term: this.term });
  }

  get #holdsOrders(): boolean {
    const { orderHolder, state } = this.#options;
    return state().orderHolder === orderHolder;
  }

  #surveyServers(): void {
    const servers = this.#registry.activeServers().filter(({ service }) =>
      this.#serviceOf(service)?.engine !== undefined
    );
    void this.#executor.survey(servers);
  }

  /** Makes this host the order holder after a delay, and retries on failure. */
  #claimOrders(delayMs: number): void {
    const host = this.#options.orderHolder;
    const { orderHolder: previous } = this.#options.state();
    this.#claimTimer = timers.setTimeout(() => {
      this.#options.commit({ kind: "hold-orders", host }).then(
        () => {
          write("holds-orders", { term: this.term });
          if (previous !== null) this.#surveyServers();
        },
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
    return this.#holdsOrders && this.#isLeaseCertain();
  }

  /**
   * Whether no other host can lead now. After a suspension the lease may only
   * seem valid, because the monotonic clock stood still.
   */
  #isLeaseCertain(): boolean {
    const now = performance.now();
    if (this.#suspensionDetector.hasClockJumped(now, Date.now())) {
      write("clock-jumped", { term: this.term });
      this.#leaseUncertainUntil = now + LEASE_RENEWAL_MS;
    }
    return !this.#isDisposed && now >= this.#leaseUncertainUntil &&
      this.#options.hasLease();
  }

  get #isSettled(): boolean {
    return this.#settlesInMs === 0;
  }

  get #settlesInMs(): number {
    return Math.max(0, this.#startedAt + SETTLE_MS - performance.now());
  }

  #expire(): void {
    const now = performance.now();
    for (const host of this.#demandTracker.expire(now)) {
      this.#interests.delete(host);
      this.#reportSequences.delete(host);
      this.#rollout.removeHost(host);
    }
    this.#logHostsBehind(now);
    this.#removeVersions(now);
    if (this.#isLeaseCertain()) this.#quarantines.expire(Date.now());
    this.#updateLimitedWorkspaces(now);
    if (this.#registry.expire(now)) this.#onChange();
  }

  #beginRollout(): void {
    const { configuration } = this.#options.state();
    if (configuration === null) return;
    this.#rollout.begin(configuration.version, performance.now());
  }

  #recordRollout(
    { configuration, host }: gateway.WatchRequest,
    now: number,
  ): void {
    const completed = this.#rollout.recordHost(host, configuration, now);
    if (completed === undefined) return;
    const { durationMs, hostCount, version } = completed;
    this.#options.metrics.rollout.observe(durationMs / SECOND_MS);
    write("rolled-out", {
      version,
      hosts: hostCount,
      took_ms: Math.round(durationMs),
    });
  }

  /**
   * Logs the hosts that have not confirmed the newest configuration, and whether
   * they have a watch open: if so, they wait for this host's answer.
   */
  #logHostsBehind(now: number): void {
    const behind = this.#rollout.hostsBehind(now);
    this.#options.metrics.hostsBehind.set(behind.length);
    const late = behind.filter(({ behindMs }) =>
      behindMs >= ROLLOUT_WARNING_MS
    );
    if (late.length === 0) return;
    const watching = new Set(
      [...this.#pendingWatches].map(({ request }) => request.host),
    );
    write("hosts-behind", {
      version: this.#options.state().configuration?.version,
      hosts: late.length,
      behind_ms: Math.round(Math.max(...late.map(({ behindMs }) => behindMs))),
      watching: late.filter(({ host }) => watching.has(host)).length,
      names: late.slice(0, MAX_LOGGED_HOSTS).map(({ host }) => host).join(","),
    });
  }

  /**
   * What workspaces lack, for a host that was last answered in another term. One
   * that has not been answered at all takes it for true; in the time in which
   * hosts may still tell what they know, it has to be the least that can be true.
   */
  #missingFor(answeredTerm: number): gateway.WorkspaceUsage[] {
    const isKnown = answeredTerm !== 0 || this.#isSettled;
    return this.#limitedWorkspaces.missing(isKnown, performance.now());
  }

  #recordUsage(
    { host, missing = [], usage }: gateway.ReportRequest,
    now: number,
  ): void {
    const { configuration } = this.#options.state();
    this.#limitedWorkspaces.setRates(configuration?.workspaces ?? [], now);
    this.#usageTracker.recordUsage(
      host,
      usage,
      (workspace, tokens) =>
        this.#limitedWorkspaces.recordUsage(workspace, tokens, now),
    );
    // What a host knows includes its own usage.
    this.#limitedWorkspaces.recordMissing(missing, now);
    this.#updateLimitedWorkspaces(now);
  }

  #updateLimitedWorkspaces(now: number): void {
    if (!this.#limitedWorkspaces.update(this.#isSettled, now)) return;
    write("limited-workspaces", {
      names: [...this.#limitedWorkspaces.names].join(","),
    });
    this.#registry.bumpRevision();
    this.#onChange();
  }

  /** Load of the servers that may take the requests of a report. */
  #loadFor(
    { demand, load, requests }: gateway.ReportRequest,
    now: number,
  ): gateway.ServerLoad[] {
    const models = new Set(demand.map(({ model }) => model));
    const services = new Set(requests.map(({ service }) => service));
    const ids = new Set(load.map(({ server }) => server));
    return this.#registry.activeServers()
      .filter((server) => {
        if (ids.has(server.id)) return true;
        return this.#serviceOf(server.service)?.engine === undefined
          ? services.has(server.service)
          : server.models.some(({ name }) => models.has(name));
      })
      .map((server) => ({
        server: server.id,
        running: this.#demandTracker.loadOf(server.id),
        ...(this.#serviceOf(server.service)?.engine === undefined ? {} : {
          ...this.#keptRoom.describe(server, now),
          ...this.#paces.describe(
            server,
            this.#demandTracker.tokensOn(server.id),
            now,
          ),
        }),
      }));
  }

  #coldRequestsPerSecond(id: string): number {
    const service = this.#registry.get(id)?.service;
    return service === undefined
      ? 0
      : this.#serviceOf(service)?.coldRequestsPerSecond ?? 0;
  }

  #serviceOf(name: string): gateway.Service | undefined {
    return this.#options.state().configuration?.services
      .find((service) => service.name === name);
  }

  #releaseWatchOf(host: string): void {
    for (const pending of this.#pendingWatches) {
      if (pending.request.host !== host) continue;
      if (this.#hasNews(pending.request)) this.#release(pending);
      return;
    }
  }

  #onChange(): void {
    this.#scheduler.requestPlan();
    this.#scheduleRelease();
  }

  #scheduleRelease(): void {
    if (this.#isDisposed) return;
    this.#collectTimer ??= timers.setTimeout(
      () => this.#releaseWatches(),
      Math.max(COLLECT_MS, this.#nextReleaseAt - performance.now()),
    );
  }

  /**
   * Answers the watches of hosts that need the changes. The next ones wait for
   * a time that grows with the number of these hosts, and are told together.
   */
  #releaseWatches(): void {
    this.#collectTimer = undefined;
    const due = [...this.#pendingWatches]
      .filter(({ request }) => this.#hasNews(request));
    this.#delayNextRelease(due.length, performance.now());
    this.#releaseSlices(due);
  }

  /** Tells the copies of streams, a few at a time in one answer. */
  #scheduleCopies(): void {
    if (this.#isDisposed) return;
    this.#copyTimer ??= timers.setTimeout(() => {
      this.#copyTimer = undefined;
      for (const pending of [...this.#pendingWatches]) {
        if (this.#hasStreamNews(pending.request)) this.#release(pending);
      }
    }, COPY_INTERVAL_MS);
  }

  #hasStreamNews(request: gateway.WatchRequest): boolean {
    const { revision } = this.#options.streamOrigins;
    return revision > this.#copiedRevision(request);
  }

  /** Revision of this leader's streams that a copy has; others need none. */
  #copiedRevision(request: gateway.WatchRequest): number {
    const { isCopy, streamRevision, term } = request;
    if (isCopy !== true || streamRevision === undefined) return Infinity;
    // A new leader may know of streams that the last one didn't.
    return term === this.term ? streamRevision : 0;
  }

  #streamsFor(
    request: gateway.WatchRequest,
    now: number,
  ): gateway.StreamChanges | undefined {
    const revision = this.#copiedRevision(request);
    if (revision === Infinity) return undefined;
    const { streamOrigins } = this.#options;
    return streamOrigins.changesSince(revision, MAX_COPIED_STREAMS, now);
  }

  #delayNextRelease(responses: number, now: number): void {
    const intervalMs = responses * WATCH_RESPONSE_MS / MAX_WATCH_SHARE;
    this.#nextReleaseAt = Math.min(
      Math.max(now, this.#nextReleaseAt) + intervalMs,
      now + MAX_RELEASE_INTERVAL_MS,
    );
  }

  /** Heartbeats and messages of the replicated log come between the slices. */
  #releaseSlices(due: readonly PendingWatch[]): void {
    for (const pending of due.slice(0, RELEASE_SLICE)) {
      if (this.#pendingWatches.has(pending)) this.#release(pending);
    }
    const rest = due.slice(RELEASE_SLICE);
    if (rest.length > 0) timers.setImmediate(() => this.#releaseSlices(rest));
  }

  #release(pending: PendingWatch): void {
    this.#pendingWatches.delete(pending);
    timers.clearTimeout(pending.timer);
    pending.resolve(this.#createResponse(pending.request, pending.receivedAt));
  }

  /**
   * Whether a watch is not held. A host that has just been told of changes waits
   * for the next ones with all others.
   */
  #isAnsweredAtOnce(request: gateway.WatchRequest, now: number): boolean {
    if (request.term !== this.term) return true;
    return now >= this.#nextReleaseAt && this.#hasNews(request);
  }

  /** Whether there are changes that the host needs at once. */
  #hasNews(
    request: gateway.WatchRequest,
  ): boolean {
    const { configuration, host, revision, term } = request;
    const version = this.#options.state().configuration?.version ?? null;
    return term !== this.term || this.#registry.urgentRevision > revision ||
      this.#quarantines.hasNewsFor(request) ||
      (version !== null && version > (configuration ?? -1)) ||
      this.#registry.concerns(
        this.#interests.get(host) ?? hostInterest.NO_INTEREST,
        revision,
      );
  }

  #createResponse(
    request: gateway.WatchRequest,
    receivedAt: number,
  ): gateway.WatchResponse {
    const now = performance.now();
    const state = this.#options.state();
    const base = this.#baseOf(request);
    const isWhole = request.term !== this.term && base === undefined;
    const revision = Math.min(request.revision, base?.revision ?? Infinity);
    const { configuration } = state;
    const quarantines = this.#quarantines.listFor(request.quarantineRevision);
    const streams = this.#streamsFor(request, now);
    const isNewer = configuration !== null &&
      configuration.version > (request.configuration ?? -1);
    const { hostStateIndex } = state;
    return {
      term: this.term,
      revision: this.#registry.revision,
      ...(hostStateIndex === null ? {} : { stateIndex: hostStateIndex }),
      isWhole,
      isSettled: this.#isSettled,
      servers: this.#registry.changesSince(isWhole ? 0 : revision, now),
      ...(base === undefined ? {} : { base }),
      ...(this.#wantsServers(request, now) ? { wantsServers: true } : {}),
      withdrawnDomains: state.withdrawnDomains,
      limitedWorkspaces: [...this.#limitedWorkspaces.names],
      mixedServices: state.mixedServices,
      controlHosts: this.#options.controlHosts(),
      ...(this.#isLeaseCertain() ? { heldMs: now - receivedAt } : {}),
      ...(quarantines === undefined ? {} : { quarantines }),
      suspectRevision: this.#quarantines.revision,
      ...(streams === undefined ? {} : { streams }),
      ...(isNewer
        ? {
          configuration: this.#entryConfiguration.of(configuration),
          configurationAgeMs: this.#rollout.ageMs(now),
        }
        : {}),
    };
  }

  /**
   * Whether to ask a host for the servers that it knows better. Few hosts are
   * asked at a time: the others are told of these servers meanwhile.
   */
  #wantsServers(request: gateway.WatchRequest, now: number): boolean {
    if (!this.#mayKnowBetter(request)) return false;
    if (now - this.#askIntervalBegan >= ASK_INTERVAL_MS) {
      this.#askIntervalBegan = now;
      this.#askedHosts = 0;
    }
    this.#askedHosts += 1;
    return this.#askedHosts <= MAX_ASKED_HOSTS;
  }

  #mayKnowBetter(request: gateway.WatchRequest): boolean {
    const { isCopy, revision, term, unreported = 0 } = request;
    if (isCopy === true) return false;
    if (unreported > 0) return true;
    const base = this.#baseOf(request);
    if (base !== undefined) return revision > base.revision;
    return term > 0 && term !== this.term;
  }

  /** The list that this leader began with, if the host followed the same. */
  #baseOf(
    { term }: gateway.WatchRequest,
  ): { term: number; revision: number } | undefined {
    const { known } = this.#options;
    return term !== this.term && term === known?.term
      ? { term, revision: known.revision }
      : undefined;
  }

  #restore(known: core.gateway.ServerListCopy): void {
    const servers = known.servers.filter(({ record }) =>
      isBorn(record) && this.#isVersionKnown(record)
    );
    this.#registry.restore({ ...known, servers }, performance.now());
  }

  /** Earlier leaders have acknowledged these, whoever else was told of them. */
  #restoreEnds(): void {
    const now = performance.now();
    for (const server of this.#options.state().endedServers) {
      this.#registry.markEnded(server, now);
    }
  }

  #logServer(relayed: gateway.ServerUpdate): void {
    if (relayed.kind === "ended") {
      write("server-ended", { server: relayed.id, born: relayed.born });
      return;
    }
    const { address, born, id, models, sequence, softwareVersion, state } =
      relayed.heartbeat;
    write("server", {
      server: id,
      born,
      software: softwareVersion,
      sequence,
      state,
      address,
      models: models.map(({ name }) => name).join(","),
    });
  }
}

/** Whether the birth of a server may be true. */
function isBorn({ born }: Pick<gateway.Heartbeat, "born">): boolean {
  return born <= Date.now() + MAX_BIRTH_AHEAD_MS;
}
