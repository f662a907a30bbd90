/**
 * Periodic exchanges of a host with the leader. They renew the shares of the
 * host, report its demand and confirm that its view is current.
 *
 * @module
 */
import * as events from "node:events";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import type * as fleet from "../fleet/mod.ts";
import * as log from "../log/mod.ts";
import * as announcementBuffer from "./announcement_buffer.ts";
import type * as announcementRelay from "./announcement_relay.ts";
import type * as fleetState from "./fleet_state.ts";

const write = log.createLog("exchange");

/** Maximum delay before the next exchange, in milliseconds. */
export const EXCHANGE_INTERVAL_MS = 1_000;
/** Requests within this time are served by one exchange, in milliseconds. */
const COALESCING_MS = 5;
/** Minimum interval between exchanges, in milliseconds. */
const MINIMUM_INTERVAL_MS = 20;
/** Timeout of an attempt with one control host, in milliseconds. */
const ATTEMPT_MS = 700;
/** Timeout of an exchange over all control hosts, in milliseconds. */
const TOTAL_MS = 1_500;

/** The exchange request before it is serialized. */
type ExchangeMessage = v.InferInput<typeof protocol.control.ExchangeRequest>;

/** Source of what a host reports in an exchange besides its shares. */
export interface ExchangeReporter {
  demand(): protocol.control.Demand[];
  /** Requests still running on servers that no longer offer their target. */
  lingering(): protocol.control.LingeringRequests[];
  /** Removes and returns unreported suspicions; called once per exchange. */
  takeSuspicions(): protocol.suspicion.SuspicionReport[];
  /** Queues the suspicions of a failed exchange again. */
  returnSuspicions(reports: protocol.suspicion.SuspicionReport[]): void;
  deferredCapacity(): number;
}

/** The part of the announcement relay that exchanges use. */
export type Announcements = Pick<
  announcementRelay.AnnouncementRelay,
  "takeHeartbeats" | "returnHeartbeats" | "sendInFull"
>;

/** Dependencies of an {@link Exchanger}. */
export interface ExchangerOptions {
  readonly identity: protocol.control.HostIdentity;
  readonly roles: readonly string[];
  readonly leader: Pick<fleet.LeaderClient, "call">;
  readonly shares: core.limits.HostShares;
  readonly state: fleetState.FleetState;
  readonly reporter: ExchangeReporter;
  readonly announcements: Announcements;
  isDraining(): boolean;
}

interface ExchangerEvents {
  /** The leader answered an exchange. */
  answered: [response: protocol.control.ExchangeResponse];
  /** An exchange failed, for instance because no leader answered in time. */
  failed: [error: unknown];
}

/** Exchanges state with the leader at regular intervals and on request. */
export class Exchanger extends events.EventEmitter<ExchangerEvents> {
  readonly #options: ExchangerOptions;
  #timer: NodeJS.Timeout | undefined;
  #isRunning = false;
  #isRequested = false;
  #isStopped = false;
  #isRecalled = false;
  #lastStart = Number.NEGATIVE_INFINITY;

  constructor(options: ExchangerOptions) {
    super();
    this.#options = options;
  }

  /** Starts the first exchange now, and later ones at regular intervals. */
  start(): void {
    this.#schedule(0);
  }

  /** Requests an exchange soon, for instance when a request waits for a share. */
  request(): void {
    this.#isRequested = true;
    if (this.#isRunning) return;
    const sinceStart = performance.now() - this.#lastStart;
    this.#schedule(Math.max(COALESCING_MS, MINIMUM_INTERVAL_MS - sinceStart));
  }

  /**
   * Requests an exchange that reports all shares, because another host is waiting
   * for some of them.
   */
  recall(): void {
    this.#isRecalled = true;
    this.request();
  }

  /**
   * Performs one exchange immediately, for instance to return shares. Resolves
   * with the answer, or with undefined if the exchange failed.
   */
  async flush(): Promise<protocol.control.ExchangeResponse | undefined> {
    return await this.#exchange();
  }

  /** Stops the exchanges. */
  [Symbol.dispose](): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  #schedule(delayMs: number): void {
    if (this.#isStopped) return;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => void this.#run(), delayMs);
  }

  async #run(): Promise<void> {
    this.#isRunning = true;
    this.#isRequested = false;
    this.#lastStart = performance.now();
    await this.#exchange();
    this.#isRunning = false;
    this.#schedule(this.#nextDelayMs());
  }

  /** Shortens the interval if a share report is due or an exchange is requested. */
  #nextDelayMs(): number {
    const now = performance.now();
    const dueAt = this.#options.shares.nextReportAt(now) ?? Infinity;
    const delayMs = Math.min(dueAt - now, EXCHANGE_INTERVAL_MS);
    return Math.max(
      delayMs,
      this.#isRequested ? COALESCING_MS : MINIMUM_INTERVAL_MS,
    );
  }

  async #exchange(): Promise<protocol.control.ExchangeResponse | undefined> {
    const { announcements, shares, state, reporter } = this.#options;
    const heartbeats = announcements.takeHeartbeats();
    const suspicions = reporter.takeSuspicions();
    const sentAt = performance.now();
    const report = shares.report(sentAt, this.#isRecalled);
    const demand = reporter.demand();
    const lingering = reporter.lingering();
    this.#isRecalled = false;
    const request: ExchangeMessage = {
      host: this.#options.identity,
      roles: [...this.#options.roles],
      version: state.view.version,
      current: state.isCurrent(sentAt),
      appliedIndex: state.index,
      draining: this.#options.isDraining(),
      ...(report === undefined ? {} : { shares: report }),
      ...protocol.control.omitEmptyLists({ demand, lingering, suspicions }),
      deferredCapacity: reporter.deferredCapacity(),
    };
    try {
      const answer = await this.#call(() =>
        withHeartbeats(request, heartbeats)
      );
      if (answer.shares !== undefined) {
        shares.accept(answer.shares, performance.now());
      }
      state.confirm(sentAt, answer.viewIndex);
      announcements.sendInFull(answer.unrecognized);
      this.emit("answered", answer);
      return answer;
    } catch (error) {
      reporter.returnSuspicions(suspicions);
      announcements.returnHeartbeats(heartbeats);
      write("failed", { error });
      this.emit("failed", error);
      return undefined;
    }
  }

  async #call(
    request: () => ExchangeMessage,
  ): Promise<protocol.control.ExchangeResponse> {
    const answer = await this.#options.leader.call(
      protocol.control.EXCHANGE_METHOD,
      request,
      { attemptMs: ATTEMPT_MS, totalMs: TOTAL_MS, retryable: true },
    );
    return v.parse(protocol.control.ExchangeResponse, answer);
  }
}

/** Adds the heartbeats, with their ages at the current time. */
function withHeartbeats(
  request: ExchangeMessage,
  buffered: readonly announcementBuffer.BufferedAnnouncement[],
): ExchangeMessage {
  if (buffered.length === 0) return request;
  const now = performance.now();
  const heartbeats = buffered.map((announcement) =>
    announcementBuffer.toHeartbeat(announcement, now)
  );
  return { ...request, heartbeats };
}

/** Reporter without any data, for hosts without the entry role. */
export const EMPTY_REPORTER: ExchangeReporter = {
  demand: () => [],
  lingering: () => [],
  takeSuspicions: () => [],
  returnSuspicions: () => undefined,
  deferredCapacity: () => 0,
};
