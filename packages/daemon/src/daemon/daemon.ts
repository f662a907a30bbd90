/**
 * One host: its listeners, its roles and its place in the fleet.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as backend from "../backend/mod.ts";
import type * as entry from "../entry/mod.ts";
import * as feed from "../feed/mod.ts";
import * as fleet from "../fleet/mod.ts";
import * as host from "../host/mod.ts";
import * as listener from "../listener/mod.ts";
import * as log from "../log/mod.ts";
import * as metrics from "../metrics/mod.ts";
import * as resources from "../resources/mod.ts";
import * as security from "../security/mod.ts";
import type * as settings from "../settings/mod.ts";
import * as controlRole from "./control_role.ts";
import * as entryRole from "./entry_role.ts";
import * as operatorsRole from "./operators_role.ts";

const write = log.createLog("daemon");

/**
 * Time for which the first request on a connection that was accepted last is
 * waited for in a shutdown, in milliseconds.
 */
const FIRST_REQUEST_MS = 250;
/** Random bytes of the id of one start of the process. */
const INCARNATION_BYTES = 8;
const SECOND_MS = 1_000;
/** Time for the answers to calls that outlast the drain, in milliseconds. */
const LAST_ANSWERS_MS = 300;
/** Time between two looks at whether the host is current, in ms. */
const WATCH_MS = 100;
/** Exchanges without an answer after which a host leaves all the same. */
const LEAVE_ATTEMPTS = 3;
/** Time between two looks at what is left while draining, in ms. */
const DRAIN_POLL_MS = 20;

/** Addresses that a running host listens on. */
export interface Addresses {
  readonly callers: string | undefined;
  readonly backends: string | undefined;
  readonly operators: string;
  readonly fleet: string;
}

/** A running host. */
export class Daemon implements AsyncDisposable {
  readonly identity: protocol.control.HostIdentity;
  readonly state = new host.FleetState();
  readonly #loaded: settings.LoadedSettings;
  readonly #onFailure: (error: unknown) => void;
  readonly #resources = new resources.ResourceStack();
  readonly #metrics = new metrics.Metrics();
  readonly #rpcServer: fleet.RpcServer;
  readonly #rpcClient: fleet.RpcClient;
  readonly #leader: fleet.LeaderClient;
  readonly #shares: core.limits.HostShares;
  readonly #exchanger: host.Exchanger;
  readonly #proposals: host.RetryingProposer;
  readonly #stop = new AbortController();
  readonly #relay: host.AnnouncementRelay;
  #entry: entryRole.EntryRole | undefined;
  #control: controlRole.ControlRole | undefined;
  readonly #listeners = new Map<settings.ListenerName, listener.Listener>();
  #draining = false;
  /** A draining host takes no deferred work any more. */
  #leaving = false;
  #wasCurrent = false;
  #reportedIndex = -1;

