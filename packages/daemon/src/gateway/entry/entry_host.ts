/**
 * Entry host of a gateway fleet: composes its parts and reports to the leader.
 *
 * @module
 */
import type * as http from "node:http";
import type * as net from "node:net";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as fleet from "../../fleet/mod.ts";
import * as listener from "../../listener/mod.ts";
import * as log from "../../log/mod.ts";
import * as resources from "../../resources/mod.ts";
import type * as metrics from "../metrics.ts";
import * as arrivalCounts from "./arrival_counts.ts";
import * as bodyBudget from "./body_budget.ts";
import * as clocks from "./clocks.ts";
import * as connectionMeter from "./connection_meter.ts";
import * as connectionProbe from "./connection_probe.ts";
import * as crashSuspects from "./crash_suspects.ts";
import * as dispatcher from "./dispatcher.ts";
import * as expectedReturns from "./expected_returns.ts";
import * as fleetView from "./fleet_view.ts";
import * as forecastView from "./forecast_view.ts";
import * as hostDrain from "./host_drain.ts";
import * as hostLoadWatch from "./host_load_watch.ts";
import * as leaderSync from "./leader_sync.ts";
import * as requestHandler from "./request_handler.ts";
import * as rateGate from "./rate_gate.ts";
import * as removalWatch from "./removal_watch.ts";
import * as retryBudgets from "./retry_budgets.ts";
import * as returningCallers from "./returning_callers.ts";
import * as serverProber from "./server_prober.ts";
import * as serverSelector from "./server_selector.ts";
import * as serverTracker from "./server_tracker.ts";
import * as stateConfirmer from "./state_confirmer.ts";
import * as streamResolver from "./stream_resolver.ts";
import type * as types from "./types.ts";
import * as unitBorrower from "./unit_borrower.ts";
import * as usageCounter from "./usage_counter.ts";

const write = log.createLog("entry");

/**
 * Longest time that a request waits for the leader's count of its workspace's
 * usage, in milliseconds.
 */
const USAGE_REFRESH_TIMEOUT_MS = 100;
/** Longest time that the last report may take while the host ends, in ms. */
const LAST_REPORT_TIMEOUT_MS = 200;
/** Most workspaces that one log line names. */
const MAX_LOGGED_WORKSPACES = 10;
/**
 * Limits of all request bodies that are held at the same time, and of all
 * responses that are not streams, in bytes. They leave a host of 250 MB the memory
 * for the rest; hosts with less get less.
 */
const MAX_BODY_BYTES = 64 * 1024 * 1024;
const MAX_RESPONSE_BYTES = 48 * 1024 * 1024;
/** Monotonic time at which the process started, in milliseconds. */
const PROCESS_STARTED_AT = 0;
const SECOND_MS = 1_000;

/** Settings and dependencies of an entry host. */
export interface EntryHostOptions {
  /** Name and incarnation of this host. */
  readonly host: string;
  /** Failure domain of this host; absent if all servers are as near. */
  readonly failureDomain?: string;
  readonly dialect: types.Dialect;
  readonly rpcClient: fleet.RpcClient;
  /** Fleet addresses of the control hosts to contact first. */
  seeds(): readonly string[];
  readonly retryBudget: core.gateway.FleetRetryBudget;
  /** How far the usage of workspaces may exceed their rates. */
  readonly rateTolerance?: core.gateway.RateTolerance | undefined;
  /**
   * Age of a configuration from which on no request is admitted or refused by it
   * unconfirmed, in milliseconds.
   */
  readonly maxConfigurationAgeMs: number;
  /** Age from which on the control hosts are asked about it, in milliseconds. */
  readonly confirmationAgeMs: number;
  /**
   * Fraction of the usual memory for bodies and responses that this host has;
   * 1 by default.
   */
  readonly memoryFraction?: number;
  /** Length of a window whose usage is reported, in ms; absent if none is. */
  readonly usageWindowMs?: number | undefined;
  readonly metrics: metrics.GatewayMetrics;
}

