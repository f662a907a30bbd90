/**
 * A control host: one voter or learner of the replicated state, and the
 * leadership while it leads.
 *
 * @module
 */
import type * as http from "node:http";
import type * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as fleet from "../fleet/mod.ts";
import * as log from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import * as leaderships from "./leadership.ts";
import * as queries from "./queries.ts";
import type * as replicatedState from "./replicated_state.ts";

const write = log.createLog("control");

const SECOND_MS = 1_000;
/** Time between two looks at who leads, in milliseconds. */
const WATCH_MS = 20;

/**
 * Longest lapse of the lease over which a leadership keeps its state, in
 * milliseconds. A host that stalls or waits for a processor loses its lease until
 * the next heartbeat is answered. After longer silence, servers would count as
 * gone that only could not announce themselves.
 */
const MAX_LAPSE_MS = 500;

/** The replicated log with its place in the group. */
export interface ReplicatedLog extends replicatedState.CommandLog {
  readonly role: string;
  readonly term: number;
  /** Index of the last entry, committed or not. */
  readonly lastIndex: number;
  /** Fleet address of the leader, where it is known. */
  readonly leaderAddress: string | null;
  /** Whether no other member can lead at this moment. */
  hasLease(): boolean;
  /** The members of the group. */
  members(): protocol.control.ControlHost[];
  /** The members with what the leader knows of them. */
  status(): protocol.operators.Members;
}

/** What a control host works with. */
export interface ControlNodeOptions {
  readonly address: string;
  readonly log: ReplicatedLog;
  readonly replicated: replicatedState.ReplicatedState;
  readonly metrics: metrics.Metrics;
}

/** Serves the replicated state to the fleet while this host leads. */
export class ControlNode {
  readonly #options: ControlNodeOptions;
  readonly #timer: NodeJS.Timeout;
  #leadership: leaderships.Leadership | undefined;
  /** When the lease was first missed; monotonic, in milliseconds. */
  #lapsedAt: number | undefined;

  constructor(options: ControlNodeOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#watch(), WATCH_MS);
  }

  /** The leadership, while this host leads under its lease. */
  get leadership(): leaderships.Leadership | undefined {
    return this.#options.log.hasLease() ? this.#leadership : undefined;
  }

