/**
 * Performs the duties of the fleet on the host that leads it.
 *
 * @module
 */
import * as timers from "node:timers";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as metrics from "../metrics.ts";
import type * as dutyTypes from "./duty_types.ts";

const write = log.createLog("duty");

/** Interval of the checks for windows to close and calls to make, in ms. */
const CHECK_INTERVAL_MS = 100;
/** Delay before another attempt to become the holder of a duty, in ms. */
const CLAIM_RETRY_MS = 200;

/** Options of a duty performer. */
export interface DutyPerformerOptions {
  readonly settings: dutyTypes.DutySettings;
  readonly client: dutyTypes.DutyClient;
  /** Name of this host in calls. */
  readonly host: string;
  /** Identifies this host as the holder, also after a restart. */
  readonly holder: string;
  /**
   * Delay before this host takes a duty over from another one, in ms. Calls of
   * two hosts must not alternate.
   */
  readonly takeoverDelayMs: number;
  readonly metrics: metrics.GatewayMetrics;
  readonly state: () => core.gateway.GatewayState;
  /** Whether all entry hosts have had the time to tell what they know. */
  isSettled(): boolean;
  /** Whether no other host can lead now. */
  isLeaseCertain(): boolean;
  /**
   * Commits a command to the replicated state; resolves when it is applied.
   *
   * @throws {Error} the command may not be committed
   */
  commit(command: gateway.Command): Promise<unknown>;
}

/**
 * Holds the duties of the fleet during one term of leadership, closes windows of
 * usage and makes the calls. All that must outlast the term is in the replicated
 * state.
 *
 * @example
 * ```ts
 * using performer = new DutyPerformer(options);
 * performer.recordReport(report);
 * ```
 */
export class DutyPerformer implements Disposable {
  readonly #options: DutyPerformerOptions;
  readonly #clock = new core.duties.FleetClock();
  readonly #windows = new core.duties.UsageWindows();
  readonly #schedule: core.duties.CallSchedule;
  readonly #checkTimer: NodeJS.Timeout;
  readonly #claimTimers = new Map<gateway.Duty, NodeJS.Timeout>();
  /** Windows whose report was accepted while that is being committed. */
  readonly #accepted = new Set<number>();
  #isClosing = false;
  #isCalling = false;
  #loggedLate = 0;
  #isDisposed = false;

