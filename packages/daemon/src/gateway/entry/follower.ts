/**
 * Keeps an entry host in step with the leader.
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

/** Limits of a question for changes; the leader holds it for a second. */
const WATCH_LIMITS = { attemptMs: 1_600, totalMs: 3_200, repeatable: true };
/** Limits of a report. */
const REPORT_LIMITS = { attemptMs: 400, totalMs: 800, repeatable: false };
/** Time between two reports, in milliseconds. */
const REPORT_MS = 250;
/** Time over which urgent reasons for a report are collected, in ms. */
const URGENT_MS = 3;
/** Pause after a failed question, in milliseconds. */
const RETRY_MS = 60;

/** The part of a report that the host itself makes. */
export type Collected = Pick<
  gateway.ReportRequest,
  "demand" | "usage" | "load"
>;

/** What a follower reads and writes. */
export interface FollowerOptions {
  readonly host: string;
  readonly leader: fleet.LeaderClient;
  readonly view: fleetView.FleetView;
  /** Makes the report of this host. */
  collect(): Collected;
  /** Takes what all hosts have reported. */
  onAnswer(answer: gateway.ReportResponse): void;
}

/** Asks the leader for changes and reports to it, until it is disposed of. */
export class Follower implements Disposable {
  readonly #options: FollowerOptions;
  readonly #stop = new AbortController();
  #wake = new AbortController();
  #reportedTerm = 0;
  /** Term and usage revision of the last answer to a report. */
  #answered = { term: 0, usageRevision: 0 };
  /** Unknown until the first answer or failure. */
  #isConnected: boolean | undefined;

  constructor(options: FollowerOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#watch();
    void this.#report();
  }

  /** Reports soon: requests wait for something that the leader decides. */
  request(): void {
    this.#wake.abort();
  }

  [Symbol.dispose](): void {
    this.#stop.abort();
    this.#wake.abort();
  }

  async #watch(): Promise<void> {
    const { host, leader, view } = this.#options;
    while (!this.#stop.signal.aborted) {
      try {
        const answer = await leader.call(gateway.METHODS.watch, () => ({
          host,
          term: view.term,
          revision: view.revision,
          configuration: view.configuration?.version ?? null,
        }), WATCH_LIMITS);
        this.#apply(v.parse(gateway.WatchResponse, answer));
      } catch (error) {
        this.#noteLoss(error);
        await this.#pause(RETRY_MS);
      }
    }
  }

  #apply(answer: gateway.WatchResponse): void {
    const { leader, view } = this.#options;
    if (this.#isConnected !== true) {
      this.#isConnected = true;
      write("leader-found", { leader: leader.leader, term: answer.term });
    }
    leader.setControlHosts(
      answer.controlHosts.map((address) => ({ address })),
    );
    view.apply(answer, performance.now());
  }

  #noteLoss(error: unknown): void {
    if (this.#isConnected === false) return;
    this.#isConnected = false;
    write("leader-lost", { error });
  }

  async #report(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#sendReport();
      await this.#pause(REPORT_MS, this.#wake.signal);
      if (this.#wake.signal.aborted) {
        await this.#pause(URGENT_MS);
        this.#wake = new AbortController();
      }
    }
  }

  async #sendReport(): Promise<void> {
    const { collect, host, leader, onAnswer, view } = this.#options;
    const report = collect();
    const isNewLeader = view.term !== this.#reportedTerm;
    const servers = isNewLeader ? view.records(performance.now()) : [];
    try {
      const answered = this.#answered;
      const params = { host, ...report, answered, servers };
      const answer = v.parse(
        gateway.ReportResponse,
        await leader.call(gateway.METHODS.report, params, REPORT_LIMITS),
      );
      if (isNewLeader && answer.term === view.term) {
        this.#reportedTerm = answer.term;
      }
      const { term, usageRevision } = answer;
      this.#answered = { term, usageRevision };
      onAnswer(answer);
    } catch (error) {
      this.#noteLoss(error);
    }
  }

  async #pause(ms: number, wake?: AbortSignal): Promise<void> {
    const stop = this.#stop.signal;
    const signal = wake === undefined ? stop : AbortSignal.any([stop, wake]);
    // An aborted pause is one that ends early.
    await timers.setTimeout(ms, undefined, { signal }).catch(() => undefined);
  }
}
