/**
 * Synchronizes an entry host with the leader of the control hosts.
 *
 * The host watches the leader all the time, which also shows the leader that
 * the host is alive. It reports only what is new.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import type * as core from "@ebonypath/core";
import { gateway } from "@ebonypath/protocol";
import * as v from "valibot";
import type * as fleet from "../../fleet/mod.ts";
import * as log from "../../log/mod.ts";
import * as serverRecords from "../server_records.ts";
import * as clocks from "./clocks.ts";
import type * as fleetView from "./fleet_view.ts";

const write = log.createLog("follower");

/** Time limits of a watch call; the leader holds it open for up to 1 s. */
const WATCH_LIMITS = { attemptMs: 1_600, totalMs: 3_200, retryable: true };
/** Time limits of a question for the origin of a stream. */
const STREAM_LIMITS = { attemptMs: 300, totalMs: 600, retryable: true };
/** Time limits of a report. */
const REPORT_LIMITS = { attemptMs: 400, totalMs: 800, retryable: false };
/** Shortest interval between reports that are not urgent, in milliseconds. */
const MIN_REPORT_INTERVAL_MS = 250;
/** Longest interval, in milliseconds, however many hosts there are. */
const MAX_REPORT_INTERVAL_MS = 2_000;
/** Reports per second that the leader gets from all hosts, unless urgent. */
const FLEET_REPORTS_PER_SECOND = 400;
/** Time over which requests for an early report are batched, in ms. */
const EARLY_REPORT_DELAY_MS = 3;
/** Delay after a failed watch call, in milliseconds. */
const WATCH_RETRY_MS = 60;
const SECOND_MS = 1_000;

const WatchResponse = serverRecords.withSoundServers(gateway.WatchResponse);

/** The part of a report that describes this host. */
export type LocalReport = Omit<
  gateway.ReportRequest,
  "host" | "sequence" | "answered" | "servers" | "missing"
>;

/** Dependencies and callbacks of a `LeaderSync`. */
export interface LeaderSyncOptions {
  /** Name and incarnation of this host. */
  readonly host: string;
  readonly leader: Pick<
    fleet.LeaderClient,
    "call" | "leader" | "setControlHosts"
  >;
  readonly view: fleetView.FleetView;
  /** Whether there is anything to report. */
  hasNews(): boolean;
  /** Collects the report of this host. */
  collectReport(): LocalReport;
  /** Tokens that workspaces lack of their bursts. */
  missingTokens(): gateway.WorkspaceUsage[];
  /**
   * Called with the leader's answer to a report.
   *
   * @param isFirst whether it is the first answer of any leader
   */
  onReportResponse(
    response: gateway.ReportResponse,
    report: LocalReport,
    requestedAt: core.gateway.ClockReading,
    isFirst: boolean,
  ): void;
  /** Called when a report was not answered. */
  onReportFailed(report: LocalReport): void;
}

/** Watches the leader for changes and reports to it until it is disposed. */
export class LeaderSync implements Disposable {
  readonly #options: LeaderSyncOptions;
  readonly #disposed = new AbortController();
  #earlyReport = new AbortController();
  /** Term whose leader has received a report. */
  #reportedTerm = 0;
  /** Whether the leader wants the servers that this host knows better. */
  #areServersWanted = false;
  /** Term and usage revision of the last response to a report. */
  #acknowledged = { term: 0, usageRevision: 0 };
  /** Monotonic time until which missing tokens are presumed, in milliseconds. */
  #presumedUntil = Infinity;
  #reportIntervalMs = MIN_REPORT_INTERVAL_MS;
  /** Number of reports. */
  #sequence = 0;
  /** Monotonic time of the last report, in milliseconds. */
  #reportedAt = -Infinity;
  /** Waits for the next report that is sent and answered. */
  #refreshes: (() => void)[] = [];
  /** Unknown until the first response or failure. */
  #isConnected: boolean | undefined;

  constructor(options: LeaderSyncOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#runWatch();
    void this.#runReports();
  }

  /** Sends the next report early, because the leader has to act on it. */
  reportSoon(): void {
    this.#earlyReport.abort();
  }

  /** Sends the next report early if none was sent within the interval. */
  reportIfDue(): void {
    if (performance.now() - this.#reportedAt >= this.#reportIntervalMs) {
      this.reportSoon();
    }
  }

  /**
   * Reports early, and resolves when the leader has answered or after a time
   * limit, in milliseconds.
   */
  async refresh(timeoutMs: number): Promise<void> {
    const timeout = new AbortController();
    const answered = new Promise<void>((resolve) =>
      this.#refreshes.push(resolve)
    );
    this.reportSoon();
    await Promise.race([
      answered,
      this.#sleep(timeoutMs, timeout.signal),
    ]);
    timeout.abort();
  }

  /**
   * Asks the leader where a stream began.
   *
   * @throws {Error} no leader has answered in time
   */
  async findStream(
    request: gateway.StreamRequest,
  ): Promise<gateway.StreamResponse> {
    const { leader } = this.#options;
    const method = gateway.METHODS.stream;
    const response = await leader.call(method, request, STREAM_LIMITS);
    return v.parse(gateway.StreamResponse, response);
  }

  [Symbol.dispose](): void {
    this.#disposed.abort();
    this.#earlyReport.abort();
  }