  constructor(options: DutyPerformerOptions) {
    this.#options = options;
    this.#schedule = new core.duties.CallSchedule(
      options.settings.callsPerSecond,
    );
    for (const duty of options.settings.duties) this.#takeOver(duty);
    this.#checkTimer = timers.setInterval(
      () => this.#check(),
      CHECK_INTERVAL_MS,
    );
  }

  /** Records what a host tells of the requests that servers began for it. */
  recordReport(
    { begun = [], host, wallMs }: gateway.ReportRequest,
  ): Pick<gateway.ReportResponse, "fleetTimeMs" | "closedWindow"> {
    if (!this.#reportsUsage) return {};
    if (wallMs !== undefined) {
      this.#clock.record(host, wallMs, performance.now());
    }
    const { closedWindow } = this.#options.state().duties;
    const { usageWindowMs } = this.#options.settings;
    const fleetTimeMs = this.#fleetTimeMs();
    const currentWindow = Math.floor(fleetTimeMs / usageWindowMs);
    this.#windows.record(host, begun, currentWindow, closedWindow);
    this.#logLate();
    return {
      ...(this.#options.isLeaseCertain() ? { fleetTimeMs } : {}),
      ...(closedWindow === null ? {} : { closedWindow }),
    };
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    timers.clearInterval(this.#checkTimer);
    for (const timer of this.#claimTimers.values()) timers.clearTimeout(timer);
  }

  get #reportsUsage(): boolean {
    return this.#options.settings.duties.includes("usage");
  }

  #fleetTimeMs(): number {
    return this.#clock.timeMs({
      monotonicMs: performance.now(),
      wallMs: Date.now(),
    });
  }

  /** Calls of the previous holder may still be on their way. */
  #takeOver(duty: gateway.Duty): void {
    const { holder, state, takeoverDelayMs } = this.#options;
    const assignment = state().duties.assignmentOf(duty);
    if (assignment?.holder === holder) return;
    this.#claim(duty, assignment === undefined ? 0 : takeoverDelayMs);
  }

  /** Makes this host the holder after a delay, and retries on failure. */
  #claim(duty: gateway.Duty, delayMs: number): void {
    const { commit, holder, state } = this.#options;
    const claim = () => {
      commit({ kind: "hold-duty", duty, host: holder }).then(
        () => {
          const fence = state().duties.assignmentOf(duty)?.fence;
          write("held", { duty, fence });
        },
        (error: unknown) => {
          write("not-held", { duty, error });
          if (!this.#isDisposed) this.#claim(duty, CLAIM_RETRY_MS);
        },
      );
    };
    this.#claimTimers.set(duty, timers.setTimeout(claim, delayMs));
  }

  #check(): void {
    if (!this.#options.isLeaseCertain()) {
      // Readings from before a suspension would put the present too early.
      this.#clock.reset();
      return;
    }
    if (!this.#reportsUsage) return;
    this.#closeNextWindow();
    this.#makeNextCall();
  }

  /** Fixes what is reported for a window before anything is sent. */
  #closeNextWindow(): void {
    const { commit, isSettled, settings, state } = this.#options;
    if (this.#isClosing || !isSettled()) return;
    // This host's own clock alone may have been stepped.
    if (this.#clock.hostCount === 0) return;
    if (state().configuration === null) return;
    const { closedWindow } = state().duties;
    const window = core.duties.nextWindow({
      timeMs: this.#fleetTimeMs(),
      windowMs: settings.usageWindowMs,
      dueMs: settings.usageDueMs,
      closedWindow,
    });
    if (window === undefined) return;
    if (closedWindow !== null && window > closedWindow + 1) {
      write("windows-skipped", { from: closedWindow + 1, to: window - 1 });
    }
    const counts = this.#windows.countsOf(window);
    this.#isClosing = true;
    commit({ kind: "close-window", window, counts }).then(
      () => this.#onClosed(window, counts),
      (error: unknown) => write("window-not-closed", { window, error }),
    ).finally(() => this.#isClosing = false);
  }

  #onClosed(window: number, counts: readonly gateway.WorkspaceCount[]): void {
    const { droppedWindows, undelivered } = this.#options.state().duties;
    this.#windows.removeThrough(window);
    this.#options.metrics.undeliveredWindows.set(undelivered.length);
    write("window-closed", {
      window,
      workspaces: counts.length,
      requests: counts.reduce((sum, { count }) => sum + count, 0),
      undelivered: undelivered.length,
      ...(droppedWindows === 0 ? {} : { dropped: droppedWindows }),
    });
  }

  #makeNextCall(): void {
    const { client, holder, host, isLeaseCertain, state } = this.#options;
    const { duties } = state();
    const assignment = duties.assignmentOf("usage");
    if (this.#isCalling || assignment?.holder !== holder) return;
    const waiting = duties.undelivered
      .filter(({ window }) => !this.#accepted.has(window));
    const now = performance.now();
    const key = this.#schedule.next(
      waiting.map(({ window }) => String(window)),
      now,
    );
    const usage = waiting.find(({ window }) => String(window) === key);
    if (usage === undefined || !isLeaseCertain()) return;
    const { fence } = assignment;
    this.#isCalling = true;
    client.reportUsage(usage, { holder: host, fence }).then(
      (answer) => this.#onAnswer(usage, answer, fence, now),
      // Nothing is known of the call, so the same one is made again.
      (error: unknown) => {
        const detail = String(error);
        this.#onAnswer(usage, { kind: "unavailable", detail }, fence, now);
      },
    ).finally(() => this.#isCalling = false);
  }

  #onAnswer(
    { window }: gateway.WindowUsage,
    answer: dutyTypes.CallAnswer,
    fence: number,
    sentAt: number,
  ): void {
    const now = performance.now();
    this.#schedule.record(String(window), answer, now);
    this.#options.metrics.dutyCalls.inc({
      duty: "usage",
      outcome: answer.kind,
    });
    write("usage-sent", {
      window,
      fence,
      outcome: answer.kind,
      detail: answer.detail,
      took_ms: Math.round(now - sentAt),
      ...(answer.kind === "accepted"
        ? {}
        : { failed: this.#schedule.failures }),
    });
    if (answer.kind === "accepted") this.#recordDelivery(window);
  }

  /** If this fails, the same call is made again: it changes nothing. */
  #recordDelivery(window: number): void {
    this.#accepted.add(window);
    this.#options.commit({ kind: "window-delivered", window }).then(
      () => {
        const { undelivered } = this.#options.state().duties;
        this.#options.metrics.undeliveredWindows.set(undelivered.length);
      },
      (error: unknown) => write("delivery-not-recorded", { window, error }),
    ).finally(() => this.#accepted.delete(window));
  }

  /** Tells of requests that no report contains. */
  #logLate(): void {
    const { late, refused } = this.#windows;
    if (late + refused === this.#loggedLate) return;
    this.#loggedLate = late + refused;
    write("counts-late", { requests: late, implausible: refused });
  }
}
