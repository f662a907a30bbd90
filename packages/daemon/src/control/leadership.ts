/**
 * What the leader of the replicated state keeps while it leads: hosts, backend
 * servers, shares and the feed. None of it is durable.
 *
 * @module
 */
import type * as http from "node:http";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as v from "valibot";
import * as feed from "../feed/mod.ts";
import * as fleet from "../fleet/mod.ts";
import * as log from "../log/mod.ts";
import * as suspicion from "../suspicion/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import * as announcementIntake from "./announcement_intake.ts";
import * as buckets from "./bucket_table.ts";
import * as deferredDriver from "./deferred_driver.ts";
import * as grantDriver from "./grant_driver.ts";
import * as hostRegistry from "./host_registry.ts";
import * as placementDriver from "./placement_driver.ts";
import type * as replicatedState from "./replicated_state.ts";
import * as servers from "./server_table.ts";
import * as upkeep from "./upkeep.ts";

const write = log.createLog("leadership");

/** Time between two looks at what is due, in milliseconds. */
const TICK_MS = 50;
/** Time for which demand is collected before it is planned for, in ms. */
const COALESCING_MS = 10;
/** Shortest time between two calls for unused slots, in milliseconds. */
const RECALL_INTERVAL_MS = 50;
/** Shortest time between two calls for reports, in milliseconds. */
const REPORT_INTERVAL_MS = 250;
/** Time between two heartbeats of the feed, in milliseconds. */
const HEARTBEAT_MS = 500;

/**
 * Log index of the first entry of the first leader: before it stands only the
 * formation of the group, so that no earlier leader can have granted shares.
 */
const FIRST_LEADERSHIP_INDEX = 2;

/** An answer as it is sent. */
export type ExchangeAnswer = v.InferInput<
  typeof protocol.control.ExchangeResponse
>;

/** What a leadership works with. */
export interface LeadershipOptions {
  readonly term: number;
  readonly replicated: replicatedState.ReplicatedState;
  readonly metrics: metrics.Metrics;
  controlHosts(): protocol.control.ControlHost[];
  /** Whether no other host can lead at this moment. */
  hasLease(): boolean;
  /** Index of the last entry of the log, committed or not. */
  lastIndex(): number;
  /** Proposes a change of the leader itself. */
  propose(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult>;
}

/** The soft state of one term of leadership. */
export class Leadership implements Disposable {
  readonly hosts = new hostRegistry.HostRegistry();
  readonly #options: LeadershipOptions;
  readonly #shares = new core.limits.ShareAllocator();
  readonly #buckets = new buckets.BucketTable(this.#shares);
  readonly #grants: grantDriver.GrantDriver;
  readonly #placement: placementDriver.PlacementDriver;
  readonly #servers: servers.ServerTable;
  readonly #intake: announcementIntake.AnnouncementIntake;
  readonly #deferred: deferredDriver.DeferredDriver;
  readonly #upkeep: upkeep.Upkeep;
  readonly #suspicion: suspicion.SuspicionDriver;
  readonly #publisher: feed.FeedPublisher;
  readonly #timer: NodeJS.Timeout;
  #soon: NodeJS.Timeout | undefined;
  #immediate: NodeJS.Immediate | undefined;
  #heartbeatAt = 0;
  #recalledAt = 0;
  #askedAt = 0;
  /** When shares were last granted. */
  #grantedAt: number | undefined;
  #plannedAt = Number.NEGATIVE_INFINITY;

