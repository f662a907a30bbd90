/**
 * Closes windows of usage and tells which reports are to be sent.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as dutyTypes from "./duty_types.ts";

const write = log.createLog("duty");

/** Options of a usage reporter. */
export interface UsageReporterOptions extends dutyTypes.DutyContext {
  /** Whether no other host can lead now. */
  isLeaseCertain(): boolean;
}

/**
 * Sums during one term of leadership what hosts counted, and commits the content
 * of each window before anything is sent.
 *
 * @example
 * ```ts
 * reporter.recordReport(report);
 * reporter.closeNextWindow();
 * const calls = reporter.pendingCalls();
 * ```
 */
export class UsageReporter {
  readonly #options: UsageReporterOptions;
  readonly #clock = new core.duties.FleetClock();
  readonly #windows = new core.duties.UsageWindows();
  /** Windows whose report was accepted while that is being committed. */
  readonly #accepted = new Set<number>();
  #isClosing = false;
  #loggedLate = 0;

  constructor(options: UsageReporterOptions) {
    this.#options = options;
  }

  /** Records what a host tells of the requests that servers began for it. */
  recordReport(
    { begun = [], host, wallMs }: gateway.ReportRequest,
  ): Pick<gateway.ReportResponse, "fleetTimeMs" | "closedWindow"> {
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

  /** Drops readings of clocks: they would put the present too early. */
  reset(): void {
    this.#clock.reset();
  }

  /** Fixes what is reported for a window before anything is sent. */
  closeNextWindow(): void {
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

  /** Reports that are not accepted, the earliest first. */
  pendingCalls(): dutyTypes.DutyCall[] {
    return this.#options.state().duties.undelivered
      .filter(({ window }) => !this.#accepted.has(window))
      .map((usage) => ({
        duty: "usage",
        key: `usage ${usage.window}`,
        event: "usage-sent",
        fields: { window: usage.window },
        send: (client, fence) => client.reportUsage(usage, fence),
        onAnswer: ({ kind }) => {
          if (kind === "accepted") this.#recordDelivery(usage.window);
        },
      }));
  }

  #fleetTimeMs(): number {
    return this.#clock.timeMs({
      monotonicMs: performance.now(),
      wallMs: Date.now(),
    });
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