  private constructor(
    loaded: settings.LoadedSettings,
    onFailure: (error: unknown) => void,
  ) {
    const { host: own, listen, control } = loaded.settings;
    this.#loaded = loaded;
    this.#onFailure = onFailure;
    this.identity = {
      name: own.name,
      incarnation: security.randomId(INCARNATION_BYTES),
      failureDomain: own.failureDomain,
    };
    this.#rpcServer = new fleet.RpcServer(loaded.fleetSecret);
    this.#rpcClient = new fleet.RpcClient({
      secret: loaded.fleetSecret,
      ...fleetTls(loaded),
      ...(listen.fleetSource === undefined
        ? {}
        : { source: listen.fleetSource }),
    });
    const seeds = own.roles.includes("control")
      ? [
        ...control.hosts,
        ...control.initialVoters,
        protocol.settings.fleetAddress(listen),
      ]
      : control.hosts;
    this.#leader = new fleet.LeaderClient(this.#rpcClient, seeds);
    this.#shares = new core.limits.HostShares(
      `${this.identity.name}/${this.identity.incarnation}`,
    );
    const proposer = new host.RemoteProposer(this.#leader);
    this.#proposals = new host.RetryingProposer(proposer);
    if (own.roles.includes("entry")) {
      this.#entry = this.#createEntry(proposer);
    }
    this.#relay = new host.AnnouncementRelay({
      leader: this.#leader,
      requestExchange: () => this.#exchanger.request(),
    });
    this.#exchanger = new host.Exchanger({
      identity: this.identity,
      roles: own.roles,
      leader: this.#leader,
      shares: this.#shares,
      state: this.state,
      reporter: this.#entry ?? host.EMPTY_REPORTER,
      announcements: this.#relay,
      isDraining: () => this.#draining,
    });
  }

  /**
   * Starts a host.
   *
   * @param onFailure called when the host can't go on: the process has to end
   *
   * @example
   * ```ts
   * await using daemon = await Daemon.start(await loadSettings(file), fail);
   * ```
   */
  static async start(
    loaded: settings.LoadedSettings,
    onFailure: (error: unknown) => void,
  ): Promise<Daemon> {
    const daemon = new Daemon(loaded, onFailure);
    try {
      await daemon.#start();
      return daemon;
    } catch (error) {
      await daemon[Symbol.asyncDispose]();
      throw error;
    }
  }

  /** Whether the host is current and takes new work. */
  readiness(): entry.Readiness {
    if (this.#draining) return { kind: "not-ready", reason: "shutting down" };
    if (!this.state.isCurrent(performance.now())) {
      return { kind: "not-ready", reason: "no current state" };
    }
    if (this.state.view.isFailureDomainWithdrawn(this.identity.failureDomain)) {
      return { kind: "not-ready", reason: "failure domain withdrawn" };
    }
    return { kind: "ready" };
  }

  /**
   * Takes new certificates for the connections to come. Listeners keep their
   * addresses, and links to other hosts their own certificate.
   */
  reloadCertificates(
    certificates: ReadonlyMap<settings.ListenerName, settings.Certificate>,
  ): void {
    for (const [name, certificate] of certificates) {
      this.#listeners.get(name)?.reload(certificate);
    }
    write("certificates-reloaded", { listeners: certificates.size });
  }

  /**
   * Shuts down without cutting a request: stops being ready, waits for the
   * balancer, finishes what is open and hands over shares and leadership.
   */
  async drain(): Promise<void> {
    const { limits } = this.#loaded.settings;
    write("draining", { host: this.identity.name });
    this.#draining = true;
    this.#exchanger.request();
    const until = performance.now() + limits.drainDelayMs +
      limits.drainTimeoutMs;
    this.#entry?.beginDrain(until);
    await timers.setTimeout(limits.drainDelayMs);
    const callers = this.#listeners.get("callers");
    // Connections that wait to be accepted are accepted before immediates run.
    await timers.setImmediate();
    callers?.stopAccepting();
    this.#leaving = true;
    this.#entry?.handBack();
    await timers.setTimeout(FIRST_REQUEST_MS);
    await this.#waitUntilIdle(until);
    await callers?.closeIdle();
    await this.#waitUntilIdle(until);
    await this.#endOpenCalls();
    this.#shares.releaseUnused(performance.now());
    await this.#takeLeave(until);
    await this.#control?.handOver();
    write("drained", { open: this.#entry?.openCount ?? 0 });
  }

  /**
   * Hands shares over, and returns deferred work, until the leader says that
   * nothing is assigned to this host and nothing will be.
   */
  async #takeLeave(until: number): Promise<void> {
    let failures = 0;
    while (failures < LEAVE_ATTEMPTS) {
      await this.#waitUntilIdle(until);
      await this.#proposals.settle(Math.max(0, until - performance.now()));
      const answer = await this.#exchanger.flush();
      if (answer === undefined) failures += 1;
      else if (hasNothingHanded(answer)) return;
      if (performance.now() >= until) return;
      await timers.setTimeout(DRAIN_POLL_MS);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    await this.#resources[Symbol.asyncDispose]();
  }

  async #start(): Promise<void> {
    const { settings } = this.#loaded;
    this.#resources.use(this.#rpcClient);
    if (settings.host.roles.includes("control")) {
      this.#control = this.#resources.use(
        await controlRole.ControlRole.start({
          loaded: this.#loaded,
          rpcServer: this.#rpcServer,
          rpcClient: this.#rpcClient,
          metrics: this.#metrics,
          onFailure: (error) => this.#onFailure(error),
        }),
      );
    }
    await this.#listen(
      "fleet",
      settings.listen.fleet,
      (request, response) => this.#rpcServer.handle(request, response),
    );
    this.#control?.join();
    await this.#startEntry();
    await this.#listen(
      "operators",
      settings.listen.operators,
      operatorsRole.createHandler({
        loaded: this.#loaded,
        identity: this.identity,
        leader: this.#leader,
        state: this.state,
        renderMetrics: () => this.#renderMetrics(),
        isCurrent: () => this.state.isCurrent(performance.now()),
        explainer: this.#entry?.explainer,
      }),
    );
    this.#follow();
  }

  async #startEntry(): Promise<void> {
    const { joinToken, settings } = this.#loaded;
    const role = this.#entry;
    if (role === undefined) return;
    this.#resources.use(role);
    const { listen, backends } = settings;
    if (listen.callers !== undefined) {
      await this.#listen(
        "callers",
        listen.callers,
        (request, response) => role.callers.handle(request, response),
      );
    }
    if (listen.backends === undefined || joinToken === undefined) return;
    await this.#listen(
      "backends",
      listen.backends,
      backend.createAnnouncementHandler({
        joinToken,
        allowedAddresses: backends?.allowedAddresses ?? [],
        isCurrent: () => this.state.isCurrent(performance.now()),
        onAnnouncement: (announcement) => this.#relay.add(announcement),
      }),
    );
  }

  /** Follows the leader: exchanges, feed and what depends on them. */
  #follow(): void {
    this.#resources.use(this.#exchanger);
    this.#resources.use(this.#relay);
    this.#resources.use(this.#proposals);
    this.#exchanger.on("answered", (answer) => this.#onAnswered(answer));
    this.#exchanger.on(
      "failed",
      () => this.#metrics.exchanges.inc({ result: "failed" }),
    );
    this.state.on("change", () => this.#onChange());
    this.state.on("exchangeWanted", () => this.#exchanger.recall());
    const watch = setInterval(() => this.#watch(), WATCH_MS);
    this.#resources.defer(() => clearInterval(watch));
    void feed.followFeed({
      host: this.identity.name,
      rpc: this.#rpcClient,
      leader: this.#leader,
      index: () => this.state.index,
      apply: (event) => this.state.apply(event),
    }, this.#stop.signal);
    this.#exchanger.start();
  }

  /** The fleet gave this start of the host up, for instance after a pause. */
  #renewIncarnation(): void {
    this.identity.incarnation = security.randomId(INCARNATION_BYTES);
    write("renewed", { incarnation: this.identity.incarnation });
    this.#exchanger.request();
  }

  #onAnswered(answer: protocol.control.ExchangeResponse): void {
    this.#metrics.exchanges.inc({ result: "answered" });
    this.#entry?.answered(answer);
  }

  /** Tells the leader at once when a change is in force here. */
  #onChange(): void {
    this.#leader.setControlHosts(this.state.controlHosts);
    this.#metrics.viewIndex.set(this.state.index);
    if (this.state.index === this.#reportedIndex) return;
    this.#reportedIndex = this.state.index;
    this.#exchanger.request();
  }

  #watch(): void {
    const isCurrent = this.state.isCurrent(performance.now());
    this.#metrics.current.set(isCurrent ? 1 : 0);
    if (isCurrent === this.#wasCurrent) return;
    this.#wasCurrent = isCurrent;
    write(isCurrent ? "ready" : "not-current", { index: this.state.index });
    this.#entry?.pump();
  }

  /** Gauges are set when they are read, not at every tick. */
  #renderMetrics(): Promise<string> {
    this.#entry?.updateMetrics();
    this.#control?.updateMetrics();
    this.#updateViewMetrics();
    return this.#metrics.registry.metrics();
  }

  #updateViewMetrics(): void {
    const now = performance.now();
    const servers = [...this.state.servers.values()];
    const usable = servers.filter((server) => server.usable);
    const slots = usable.reduce((sum, server) => sum + server.limit, 0);
    const unusable = servers.length - usable.length;
    const { backendServers, quarantined, serverSlots, viewAge } = this.#metrics;
    backendServers.set({ usable: "true" }, usable.length);
    backendServers.set({ usable: "false" }, unusable);
    serverSlots.set(slots);
    viewAge.set(this.state.ageMs(now) / SECOND_MS);
    quarantined.set(this.state.view.quarantineCount);
    this.#metrics.shareTokens.reset();
    for (const { name } of this.state.view.catalogue.workspaces()) {
      const tokens = this.#shares.availableTokens(name, now);
      this.#metrics.shareTokens.set({ workspace: name }, tokens);
    }
  }

  #createEntry(proposer: host.Proposer): entryRole.EntryRole {
    return new entryRole.EntryRole({
      identity: this.identity,
      settings: this.#loaded.settings,
      state: this.state,
      isLeaving: () => this.#leaving,
      leader: this.#leader,
      shares: this.#shares,
      metrics: this.#metrics,
      proposer,
      proposals: this.#proposals,
      requestExchange: () => this.#exchanger.request(),
      renewIncarnation: () => this.#renewIncarnation(),
      readiness: () => this.readiness(),
    });
  }

  async #listen(
    name: settings.ListenerName,
    endpoint: string,
    handler: listener.Handler,
  ): Promise<void> {
    const started = await listener.listen({
      name,
      endpoint,
      limits: this.#loaded.settings.limits,
      certificate: this.#loaded.certificates.get(name),
      handler,
      onFault: (listener, fault) =>
        this.#metrics.clientFaults.inc({ listener, fault }),
    });
    this.#resources.use(started);
    this.#listeners.set(name, started);
  }

  /** Answers the calls that outlast the drain. */
  async #endOpenCalls(): Promise<void> {
    const entry = this.#entry;
    if (entry === undefined || entry.callers.openCount === 0) return;
    write("ending-calls", { open: entry.callers.openCount });
    await entry.callers.endOpenCalls();
    const until = performance.now() + LAST_ANSWERS_MS;
    while (entry.callers.openCount > 0 && performance.now() < until) {
      await timers.setTimeout(DRAIN_POLL_MS);
    }
  }

  async #waitUntilIdle(until: number): Promise<void> {
    const isBusy = () => this.#entry !== undefined && this.#entry.openCount > 0;
    while (isBusy() && performance.now() < until) {
      await timers.setTimeout(DRAIN_POLL_MS);
    }
  }
}

/** Whether a host that shuts down has no deferred work, now or soon. */
function hasNothingHanded(
  { assigning, assignments, cancellations }: protocol.control.ExchangeResponse,
): boolean {
  return assigning === undefined && assignments.length === 0 &&
    cancellations.length === 0;
}

/** TLS of the links to other hosts: the fleet's authority and own key. */
function fleetTls(
  loaded: settings.LoadedSettings,
): Pick<fleet.LinkOptions, "tls"> {
  const own = loaded.certificates.get("fleet");
  if (own === undefined) return {};
  const { authority, certificate, key } = own;
  return {
    tls: {
      cert: certificate,
      key,
      ...(authority === undefined ? {} : { ca: authority }),
    },
  };
}
