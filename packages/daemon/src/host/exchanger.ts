/**
 * Exchanges of one host with the leader: shares, demand and freshness.
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

/** Longest time between two exchanges, in milliseconds. */
export const EXCHANGE_INTERVAL_MS = 1_000;
/** Requests for an exchange within this time share one, in milliseconds. */
const COALESCING_MS = 5;
/** Shortest time between two exchanges, in milliseconds. */
const MINIMUM_INTERVAL_MS = 20;
/** Time for one exchange with one host, in milliseconds. */
const ATTEMPT_MS = 700;
/** Time for one exchange, over all control hosts, in milliseconds. */
const TOTAL_MS = 1_500;

/** An exchange as it is sent. */
type ExchangeMessage = v.InferInput<typeof protocol.control.ExchangeRequest>;

/** What a host reports besides its shares. */
export interface ExchangeReporter {
  demand(): protocol.control.Demand[];
  /** Requests on servers that no longer offer their target. */
  lingering(): protocol.control.LingeringRequests[];
  /** Suspicions not yet reported; called once an exchange. */
  takeSuspicions(): protocol.suspicion.SuspicionReport[];
  /** Gives suspicions back whose exchange failed. */
  returnSuspicions(reports: protocol.suspicion.SuspicionReport[]): void;
  deferredCapacity(): number;
}

/** The announcements of backend servers that go with exchanges. */
export type Announcements = Pick<
  announcementRelay.AnnouncementRelay,
  "takeHeartbeats" | "returnHeartbeats" | "sendInFull"
>;

/** What an exchanger works with. */
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
  /** The leader answered. */
  answered: [response: protocol.control.ExchangeResponse];
  /** No leader answered in time. */
  failed: [error: unknown];
}

/** Keeps a host's shares alive and its view known to be current. */
export class Exchanger extends events.EventEmitter<ExchangerEvents> {
  readonly #options: ExchangerOptions;
  #timer: NodeJS.Timeout | undefined;
  #running = false;
  #wanted = false;
  #stopped = false;
  #isRecalled = false;
  #lastStart = Number.NEGATIVE_INFINITY;

  constructor(options: ExchangerOptions) {
    super();
    this.#options = options;
  }

  /** Exchanges now, and then at least once an interval. */
  start(): void {
    this.#schedule(0);
  }

  /** Asks for an exchange soon: a request waits for a share. */
  request(): void {
    this.#wanted = true;
    if (this.#running) return;
    const sinceStart = performance.now() - this.#lastStart;
    this.#schedule(Math.max(COALESCING_MS, MINIMUM_INTERVAL_MS - sinceStart));
  }

  /** Exchanges soon with all shares: another host waits for some of them. */
  recall(): void {
    this.#isRecalled = true;
    this.request();
  }

  /**
   * Exchanges once more, for instance to hand over shares; resolves with the
   * answer, or with nothing if no leader answered in time.
   */
  async flush(): Promise<protocol.control.ExchangeResponse | undefined> {
    return await this.#exchange();
  }

  /** Ends the exchanges. */
  [Symbol.dispose](): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  #schedule(delayMs: number): void {
    if (this.#stopped) return;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => void this.#run(), delayMs);
  }

  async #run(): Promise<void> {
    this.#running = true;
    this.#wanted = false;
    this.#lastStart = performance.now();
    await this.#exchange();
    this.#running = false;
    this.#schedule(this.#nextDelayMs());
  }

  /** Shares that are due, or wanted, come before the interval has passed. */
  #nextDelayMs(): number {
    const now = performance.now();
    const dueAt = this.#options.shares.nextReportAt(now) ?? Infinity;
    const delayMs = Math.min(dueAt - now, EXCHANGE_INTERVAL_MS);
    return Math.max(
      delayMs,
      this.#wanted ? COALESCING_MS : MINIMUM_INTERVAL_MS,
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

/** Adds heartbeats, with their ages at this moment. */
function withHeartbeats(
  request: ExchangeMessage,
  held: readonly announcementBuffer.BufferedAnnouncement[],
): ExchangeMessage {
  if (held.length === 0) return request;
  const now = performance.now();
  const heartbeats = held.map((one) =>
    announcementBuffer.toHeartbeat(one, now)
  );
  return { ...request, heartbeats };
}

/** Reports nothing: for hosts without the entry role. */
export const EMPTY_REPORTER: ExchangeReporter = {
  demand: () => [],
  lingering: () => [],
  takeSuspicions: () => [],
  returnSuspicions: () => undefined,
  deferredCapacity: () => 0,
};
