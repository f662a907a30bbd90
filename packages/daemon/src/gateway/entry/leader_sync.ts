/**
 * Synchronizes an entry host with the leader of the control hosts.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import { gateway } from "@ebonypath/protocol";
import * as v from "valibot";
import type * as fleet from "../../fleet/mod.ts";
import * as log from "../../log/mod.ts";
import type * as fleetView from "./fleet_view.ts";

const write = log.createLog("follower");

/** Time limits of a watch call; the leader holds it open for up to 1 s. */
const WATCH_LIMITS = { attemptMs: 1_600, totalMs: 3_200, retryable: true };
/** Time limits of a report. */
const REPORT_LIMITS = { attemptMs: 400, totalMs: 800, retryable: false };
/** Interval between reports, in milliseconds. */
const REPORT_INTERVAL_MS = 250;
/** Time over which requests for an early report are batched, in ms. */
const EARLY_REPORT_DELAY_MS = 3;
/** Delay after a failed watch call, in milliseconds. */
const WATCH_RETRY_MS = 60;

/** The part of a report that describes this host. */
export type LocalReport = Pick<
  gateway.ReportRequest,
  "demand" | "usage" | "load"
>;

/** Dependencies and callbacks of a `LeaderSync`. */
export interface LeaderSyncOptions {
  /** Name and incarnation of this host. */
  readonly host: string;
  readonly leader: fleet.LeaderClient;
  readonly view: fleetView.FleetView;
  /** Collects the report of this host. */
  collectReport(): LocalReport;
  /** Called with the leader's summary of all hosts' reports. */
  onReportResponse(response: gateway.ReportResponse): void;
}

/** Watches the leader for changes and reports to it until it is disposed. */
export class LeaderSync implements Disposable {
  readonly #options: LeaderSyncOptions;
  readonly #disposed = new AbortController();
  #earlyReport = new AbortController();
  /** Term whose leader has received the list of servers. */
  #reportedTerm = 0;
  /** Term and usage revision of the last response to a report. */
  #acknowledged = { term: 0, usageRevision: 0 };
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

  [Symbol.dispose](): void {
    this.#disposed.abort();
    this.#earlyReport.abort();
  }

  async #runWatch(): Promise<void> {
    const { host, leader, view } = this.#options;
    while (!this.#disposed.signal.aborted) {
      try {
        const response = await leader.call(gateway.METHODS.watch, () => ({
          host,
          term: view.term,
          revision: view.revision,
          configuration: view.configuration?.version ?? null,
        }), WATCH_LIMITS);
        this.#apply(v.parse(gateway.WatchResponse, response));
      } catch (error) {
        this.#recordConnectionLoss(error);
        await this.#sleep(WATCH_RETRY_MS);
      }
    }
  }

  #apply(response: gateway.WatchResponse): void {
    const { leader, view } = this.#options;
    if (this.#isConnected !== true) {
      this.#isConnected = true;
      write("leader-found", { leader: leader.leader, term: response.term });
    }
    leader.setControlHosts(
      response.controlHosts.map((address) => ({ address })),
    );
    view.apply(response, performance.now());
  }

  #recordConnectionLoss(error: unknown): void {
    if (this.#isConnected === false) return;
    this.#isConnected = false;
    write("leader-lost", { error });
  }

  async #runReports(): Promise<void> {
    while (!this.#disposed.signal.aborted) {
      await this.#sendReport();
      await this.#sleep(REPORT_INTERVAL_MS, this.#earlyReport.signal);
      if (this.#earlyReport.signal.aborted) {
        await this.#sleep(EARLY_REPORT_DELAY_MS);
        this.#earlyReport = new AbortController();
      }
    }
  }

  async #sendReport(): Promise<void> {
    const { collectReport, host, leader, onReportResponse, view } =
      this.#options;
    const report = collectReport();
    const isNewLeader = view.term !== this.#reportedTerm;
    const servers = isNewLeader ? view.serverRecords(performance.now()) : [];
    try {
      const answered = this.#acknowledged;
      const params = { host, ...report, answered, servers };
      const response = v.parse(
        gateway.ReportResponse,
        await leader.call(gateway.METHODS.report, params, REPORT_LIMITS),
      );
      if (isNewLeader && response.term === view.term) {
        this.#reportedTerm = response.term;
      }
      const { term, usageRevision } = response;
      this.#acknowledged = { term, usageRevision };
      onReportResponse(response);
    } catch (error) {
      this.#recordConnectionLoss(error);
    }
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
