/**
 * The entry role of a host: the callers' interface and what serves it.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as backend from "../backend/mod.ts";
import * as entry from "../entry/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as host from "../host/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import * as security from "../security/mod.ts";

/** Random bytes of the request id of a deferred execution. */
const REQUEST_ID_BYTES = 12;

/** What the entry role shares with the rest of its host. */
export interface EntryRoleOptions {
  readonly identity: protocol.control.HostIdentity;
  readonly settings: protocol.settings.Settings;
  readonly state: host.FleetState;
  readonly leader: fleet.LeaderClient;
  readonly shares: core.limits.HostShares;
  readonly metrics: metrics.Metrics;
  readonly proposer: host.Proposer;
  readonly proposals: host.RetryingProposer;
  requestExchange(): void;
  /** Takes a new incarnation: the present one was declared lost. */
  renewIncarnation(): void;
  readiness(): entry.Readiness;
  /** Whether the host has finished its work and only hands over. */
  isLeaving(): boolean;
}

/** Serves callers at one host. */
export class EntryRole implements host.ExchangeReporter, AsyncDisposable {
  readonly callers: entry.CallerHandler;
  readonly atMostOnce: entry.AtMostOnce;
  readonly deferred: entry.DeferredRequests;
  readonly explainer: entry.Explainer;
  readonly #admission: entry.Admission;
  readonly #placement: entry.PlacementQueue;
  readonly #clock = new entry.StallAwareClock();
  readonly #dispatcher: entry.Dispatcher;
  readonly #expected: entry.ExpectedSlots;
  readonly #client = new backend.InferenceClient();
  readonly #suspects = new core.suspicion.HostSuspects();
  readonly #demand: entry.DemandReport;
  readonly #options: EntryRoleOptions;

  constructor(options: EntryRoleOptions) {
    const { identity, metrics, proposals, proposer, shares, state } = options;
    const { limits } = options.settings;
    const requestExchange = () => options.requestExchange();
    this.#options = options;
    this.#admission = new entry.Admission({
      shares,
      requestShares: requestExchange,
      isCurrent: () => state.isCurrent(performance.now()),
    });
    this.#placement = new entry.PlacementQueue({
      state,
      shares,
      suspects: this.#suspects,
      maxQueue: limits.maxQueue,
      requestExchange: () => {
        options.requestExchange();
        this.#expected.update(performance.now());
      },
    });
    this.#expected = new entry.ExpectedSlots({
      state,
      shares,
      waiting: () => this.#placement.waiting(),
      requestExchange,
    });
    this.#dispatcher = new entry.Dispatcher({
      state,
      shares,
      admission: this.#admission,
      placement: this.#placement,
      client: this.#client,
      suspects: this.#suspects,
      crashDetector: new entry.CrashDetector({
        client: this.#client,
        suspects: this.#suspects,
        state,
        requestExchange,
      }),
      metrics,
      streamIdleTimeoutMs: limits.streamIdleTimeoutMs,
      clock: this.#clock,
    });
    this.#demand = new entry.DemandReport(
      this.#admission,
      this.#placement,
      this.#dispatcher,
    );
    this.explainer = new entry.Explainer({
      identity,
      state,
      shares,
      admission: this.#admission,
      placement: this.#placement,
    });
    const run = this.#run.bind(this);
    const { maxAnswerBytes } = limits;
    this.atMostOnce = new entry.AtMostOnce({
      identity,
      maxAnswerBytes,
      proposer,
      proposals,
      run,
      onHostLost: () => options.renewIncarnation(),
    });
    this.deferred = new entry.DeferredRequests({
      identity,
      maxAnswerBytes,
      proposer,
      proposals,
      leader: options.leader,
      restore: this.#restore.bind(this),
      run,
    });
    this.callers = new entry.CallerHandler({
      state,
      limits,
      metrics,
      run,
      atMostOnce: this.atMostOnce,
      deferred: this.deferred,
      readiness: () => options.readiness(),
    });
    state.on("change", () => this.pump());
  }

  /** Requests that have not ended. */
  get openCount(): number {
    return this.callers.openCount + this.#dispatcher.running.size +
      this.atMostOnce.activeCount + this.deferred.executingCount;
  }

  /** Serves what waits, after shares, servers or freshness have changed. */
  pump(): void {
    this.#admission.admitWaiting();
    this.#placement.placeWaiting();
    this.#expected.update(performance.now());
  }

  /** Sets the metrics that are looked up when they are read. */
  updateMetrics(): void {
    const { metrics } = this.#options;
    metrics.running.set(this.#dispatcher.running.size);
    metrics.waiting.set({ for: "tokens" }, count(this.#admission.waiting()));
    metrics.waiting.set({ for: "slot" }, count(this.#placement.waiting()));
  }

  demand(): protocol.control.Demand[] {
    return this.#demand.take(performance.now());
  }

  lingering(): protocol.control.LingeringRequests[] {
    const { servers } = this.#options.state;
    return entry.countLingering(this.#dispatcher.running, servers);
  }

  takeSuspicions(): protocol.suspicion.SuspicionReport[] {
    return this.#suspects.takeReports();
  }

  returnSuspicions(reports: protocol.suspicion.SuspicionReport[]): void {
    this.#suspects.requeueReports(reports);
  }

  /** Takes the leader's answer to an exchange. */
  answered(answer: protocol.control.ExchangeResponse): void {
    this.#suspects.update(answer.watched, performance.now());
    if (this.#options.isLeaving()) this.deferred.decline(answer.assignments);
    else this.deferred.execute(answer.assignments);
    this.deferred.abortCancelled(answer.cancellations);
    this.pump();
  }

  /**
   * Begins to refuse what cannot end before this host does.
   *
   * @param endsAt monotonic time at which what still runs ends, in milliseconds
   */
  beginDrain(endsAt: number): void {
    this.#placement.beginDrain(endsAt);
  }

  /** Returns deferred requests that were sent to no server yet. */
  handBack(): void {
    this.deferred.returnWaiting([
      ...this.#admission.waiting(),
      ...this.#placement.untried(),
    ]);
  }

  deferredCapacity(): number {
    return this.deferred.capacity;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#clock[Symbol.dispose]();
    await this.#client[Symbol.asyncDispose]();
  }

  async #run(
    work: entry.Work,
    sink: entry.Sink,
    signal: AbortSignal,
  ): Promise<void> {
    this.#demand.recordArrival(work.target);
    await this.#dispatcher.run(work, sink, signal);
  }

  #restore(
    stored: protocol.state.StoredRequest,
    remainingMs: number,
  ): entry.Work {
    return entry.resolveStored(stored, remainingMs, {
      requestId: security.randomId(REQUEST_ID_BYTES),
      view: this.#options.state.view,
      now: performance.now(),
    });
  }
}

function count(items: Iterable<unknown>): number {
  return [...items].length;
}