/** Accepts callers' requests and forwards them to backend servers. */
export class EntryHost implements AsyncDisposable {
  readonly view = new fleetView.FleetView();
  /** Ends the requests of this host before it stops. */
  readonly drain: hostDrain.HostDrain;
  readonly #serverTracker = new serverTracker.ServerTracker(() =>
    this.#hasNews = true
  );
  readonly #rateLimiter: core.gateway.SharedRateLimiter;
  readonly #usageFreshness = new core.gateway.Freshness();
  readonly #unitBorrower = new unitBorrower.UnitBorrower(() =>
    this.#reportSoon()
  );
  readonly #ownStreams = new core.gateway.OwnStreams({
    server: (id) => this.view.server(id)?.record,
    isMixed: (service) => this.view.isMixed(service),
  });
  readonly #crashSuspects = new crashSuspects.CrashSuspects({
    view: this.view,
    probe: connectionProbe.probe,
    onCrash: (server) => {
      this.#metrics.serverCrashes.inc();
      const { availability } = this.#serverTracker;
      availability.recordUnreachable(server, performance.now());
    },
    onNews: () => this.#reportSoon(),
  });
  readonly #serverProber = new serverProber.ServerProber({
    availability: this.#serverTracker.availability,
    probe: connectionProbe.probe,
    onReachable: () => this.#serverSelector.processQueue(),
  });
  readonly #removalWatch: removalWatch.RemovalWatch;
  readonly #serverSelector: serverSelector.ServerSelector;
  readonly #retryBudgets: retryBudgets.RetryBudgets;
  readonly #bodyBudget: bodyBudget.BodyBudget;
  readonly #dispatcher: dispatcher.Dispatcher;
  readonly #dialect: types.Dialect;
  readonly #requestHandler: requestHandler.RequestHandler;
  #loadWatch: hostLoadWatch.HostLoadWatch | undefined;
  readonly #leaderSync: leaderSync.LeaderSync;
  readonly #stateConfirmer: stateConfirmer.StateConfirmer;
  readonly #usageCounter: usageCounter.UsageCounter;
  readonly #metrics: metrics.GatewayMetrics;
  readonly #resources = new resources.ResourceStack();
  readonly #stallDetector = this.#resources.use(
    new listener.StallDetector(),
  );
  /** Admitted requests since the last report, by service, model and adapter. */
  readonly #arrivals = new arrivalCounts.ArrivalCounts();
  /** Callers that were told to come back when their model is loaded. */
  readonly #expectedReturns = new expectedReturns.ExpectedReturns(
    this.#serverTracker.tokens,
  );
  readonly #returningCallers = new returningCallers.ReturningCallers(this.view);
  readonly #forecasts = new forecastView.ForecastView();
  /** Whether anything has changed since the last report. */
  #hasNews = false;

  constructor(options: EntryHostOptions) {
    const { dialect, host, maxConfigurationAgeMs, rpcClient, seeds } = options;
    const { memoryFraction = 1 } = options;
    this.#metrics = options.metrics;
    this.#dialect = dialect;
    this.#bodyBudget = new bodyBudget.BodyBudget(
      Math.floor(MAX_BODY_BYTES * memoryFraction),
    );
    this.#usageCounter = new usageCounter.UsageCounter(options.usageWindowMs);
    this.drain = this.#resources.use(new hostDrain.HostDrain());
    this.#removalWatch = this.#resources.use(
      new removalWatch.RemovalWatch({
        view: this.view,
        drain: this.drain,
        metrics: options.metrics,
      }),
    );
    this.#rateLimiter = new core.gateway.SharedRateLimiter(
      PROCESS_STARTED_AT,
      options.rateTolerance,
    );
    this.#rateLimiter.setHostCount(Infinity);
    const leaderClient = new fleet.LeaderClient(rpcClient, seeds);
    this.#stateConfirmer = this.#resources.use(
      new stateConfirmer.StateConfirmer({
        rpc: rpcClient,
        controlHosts: () => leaderClient.controlHosts,
        onControlHosts: (addresses) =>
          leaderClient.setControlHosts(
            addresses.map((address) => ({ address })),
          ),
        view: this.view,
        confirmationAgeMs: options.confirmationAgeMs,
        metrics: options.metrics,
      }),
    );
    this.#leaderSync = this.#resources.use(
      new leaderSync.LeaderSync({
        host,
        leader: leaderClient,
        view: this.view,
        hasNews: () =>
          this.#hasNews || this.#unitBorrower.isWaiting ||
          this.#serverSelector.isWaiting || this.#crashSuspects.hasNews ||
          this.#usageCounter.hasNews ||
          this.#ownStreams.hasNews(this.view.term, performance.now()),
        collectReport: () => this.#collectReport(),
        missingTokens: () => this.#rateLimiter.missing(performance.now()),
        onReportResponse: (response, report, requestedAt, isFirst) =>
          this.#onReportResponse(response, report, requestedAt, isFirst),
        onReportFailed: ({ suspicions = [] }) => {
          this.#hasNews = true;
          this.#crashSuspects.requeueReports(suspicions);
        },
      }),
    );
    this.#serverSelector = this.#resources.use(
      new serverSelector.ServerSelector({
        view: this.view,
        tracker: this.#serverTracker,
        callers: this.#returningCallers,
        failureDomain: options.failureDomain,
        borrower: this.#unitBorrower,
        suspects: this.#crashSuspects,
        drain: this.drain,
        onProbeDue: (server) => this.#serverProber.probe(server),
        onQueued: () => this.#reportSoon(),
        onDequeued: () => this.#hasNews = true,
      }),
    );
    this.#retryBudgets = new retryBudgets.RetryBudgets(
      options.retryBudget,
      this.#unitBorrower,
    );
    this.#dispatcher = new dispatcher.Dispatcher({
      dialect,
      maxBufferedBytes: Math.floor(MAX_RESPONSE_BYTES * memoryFraction),
      selector: this.#serverSelector,
      tracker: this.#serverTracker,
      retryBudgets: this.#retryBudgets,
      streams: this.#ownStreams,
      suspects: this.#crashSuspects,
      drain: this.drain,
      removals: this.#removalWatch,
      metrics: options.metrics,
      onRequestBegun: (context, stream) =>
        this.#usageCounter.recordBegun(context, stream),
      onServerLeaving: () => this.#reportSoon(),
      onStreamBegun: (stream) => {
        if (!this.#ownStreams.isNews(stream, this.view.term)) return;
        this.#leaderSync.reportIfDue();
      },
      onStreamBroken: (stream) => {
        if (!this.#ownStreams.isNews(stream, this.view.term)) return;
        this.#leaderSync.reportSoon();
      },
      returns: this.#expectedReturns,
      refusalInputs: (context) =>
        this.#forecasts.describe(context, this.view, performance.now()),
    });
    this.#requestHandler = new requestHandler.RequestHandler({
      dialect,
      view: this.view,
      rateLimiter: this.#rateLimiter,
      drain: this.drain,
      bodyBudget: this.#bodyBudget,
      dispatcher: this.#dispatcher,
      streamResolver: new streamResolver.StreamResolver({
        streams: this.#ownStreams,
        metrics: options.metrics,
        service: (name) => this.view.service(name),
        askLeader: (request) => this.#leaderSync.findStream(request),
      }),
      maxConfigurationAgeMs,
      confirmConfiguration: () => this.#stateConfirmer.confirm(),
      onRefused: (reason) => options.metrics.refusals.inc({ reason }),
      onUnconfirmed: () => options.metrics.unconfirmedAdmissions.inc(),
      onLimitedAdmission: () => this.#reportSoon(),
      rateGate: new rateGate.RateGate({
        view: this.view,
        rateLimiter: this.#rateLimiter,
        usageAgeMs: () => this.#usageFreshness.ageMs(clocks.readClocks()),
        refreshUsage: () => this.#leaderSync.refresh(USAGE_REFRESH_TIMEOUT_MS),
      }),
      isCallerPresent: (request) =>
        this.#stallDetector.isCallerPresent(request),
      onArrival: (context) => this.#countArrival(context),
    });
    this.view.on(
      "configuration",
      (configuration, ageMs) => this.#applyConfiguration(configuration, ageMs),
    );
    this.view.on("change", () => {
      this.#forgetRemovedServers();
      this.#removalWatch.update();
    });
  }

  start(): void {
    this.#leaderSync.start();
    this.#stateConfirmer.start();
  }

  /**
   * Whether the host can serve requests. The configuration may come from any
   * control host, the servers and the parts of rates only from the leader. A host
   * that is near a limit of its own hands on new callers.
   */
  get isReady(): boolean {
    return this.view.configuration !== null && this.view.term > 0 &&
      this.#loadWatch?.isHandingOn !== true;
  }

  /**
   * Begins to watch the load that callers of a listener cause, which must not have
   * any connections yet.
   */
  watchLoad(callers: net.Server, limits: hostLoadWatch.HostLimits): void {
    this.#loadWatch = this.#resources.use(
      new hostLoadWatch.HostLoadWatch({
        limits,
        meter: new connectionMeter.ConnectionMeter(callers),
        dialect: this.#dialect,
        metrics: this.#metrics,
        memoryUse: () =>
          Math.max(this.#bodyBudget.use, this.#dispatcher.bufferUse),
      }),
    );
  }

  /** Number of requests that are being handled. */
  get openRequests(): number {
    return this.#requestHandler.openRequests;
  }

  /** Handles a caller's request. */
  async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    if (this.#loadWatch?.refuses(request, response) === true) return;
    await this.#requestHandler.handle(request, response);
  }

  /** Updates the gauges; to be called before each scrape. */
  updateMetrics(): void {
    const { configuration, lastResponseAt } = this.view;
    const leaderAgeMs = performance.now() - lastResponseAt;
    const ageMs = this.view.configurationAgeMs(clocks.readClocks());
    this.#metrics.waitingRequests.set(
      [...this.#serverSelector.queuedRequests()].length,
    );
    this.#metrics.heldRequests.set(this.#serverSelector.heldCount);
    this.#metrics.expectedReturns.set(
      this.#expectedReturns.due(performance.now()).length,
    );
    this.#updateServersOut();
    this.#metrics.quarantinedRequests.set(this.view.quarantineCount);
    this.#metrics.configurationVersion.set(configuration?.version ?? 0);
    if (Number.isFinite(leaderAgeMs)) {
      this.#metrics.leaderAge.set(leaderAgeMs / SECOND_MS);
    }
    if (Number.isFinite(ageMs)) {
      this.#metrics.configurationAge.set(ageMs / SECOND_MS);
    }
  }

  #updateServersOut(): void {
    const now = performance.now();
    const { availability } = this.#serverTracker;
    const counts = { leaving: 0, closed: 0, unreachable: 0 };
    for (const server of this.view.serverRecords(now)) {
      if (server.state !== "ready") continue;
      const { kind } = availability.of(server, now);
      if (kind !== "available") counts[kind] += 1;
    }
    for (const [reason, count] of Object.entries(counts)) {
      this.#metrics.serversOut.set({ reason }, count);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#usageCounter.hasChanges(this.view.term)) {
      await this.#leaderSync.refresh(LAST_REPORT_TIMEOUT_MS);
    }
    await this.#resources[Symbol.asyncDispose]();
  }

  #applyConfiguration(
    { routes, version, workspaces = [] }: gateway.Configuration,
    ageMs: number | undefined,
  ): void {
    const now = performance.now();
    this.#rateLimiter.setRates(workspaces, now);
    this.drain.retainRoutes(new Set(routes.map(({ name }) => name)));
    if (ageMs !== undefined) {
      this.#metrics.configurationLag.observe(ageMs / SECOND_MS);
    }
    write("configured", {
      version,
      term: this.view.term,
      leader_age_ms: ageMs === undefined ? undefined : Math.round(ageMs),
    });
  }

  /** Removes the records of servers that the leader no longer lists. */
  #forgetRemovedServers(): void {
    const listed = this.view.serverRecords(performance.now()).map(({ id }) =>
      id
    );
    this.#serverTracker.retain(new Set(listed));
  }

  #reportSoon(): void {
    this.#hasNews = true;
    this.#leaderSync.reportSoon();
  }

  #onReportResponse(
    response: gateway.ReportResponse,
    report: leaderSync.LocalReport,
    requestedAt: core.gateway.ClockReading,
    isFirst: boolean,
  ): void {
    const now = performance.now();
    this.#rateLimiter.acknowledgeUsage(report.usage);
    this.#ownStreams.acknowledge(report.streams, response.term);
    this.#rateLimiter.applyRemoteUsage(response.term, response.usage, now);
    if (response.term >= this.view.term) {
      this.#usageFreshness.confirm(requestedAt);
    }
    this.#retryBudgets.setHostCount(response.hostCount, now);
    this.#rateLimiter.setHostCount(this.#retryBudgets.hostCount);
    this.#applyLevels(response, isFirst, now);
    this.#serverTracker.applyFleetLoad(response.load, now);
    this.#unitBorrower.onLent(response.lent, requestedAt);
    this.#crashSuspects.onReportResponse(response);
    this.#usageCounter.onReportResponse(
      response,
      report,
      requestedAt.monotonicMs,
    );
    this.#serverSelector.processQueue();
    this.#forecasts.apply(response.forecasts, requestedAt.monotonicMs);
    this.#serverSelector.applyForecasts(response.forecasts);
  }

  /** A leader of an earlier build tells no levels. */
  #applyLevels(
    { missing, term }: gateway.ReportResponse,
    isFirst: boolean,
    now: number,
  ): void {
    if (missing === undefined) return;
    this.#rateLimiter.applyLevels(missing, isFirst, now);
    write("rates-told", {
      term,
      first: isFirst,
      missing: missing.map(({ tokens, workspace }) =>
        `${workspace}:${Math.round(tokens)}`
      ).slice(0, MAX_LOGGED_WORKSPACES).join(","),
    });
  }

  #countArrival(context: types.RequestContext): void {
    const now = performance.now();
    const isReturning = this.#returningCallers.recordArrival(context, now);
    if (this.#arrivals.add(context, isReturning)) this.#hasNews = true;
  }

  #collectReport(): leaderSync.LocalReport {
    const arrivals = this.#arrivals.take();
    // Demand that expires has to be reported as gone.
    this.#hasNews = this.#expectedReturns.count > 0;
    const suspicions = this.#crashSuspects.takeReports();
    const leaving = this.#collectLeaving();
    return {
      demand: this.#collectDemand(arrivals),
      usage: this.#rateLimiter.usage(),
      load: this.#serverTracker.takeLoad(),
      requests: this.#collectRequests(),
      wanted: this.#unitBorrower.collectWanted(),
      streams: this.#ownStreams.collect(this.view.term, performance.now()),
      ...this.#usageCounter.collect(this.view.term),
      ...(suspicions.length === 0 ? {} : { suspicions }),
      ...(leaving.length === 0 ? {} : { leaving }),
    };
  }

  /** Servers that leave, as they have said, and that the leader deems ready. */
  #collectLeaving(): gateway.ServerStart[] {
    const now = performance.now();
    const { availability } = this.#serverTracker;
    return [...availability.leavingServers()]
      .flatMap((id) => this.view.server(id)?.record ?? [])
      .filter((server) =>
        server.state === "ready" &&
        availability.of(server, now).kind === "leaving"
      )
      .map(({ born, id }) => ({ id, born }));
  }

  /**
   * First attempts by service, and the services that requests wait for without
   * any: the leader's answer has the load of their servers.
   */
  #collectRequests(): gateway.RequestCount[] {
    const requests = this.#retryBudgets.collectRequests();
    const services = new Set(requests.map(({ service }) => service));
    for (const { service } of this.#serverSelector.queuedRequests()) {
      if (services.has(service.name)) continue;
      services.add(service.name);
      requests.push({ service: service.name, count: 0 });
    }
    return requests;
  }

  /** Demand of this host by service, model and adapter. */
  #collectDemand(
    arrivals: readonly arrivalCounts.ArrivalCount[],
  ): gateway.ModelDemand[] {
    const now = performance.now();
    const demands = new Map<string, gateway.ModelDemand>();
    const demandOf = (
      service: string,
      model: string,
      adapter: string | undefined,
      softwareVersion?: string,
    ) => {
      const modelKey = demandKey(service, model, adapter);
      const key = softwareVersion === undefined
        ? modelKey
        : `${modelKey} at ${softwareVersion}`;
      const demand = demands.get(key) ?? {
        service,
        model,
        ...(adapter === undefined ? {} : { adapter }),
        ...(softwareVersion === undefined ? {} : { softwareVersion }),
        slacksMs: [],
        running: 0,
        arrivals: 0,
      };
      demands.set(key, demand);
      return demand;
    };
    for (const arrived of arrivals) {
      const { adapter, count, model, returned, service } = arrived;
      const demand = demandOf(service, model, adapter);
      demand.arrivals += count;
      if (returned > 0) demand.returned = returned;
    }
    const returning = this.#expectedReturns.due(now);
    for (
      const { adapter, dueAt, model, service, softwareVersion } of returning
    ) {
      const demand = demandOf(service, model, adapter, softwareVersion);
      const dueMs = Math.round(dueAt - now);
      demand.slacksMs.push(dueMs);
      (demand.returningMs ??= []).push(dueMs);
    }
    const waiting = [
      ...[...this.#serverSelector.queuedRequests()].map((context) => ({
        context,
        dueAt: context.arrivedAt + context.route.targetMs,
      })),
      ...this.#removalWatch.moves(),
    ];
    for (const { context, dueAt } of waiting) {
      const { metadata, origin, service } = context;
      if (metadata.model === undefined || service.engine === undefined) {
        continue;
      }
      const demand = demandOf(
        service.name,
        metadata.model,
        metadata.adapter,
        origin?.softwareVersion ?? undefined,
      );
      demand.slacksMs.push(Math.round(dueAt - now));
    }
    for (
      const { adapter, count, model, server } of this.#serverTracker
        .runningModels()
    ) {
      const service = this.view.server(server)?.record.service;
      if (service === undefined || model === undefined) continue;
      demandOf(service, model, adapter).running += count;
    }
    return [...demands.values()];
  }
}

function demandKey(
  service: string,
  model: string,
  adapter: string | undefined,
): string {
  return `${service} ${model} ${adapter ?? ""}`;
}
