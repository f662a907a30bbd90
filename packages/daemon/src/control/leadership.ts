/**
 * What the leader of the replicated state keeps while it leads: hosts, backend
 * servers, shares and the feed. None of it is durable.
 *
 * @module
 */
import type * as http from "node:http";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as feed from "../feed/mod.ts";
import * as fleet from "../fleet/mod.ts";
import * as log from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import * as hostRegistry from "./host_registry.ts";
import type * as replicatedState from "./replicated_state.ts";
import * as servers from "./server_table.ts";

const write = log.createLog("leadership");

/** Time between two looks at what is due, in milliseconds. */
const TICK_MS = 50;
/** Time between two heartbeats of the feed, in milliseconds. */
const HEARTBEAT_MS = 500;

/** What a leadership works with. */
export interface LeadershipOptions {
  readonly term: number;
  readonly replicated: replicatedState.ReplicatedState;
  readonly metrics: metrics.Metrics;
  controlHosts(): protocol.control.ControlHost[];
  /** Whether no other host can lead at this moment. */
  hasLease(): boolean;
  /** Proposes a change of the leader itself. */
  propose(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult>;
}

/** The soft state of one term of leadership. */
export class Leadership {
  readonly hosts = new hostRegistry.HostRegistry();
  readonly servers: servers.ServerTable;
  readonly #options: LeadershipOptions;
  readonly #shares = new core.limits.ShareLeader();
  readonly #publisher: feed.FeedPublisher;
  readonly #timer: NodeJS.Timeout;
  #heartbeatAt = 0;
  #configuredVersion = -1;

  constructor(options: LeadershipOptions) {
    this.#options = options;
    const now = performance.now();
    this.#shares.takeLeadership({ term: options.term }, now);
    this.servers = new servers.ServerTable(this.#shares);
    this.#publisher = new feed.FeedPublisher({
      term: () => options.term,
      view: () => options.replicated.state.view(),
      servers: () => this.servers.statuses(),
      controlHosts: options.controlHosts,
      changes: () => options.replicated.changes,
    });
    options.replicated.on("changes", this.#onChanges);
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

  /** Answers the exchange of a host. */
  exchange(
    request: protocol.control.ExchangeRequest,
  ): protocol.control.ExchangeResponse {
    const { replicated, term } = this.#options;
    if (request.appliedIndex > replicated.appliedIndex) {
      throw new fleet.RemoteError(
        "exchange",
        request.host.name,
        "the host is ahead of the replicated state",
        fleet.OUTCOME_UNKNOWN_CODE,
      );
    }
    const now = performance.now();
    this.hosts.hear(request, now);
    const shares = request.shares === undefined
      ? {}
      : { shares: this.#shares.exchange(request.shares, now) };
    return {
      term,
      viewIndex: replicated.changes.index,
      ...shares,
      watched: [],
      assignments: [],
    };
  }

  /** Takes announcements that an entry host passed on. */
  announce(announcements: readonly protocol.backend.Announcement[]): void {
    const now = performance.now();
    for (const announcement of announcements) {
      this.servers.hear(announcement, now);
    }
    this.#publishServers(now);
  }

  /** Ends the leadership: the hosts look for the next leader. */
  [Symbol.dispose](): void {
    clearInterval(this.#timer);
    this.#options.replicated.off("changes", this.#onChanges);
    this.#publisher[Symbol.dispose]();
    write("ended", { term: this.#options.term });
  }

  readonly #onChanges = (
    index: number,
    changes: readonly protocol.state.ViewChange[],
  ): void => {
    this.#publisher.publish({
      kind: "changes",
      index,
      changes: [...changes],
    });
    this.#publishServers(performance.now());
  };

  #tick(): void {
    if (!this.#options.hasLease()) return;
    const now = performance.now();
    this.#configureBuckets(now);
    this.#shares.expire(now);
    this.hosts.expire(now);
    this.#publishServers(now);
    if (now - this.#heartbeatAt < HEARTBEAT_MS) return;
    this.#heartbeatAt = now;
    this.#publisher.heartbeat();
  }

  #publishServers(now: number): void {
    const { state } = this.#options.replicated;
    const difference = this.servers.update(
      new Set(state.withdrawnFailureDomains()),
      now,
    );
    if (difference.changed.length + difference.removed.length === 0) return;
    this.#publisher.publish({ kind: "servers", ...difference });
  }

  /** Keeps the token buckets at what the workspaces bought. */
  #configureBuckets(now: number): void {
    const { version, configuration } = this.#options.replicated.state
      .current();
    if (version === this.#configuredVersion) return;
    const kept = new Set(configuration.workspaces.map((one) => one.name));
    for (const name of this.#buckets) {
      if (!kept.has(name)) this.#shares.removeBucket(name, now);
    }
    for (const { name, rate, burst } of configuration.workspaces) {
      this.#shares.setBucket(name, { rate, burst }, now, burst);
    }
    this.#buckets = kept;
    this.#configuredVersion = version;
  }

  #buckets: ReadonlySet<string> = new Set();
}