  constructor(options: LeadershipOptions) {
    const now = performance.now();
    const { replicated } = options;
    this.#options = options;
    const isFirst = replicated.appliedIndex <= FIRST_LEADERSHIP_INDEX;
    this.#shares.takeLeadership({
      term: options.term,
      isFirst,
      grantablePools: grantableIn(replicated),
    }, now);
    this.#grants = new grantDriver.GrantDriver({
      shares: this.#shares,
      propose: options.propose,
    });
    this.#placement = new placementDriver.PlacementDriver({
      ...options,
      hosts: this.hosts,
      onProgress: () => this.#planNow(),
      onReportsWanted: () => this.#askForReports(performance.now()),
    }, now);
    const { placement } = this.#placement;
    this.#servers = new servers.ServerTable(this.#shares, placement);
    this.#intake = new announcementIntake.AnnouncementIntake({
      placement,
      servers: this.#servers,
    });
    this.#deferred = new deferredDriver.DeferredDriver({
      replicated,
      placement,
      servers: this.#servers,
      hosts: this.hosts,
      lastIndex: options.lastIndex,
      propose: options.propose,
    });
    this.#upkeep = new upkeep.Upkeep({
      replicated,
      hosts: this.hosts,
      propose: options.propose,
      startedAt: now,
    });
    this.#suspicion = new suspicion.SuspicionDriver({
      quarantine: (request) =>
        options.propose({
          kind: "quarantine",
          ...request,
          durationMs: core.suspicion.QUARANTINE_MS,
        }),
    });
    this.#publisher = new feed.FeedPublisher({
      term: () => options.term,
      view: () => replicated.state.view(),
      servers: () => this.#servers.statuses(),
      controlHosts: options.controlHosts,
      changes: () => replicated.changes,
    });
    replicated.on("changes", this.#onChanges);
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
    write("started", { term: options.term });
    this.#tick();
  }

  /** Term of this leadership. */
  get term(): number {
    return this.#options.term;
  }

  /** Opens the feed of a host. */
  attachFeed(body: unknown, response: http.ServerResponse): void {
    this.#publisher.attach(body, response);
  }

  /** Has the log say of which pools an exchange may be granted shares. */
  async prepare(request: protocol.control.ExchangeRequest): Promise<void> {
    if (request.shares === undefined) return;
    await this.#grants.openFor(request.shares);
  }

  /**
   * Answers the exchange of a host.
   *
   * @param receivedAt when the request came; monotonic, in milliseconds
   */
  exchange(
    request: protocol.control.ExchangeRequest,
    receivedAt: number,
  ): ExchangeAnswer {
    const { replicated, term } = this.#options;
    const { host } = request;
    if (request.appliedIndex > replicated.appliedIndex) {
      throw new fleet.OutcomeUnknown(
        "exchange",
        host.name,
        "the host is ahead of the replicated state",
      );
    }
    const now = performance.now();
    this.hosts.hear(request, now);
    this.#placement.placement.recordDemand(
      `${host.name}/${host.incarnation}`,
      request.demand,
      now,
    );
    const watched = this.#suspicion.exchange(
      `${host.name}/${host.incarnation}`,
      request.suspicions,
      now,
    );
    const unrecognized = this.#intake.takeHeartbeats(
      request.heartbeats,
      receivedAt,
    );
    this.#takeDeaths(request.suspicions, now);
    if (request.demand.some((row) => row.waiting > 0)) this.#planFor(now);
    const shares = request.shares === undefined
      ? {}
      : { shares: this.#grant(request.shares, now) };
    if (this.#shares.takeRecallRequest()) this.#recall(now);
    return {
      term,
      viewIndex: replicated.changes.index,
      ...shares,
      ...this.#deferred.isAssigningTo(host) ? { assigning: true } : {},
      ...protocol.control.omitEmptyLists({
        watched,
        ...this.#deferred.handedTo(host),
        unrecognized,
      }),
    };
  }

  #grant(
    report: protocol.limits.ShareReport,
    now: number,
  ): protocol.limits.ShareGrant {
    if (this.#grantedAt === undefined) write("granting", { term: this.term });
    this.#grantedAt = now;
    return this.#shares.exchange(report, now);
  }

  /** Takes announcements that an entry host passed on. */
  announce(
    announcements: readonly protocol.control.RelayedAnnouncement[],
  ): void {
    // Anything else is seen at the next tick: many servers announce themselves.
    if (this.#intake.take(announcements, performance.now())) this.#planSoon();
  }

  /** Ends the leadership: the hosts look for the next leader. */
  [Symbol.dispose](): void {
    clearInterval(this.#timer);
    clearTimeout(this.#soon);
    clearImmediate(this.#immediate);
    this.#options.replicated.off("changes", this.#onChanges);
    this.#placement[Symbol.dispose]();
    this.#publisher[Symbol.dispose]();
    const now = performance.now();
    write("ended", {
      term: this.#options.term,
      sinceGrantMs: Math.floor(now - (this.#grantedAt ?? now)),
    });
  }

  readonly #onChanges = (
    index: number,
    changes: readonly protocol.state.ViewChange[],
  ): void => {
    changes.forEach((change) => this.#forgetDecided(change));
    this.#publisher.publish({
      kind: "changes",
      index,
      changes: [...changes],
    });
    this.#planSoon();
  };

  /** Quarantined and released requests are watched no longer. */
  #forgetDecided(change: protocol.state.ViewChange): void {
    if (change.kind === "quarantined") {
      this.#suspicion.forget(change.quarantine.fingerprint);
    }
    if (change.kind === "quarantine-ended") {
      this.#suspicion.forget(change.fingerprint);
    }
  }

  /** A dead server's models are wanted elsewhere at once. */
  #takeDeaths(
    reports: readonly protocol.suspicion.SuspicionReport[],
    now: number,
  ): void {
    const deaths = reports.filter((report) => report.kind === "death");
    for (const { server, incarnation } of deaths) {
      this.#placement.placement.markDown(server, incarnation, now);
    }
    if (deaths.length === 0) return;
    this.#planSoon();
    // Every host must hear of the suspects before they are sent again.
    this.#publisher.publish({ kind: "exchange-wanted" });
  }

  /** Asks hosts for slots that they do not use and others wait for. */
  #recall(now: number): void {
    if (now - this.#recalledAt < RECALL_INTERVAL_MS) return;
    this.#recalledAt = now;
    this.#publisher.publish({ kind: "exchange-wanted" });
  }

  /** Asks hosts what runs on replicas that are to be unloaded. */
  #askForReports(now: number): void {
    if (now - this.#askedAt < REPORT_INTERVAL_MS) return;
    this.#askedAt = now;
    this.#publisher.publish({ kind: "exchange-wanted" });
  }

  /** Plans for demand: at once, unless a plan was made just before. */
  #planFor(now: number): void {
    if (now - this.#plannedAt < COALESCING_MS) this.#planSoon();
    else this.#planNow();
  }

  /** Plans in this turn of the event loop, once. */
  #planNow(): void {
    this.#immediate ??= setImmediate(() => {
      this.#immediate = undefined;
      if (this.#options.hasLease()) this.#plan(performance.now());
    });
  }

  /** Plans once for all that arrives within a short time. */
  #planSoon(): void {
    this.#soon ??= setTimeout(() => {
      this.#soon = undefined;
      if (this.#options.hasLease()) this.#plan(performance.now());
    }, COALESCING_MS);
  }

  #tick(): void {
    if (!this.#options.hasLease()) return;
    const now = performance.now();
    this.#buckets.configure(
      this.#options.replicated.state.currentVersion(),
      now,
    );
    this.#shares.expire(now);
    this.#grants.run(now);
    this.hosts.expire(now);
    this.#upkeep.run(now);
    this.#suspicion.run(now);
    this.#deferred.run(now);
    this.#plan(now);
    if (now - this.#heartbeatAt < HEARTBEAT_MS) return;
    this.#heartbeatAt = now;
    this.#publisher.heartbeat();
  }

  #plan(now: number): void {
    this.#plannedAt = now;
    const { state } = this.#options.replicated;
    this.#placement.run(now);
    const withdrawn = new Set(state.withdrawnFailureDomains());
    const difference = this.#servers.update(withdrawn, now);
    if (difference.changed.length + difference.removed.length === 0) return;
    this.#publisher.publish({ kind: "servers", ...difference });
  }
}

/** Logs of early builds do not say of which pools shares were granted. */
function grantableIn(
  { state }: replicatedState.ReplicatedState,
): core.limits.CommittedGrantablePools {
  const pools = state.grantablePools();
  return {
    buckets: pools?.buckets ?? new Set(),
    servers: pools?.servers ?? new Set(),
    isComplete: pools !== undefined,
  };
}