  async #runWatch(): Promise<void> {
    while (!this.#disposed.signal.aborted) {
      const startedAt = performance.now();
      try {
        await this.#callWatch();
      } catch (error) {
        this.#logFailedWatch(error, startedAt);
        this.#recordConnectionLoss(error);
        await this.#sleep(WATCH_RETRY_MS);
      }
    }
  }

  async #callWatch(): Promise<void> {
    const { host, leader, view } = this.#options;
    let requestedAt = clocks.readClocks();
    const response = await leader.call(gateway.METHODS.watch, () => {
      requestedAt = clocks.readClocks();
      return {
        host,
        term: view.term,
        revision: view.revision,
        configuration: view.configuration?.version ?? null,
        quarantineRevision: view.quarantineRevision,
        suspectRevision: view.suspectRevision,
        ...(view.unreported === 0 ? {} : { unreported: view.unreported }),
      };
    }, WATCH_LIMITS);
    this.#apply(v.parse(WatchResponse, response), requestedAt);
  }

  #apply(
    response: gateway.WatchResponse,
    requestedAt: core.gateway.ClockReading,
  ): void {
    const { leader, view } = this.#options;
    if (this.#isConnected !== true) {
      this.#isConnected = true;
      write("leader-found", { leader: leader.leader, term: response.term });
    }
    leader.setControlHosts(
      response.controlHosts.map((address) => ({ address })),
    );
    const { revision, term } = view;
    if (!view.apply(response, performance.now(), requestedAt)) {
      write("answer-dropped", {
        term: response.term,
        revision: response.revision,
        known_term: term,
        known_revision: revision,
      });
      return;
    }
    if (response.wantsServers !== true || view.unreported === 0) return;
    this.#areServersWanted = true;
    this.reportSoon();
  }

  /** @param startedAt monotonic time at which the call began, in ms */
  #logFailedWatch(error: unknown, startedAt: number): void {
    const { leader, view } = this.#options;
    write("watch-failed", {
      took_ms: Math.round(performance.now() - startedAt),
      version: view.configuration?.version,
      term: view.term,
      leader: leader.leader,
      error,
    });
  }

  #recordConnectionLoss(error: unknown): void {
    if (this.#isConnected === false) return;
    this.#isConnected = false;
    write("leader-lost", { error });
  }

  async #runReports(): Promise<void> {
    while (!this.#disposed.signal.aborted) {
      const isEarly = this.#earlyReport.signal.aborted;
      if (isEarly) {
        await this.#sleep(EARLY_REPORT_DELAY_MS);
        this.#earlyReport = new AbortController();
      }
      if (isEarly || this.#isReportDue) await this.#sendReport();
      await this.#sleep(this.#reportIntervalMs, this.#earlyReport.signal);
    }
  }

  get #isReportDue(): boolean {
    const { hasNews, view } = this.#options;
    return hasNews() || view.term !== this.#reportedTerm ||
      performance.now() >= this.#presumedUntil;
  }

  async #sendReport(): Promise<void> {
    const {
      collectReport,
      host,
      leader,
      onReportFailed,
      onReportResponse,
      view,
    } = this.#options;
    const refreshes = this.#refreshes;
    this.#refreshes = [];
    const report = collectReport();
    const now = performance.now();
    this.#reportedAt = now;
    const servers = this.#areServersWanted ? view.unreportedRecords(now) : [];
    this.#areServersWanted = false;
    const requestedAt = clocks.readClocks();
    this.#sequence += 1;
    try {
      const answered = this.#acknowledged;
      const isNewLeader = answered.term > 0 &&
        view.term !== this.#reportedTerm;
      const params = {
        host,
        sequence: this.#sequence,
        ...report,
        answered,
        servers,
        ...(isNewLeader ? { missing: this.#options.missingTokens() } : {}),
      };
      const response = v.parse(
        gateway.ReportResponse,
        await leader.call(gateway.METHODS.report, params, REPORT_LIMITS),
      );
      if (response.term === view.term) this.#reportedTerm = response.term;
      view.acknowledgeReport(servers, response.term);
      const { hostCount, missingPresumedMs, term, usageRevision } = response;
      const isPresumed = missingPresumedMs !== undefined;
      this.#presumedUntil = isPresumed ? now + missingPresumedMs : Infinity;
      this.#acknowledged = isPresumed
        ? { term: 0, usageRevision: 0 }
        : { term, usageRevision };
      this.#reportIntervalMs = reportInterval(hostCount);
      const isFirst = answered.term === 0;
      onReportResponse(response, report, requestedAt, isFirst);
    } catch (error) {
      this.#recordConnectionLoss(error);
      onReportFailed(report);
    }
    for (const resolve of refreshes) resolve();
  }

  /** Resolves after a delay, or early on disposal or on the given signal. */
  async #sleep(ms: number, wakeSignal?: AbortSignal): Promise<void> {
    const disposed = this.#disposed.signal;
    const signal = wakeSignal === undefined
      ? disposed
      : AbortSignal.any([disposed, wakeSignal]);
    // The timer rejects when the signal aborts, which only ends the wait early.
    await timers.setTimeout(ms, undefined, { signal }).catch(() => undefined);
  }
}

/**
 * Interval between reports, in milliseconds. It grows with the number of hosts,
 * so that the leader's work does not.
 */
function reportInterval(hostCount: number): number {
  return Math.min(
    MAX_REPORT_INTERVAL_MS,
    Math.max(
      MIN_REPORT_INTERVAL_MS,
      hostCount / FLEET_REPORTS_PER_SECOND * SECOND_MS,
    ),
  );
}
