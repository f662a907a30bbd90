/**
 * Performs the duties of the fleet on the host that leads it.
 *
 * @module
 */
import * as timers from "node:timers";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as dutyTypes from "./duty_types.ts";
import * as serverOrderer from "./server_orderer.ts";
import * as usageReporter from "./usage_reporter.ts";

const write = log.createLog("duty");

/** Interval of the checks for windows to close and calls to make, in ms. */
const CHECK_INTERVAL_MS = 100;
/** Delay before another attempt to become the holder of a duty, in ms. */
const CLAIM_RETRY_MS = 200;

/** Options of a duty performer. */
export interface DutyPerformerOptions
  extends
    usageReporter.UsageReporterOptions,
    serverOrderer.ServerOrdererOptions {
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
}

/**
 * Holds the duties of the fleet during one term of leadership and makes the
 * calls. All that must outlast the term is in the replicated state.
 *
 * @example
 * ```ts
 * using performer = new DutyPerformer(options);
 * performer.recordReport(report);
 * ```
 */
export class DutyPerformer implements Disposable {
  readonly #options: DutyPerformerOptions;
  readonly #usageReporter: usageReporter.UsageReporter | undefined;
  readonly #serverOrderer: serverOrderer.ServerOrderer | undefined;
  readonly #schedule: core.duties.CallSchedule;
  readonly #checkTimer: NodeJS.Timeout;
  readonly #claimTimers = new Map<gateway.Duty, NodeJS.Timeout>();
  #isCalling = false;
  #isDisposed = false;

  constructor(options: DutyPerformerOptions) {
    this.#options = options;
    const { callsPerSecond, duties } = options.settings;
    this.#schedule = new core.duties.CallSchedule(callsPerSecond);
    if (duties.includes("usage")) {
      this.#usageReporter = new usageReporter.UsageReporter(options);
    }
    if (duties.includes("scaling")) {
      this.#serverOrderer = new serverOrderer.ServerOrderer(options);
    }
    for (const duty of duties) this.#takeOver(duty);
    this.#checkTimer = timers.setInterval(
      () => this.#check(),
      CHECK_INTERVAL_MS,
    );
  }

  /** Records what a host tells of the requests that servers began for it. */
  recordReport(
    report: gateway.ReportRequest,
  ): Pick<gateway.ReportResponse, "fleetTimeMs" | "closedWindow"> {
    return this.#usageReporter?.recordReport(report) ?? {};
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    timers.clearInterval(this.#checkTimer);
    for (const timer of this.#claimTimers.values()) timers.clearTimeout(timer);
    this.#serverOrderer?.[Symbol.dispose]();
  }

  /** Calls of the previous holder may still be on their way. */
  #takeOver(duty: gateway.Duty): void {
    const { state, takeoverDelayMs } = this.#options;
    if (this.#fenceOf(duty) !== undefined) return;
    const isHeld = state().duties.assignmentOf(duty) !== undefined;
    this.#claim(duty, isHeld ? takeoverDelayMs : 0);
  }

  /** Makes this host the holder after a delay, and retries on failure. */
  #claim(duty: gateway.Duty, delayMs: number): void {
    const { commit, holder } = this.#options;
    const claim = () => {
      commit({ kind: "hold-duty", duty, host: holder }).then(
        () => write("held", { duty, fence: this.#fenceOf(duty) }),
        (error: unknown) => {
          write("not-held", { duty, error });
          if (!this.#isDisposed) this.#claim(duty, CLAIM_RETRY_MS);
        },
      );
    };
    this.#claimTimers.set(duty, timers.setTimeout(claim, delayMs));
  }

  /** The fence of a duty that this host holds. */
  #fenceOf(duty: gateway.Duty): number | undefined {
    const { holder, state } = this.#options;
    const assignment = state().duties.assignmentOf(duty);
    return assignment?.holder === holder ? assignment.fence : undefined;
  }

  #check(): void {
    if (!this.#options.isLeaseCertain()) {
      this.#usageReporter?.reset();
      this.#serverOrderer?.reset();
      return;
    }
    this.#usageReporter?.closeNextWindow();
    this.#serverOrderer?.decide(performance.now());
    this.#makeNextCall();
  }

  #makeNextCall(): void {
    if (this.#isCalling) return;
    const calls = [
      ...this.#usageReporter?.pendingCalls() ?? [],
      ...this.#serverOrderer?.pendingCalls() ?? [],
    ].filter(({ duty }) => this.#fenceOf(duty) !== undefined);
    const now = performance.now();
    const key = this.#schedule.next(calls.map((call) => call.key), now);
    const call = calls.find((one) => one.key === key);
    const fence = call && this.#fenceOf(call.duty);
    if (call === undefined || fence === undefined) return;
    const { client, host, isLeaseCertain } = this.#options;
    if (!isLeaseCertain()) return;
    this.#isCalling = true;
    call.send(client, { holder: host, fence }).then(
      (answer) => this.#onAnswer(call, answer, fence, now),
      // Nothing is known of the call, so the same one is made again.
      (error: unknown) => {
        const detail = String(error);
        this.#onAnswer(call, { kind: "unavailable", detail }, fence, now);
      },
    ).finally(() => this.#isCalling = false);
  }

  #onAnswer(
    { duty, event, fields, key, onAnswer }: dutyTypes.DutyCall,
    answer: dutyTypes.CallAnswer,
    fence: number,
    sentAt: number,
  ): void {
    const now = performance.now();
    this.#schedule.record(key, answer, now);
    this.#options.metrics.dutyCalls.inc({ duty, outcome: answer.kind });
    write(event, {
      ...fields,
      fence,
      outcome: answer.kind,
      detail: answer.detail,
      took_ms: Math.round(now - sentAt),
      ...(answer.kind === "accepted"
        ? {}
        : { failed: this.#schedule.failures }),
    });
    onAnswer(answer);
  }
}