  /** Adds the methods and paths of a control host to the fleet listener. */
  register(rpc: fleet.RpcServer): void {
    const { control } = protocol;
    rpc.addMethod(
      control.EXCHANGE_METHOD,
      control.ExchangeRequest,
      (request) => this.#exchange(request),
    );
    rpc.addMethod(
      control.ANNOUNCE_METHOD,
      control.AnnounceRequest,
      (request) =>
        this.#underLease("announce", (one) => {
          one.announce(request.announcements);
          return null;
        }),
    );
    rpc.addMethod(
      control.PROPOSE_METHOD,
      control.ProposeRequest,
      (request) => this.propose(request.command),
    );
    rpc.addMethod(
      control.DEFERRED_STATUS_METHOD,
      control.DeferredStatusRequest,
      (request) => this.#underLease("answer", () => this.#answer(request)),
    );
    rpc.addMethod(
      control.READ_METHOD,
      control.Query,
      (query) =>
        this.#underLease("read", (leadership) =>
          queries.answer(query, {
            state: this.#options.replicated.state,
            hosts: leadership.hosts,
            members: () => this.#options.log.status(),
            now: performance.now(),
          })),
    );
    rpc.addLeaderGuard(
      [
        control.EXCHANGE_METHOD,
        control.ANNOUNCE_METHOD,
        control.PROPOSE_METHOD,
        control.DEFERRED_STATUS_METHOD,
        control.READ_METHOD,
      ],
      () =>
        this.leadership === undefined
          ? { leader: this.#otherLeader() }
          : undefined,
    );
    rpc.addStream("/feed", (body, response) => this.#feed(body, response));
  }

  /**
   * Proposes a command, if this host leads.
   *
   * @throws {fleet.NotLeader} another host leads, or none
   * @throws {fleet.OutcomeUnknown} the command may still be committed
   */
  async propose(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult> {
    this.#require("propose");
    const { log, metrics, replicated } = this.#options;
    const committed = metrics.commit.startTimer();
    const result = await replicated.propose(log, command, Date.now());
    committed();
    return result;
  }

  /** Sets the metrics that are looked up when they are read. */
  updateMetrics(timeMs: number): void {
    const { metrics, replicated } = this.#options;
    const waiting = replicated.state.waitingDeferred();
    const assigned = replicated.state.assignedDeferred();
    const oldestMs = waiting[0]?.acceptedMs ?? timeMs;
    metrics.deferredRequests.set({ phase: "waiting" }, waiting.length);
    metrics.deferredRequests.set({ phase: "assigned" }, assigned.length);
    metrics.deferredAge.set(Math.max(0, timeMs - oldestMs) / SECOND_MS);
    const pools = replicated.state.grantablePools();
    metrics.grantablePools.set({ kind: "tokens" }, pools?.buckets.size ?? 0);
    metrics.grantablePools.set({ kind: "slots" }, pools?.servers.size ?? 0);
    this.#updateSpareVoters();
  }

  /** Only the leader hears the voters: elsewhere the metric is absent. */
  #updateSpareVoters(): void {
    const { log, metrics } = this.#options;
    if (this.leadership === undefined) metrics.spareVoters.remove();
    else metrics.spareVoters.set(log.status().mayLose);
  }

  /**
   * The first result of an operator's change; `undefined` for a new one.
   *
   * @throws {fleet.NotLeader} only the leader knows everything committed
   */
  earlierResult(
    command: core.state.OperatorCommand,
  ): protocol.state.CommandResult | undefined {
    return this.#underLease(
      "change-members",
      () => this.#options.replicated.state.earlierResult(command),
    );
  }

  [Symbol.dispose](): void {
    clearInterval(this.#timer);
    this.#endLeadership();
  }

  #require(step: string): leaderships.Leadership {
    const { leadership } = this;
    if (leadership !== undefined) return leadership;
    const { address } = this.#options;
    throw new fleet.NotLeader(step, address, this.#otherLeader());
  }

  /** Fleet address of the leader, if it is another host that is known. */
  #otherLeader(): string | null {
    const { address, log } = this.#options;
    return log.leaderAddress === address ? null : log.leaderAddress;
  }

  async #exchange(
    request: protocol.control.ExchangeRequest,
  ): Promise<leaderships.ExchangeAnswer> {
    const receivedAt = performance.now();
    await this.#require("exchange").prepare(request);
    return this.#underLease(
      "exchange",
      (one) => one.exchange(request, receivedAt),
    );
  }

  /** Runs a step and gives its result only if the lease outlived it. */
  #underLease<Result>(
    step: string,
    run: (leadership: leaderships.Leadership) => Result,
  ): Result {
    const result = run(this.#require(step));
    this.#require(step);
    return result;
  }

  #feed(body: unknown, response: http.ServerResponse): void {
    const { leadership } = this;
    if (leadership !== undefined) return leadership.attachFeed(body, response);
    response.writeHead(421).end();
  }

  #answer(
    request: protocol.control.DeferredStatusRequest,
  ): protocol.control.DeferredStatus {
    const { state } = this.#options.replicated;
    const found = state.deferred(request.id);
    if (found === undefined || found.workspace !== request.workspace) {
      return { kind: "unknown" };
    }
    if (found.phase.kind === "ended") {
      return { kind: "ended", answer: found.phase.answer };
    }
    return {
      kind: "pending",
      running: found.phase.kind === "assigned",
      remainingMs: found.deadlineMs - Date.now(),
    };
  }

  /** Begins and ends the leadership as the log's role and lease change. */
  #watch(): void {
    const { log, metrics } = this.#options;
    const leads = log.role === "leader" && log.hasLease();
    metrics.leading.set(leads ? 1 : 0);
    metrics.term.set(log.term);
    metrics.appliedIndex.set(this.#options.replicated.appliedIndex);
    if (this.#leadership !== undefined && !this.#mayKeep(this.#leadership)) {
      this.#endLeadership();
    }
    if (leads && this.#leadership === undefined && this.#isCaughtUp()) {
      this.#leadership = this.#startLeadership();
    }
  }

  /**
   * Whether a leadership goes on. While its lease has lapsed it does nothing. If
   * the lease comes back in the same term, no other leader can have been between:
   * the majority that renews it has voted for none.
   */
  #mayKeep({ term }: leaderships.Leadership): boolean {
    const { log } = this.#options;
    if (log.role !== "leader" || log.term !== term) return false;
    const now = performance.now();
    if (!log.hasLease()) {
      if (this.#lapsedAt === undefined) write("lease-lapsed", { term });
      this.#lapsedAt ??= now;
      return now - this.#lapsedAt <= MAX_LAPSE_MS;
    }
    if (this.#lapsedAt !== undefined) {
      write("lease-regained", { term, ms: Math.round(now - this.#lapsedAt) });
    }
    this.#lapsedAt = undefined;
    return true;
  }

  /**
   * A leader knows everything committed once it applied its own term. After a
   * long lapse of its lease it also waits for what it proposed before, which the new
   * leadership would know nothing of.
   */
  #isCaughtUp(): boolean {
    const { log, replicated } = this.#options;
    return replicated.appliedTerm === log.term &&
      replicated.appliedIndex >= log.lastIndex;
  }

  #startLeadership(): leaderships.Leadership {
    const { log, metrics, replicated } = this.#options;
    return new leaderships.Leadership({
      term: log.term,
      replicated,
      metrics,
      controlHosts: () => log.members(),
      hasLease: () => log.hasLease(),
      lastIndex: () => log.lastIndex,
      propose: (command) => this.propose(command),
    });
  }

  #endLeadership(): void {
    if (this.#leadership === undefined) return;
    write("leadership-ended", { term: this.#leadership.term });
    this.#leadership[Symbol.dispose]();
    this.#leadership = undefined;
    this.#lapsedAt = undefined;
  }
}
