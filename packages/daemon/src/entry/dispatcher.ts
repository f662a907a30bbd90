/**
 * Runs work from admission to its answer, with retries where they are safe.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as backend from "../backend/mod.ts";
import type * as host from "../host/mod.ts";
import * as log from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as admission from "./admission.ts";
import * as attempts from "./attempt.ts";
import * as authentication from "./authentication.ts";
import type * as crashDetection from "./crash_detector.ts";
import * as failedAttempt from "./failed_attempt.ts";
import type * as placements from "./placement.ts";
import * as triedServers from "./tried_servers.ts";
import type * as stallAwareClock from "./stall_aware_clock.ts";
import type * as types from "./types.ts";
import type * as waiters from "./waiters.ts";

const write = log.createLog("dispatch");

/** Largest part of the time left that a doubted connection may take. */
const DOUBTED_PART = 0.5;
/** First pause before a server is tried a second time, in milliseconds. */
const FIRST_PAUSE_MS = 20;
/** Longest pause before a server is tried again, in milliseconds. */
const LONGEST_PAUSE_MS = 1_000;

/** What a dispatcher works with. */
export interface DispatcherOptions {
  readonly state: host.FleetState;
  readonly shares: core.limits.ShareHolder;
  readonly admission: admission.Admission;
  readonly placement: placements.PlacementQueue;
  readonly client: backend.InferenceClient;
  readonly suspects: core.suspicion.HostSuspects;
  readonly crashDetector: crashDetection.CrashDetector;
  readonly metrics: metrics.Metrics;
  readonly streamIdleTimeoutMs: number;
  /** Measures the silence of streams. */
  readonly clock: Pick<stallAwareClock.StallAwareClock, "nowMs">;
}

/** Requests that a backend server runs for this host. */
export interface Running {
  readonly work: types.Work;
  readonly server: protocol.control.ServerStatus;
}

/** Runs the work of an entry host. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #running = new Set<Running>();
  readonly #budget = new core.routing.RetryBudget(performance.now());

  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /** Requests that backend servers run now. */
  get running(): ReadonlySet<Running> {
    return this.#running;
  }

  /**
   * Runs work to its end: the sink gets an answer or a refusal.
   *
   * @param signal ends the work when its caller has left
   */
  async run(
    work: types.Work,
    sink: types.Sink,
    signal: AbortSignal,
  ): Promise<void> {
    const arrivedAt = performance.now();
    try {
      this.#refuseQuarantined(work);
      if (work.workspace === null || work.tokens === 0) {
        await this.#serve(work, sink, signal, arrivedAt);
        return;
      }
      await this.#runReserved(work, work.workspace, sink, signal, arrivedAt);
    } catch (error) {
      if (!(error instanceof protocol.errors.Refusal)) throw error;
      sink.refuse(error);
    }
  }

  async #runReserved(
    work: types.Work,
    workspace: string,
    sink: types.Sink,
    signal: AbortSignal,
    arrivedAt: number,
  ): Promise<void> {
    const { admission, placement, shares } = this.#options;
    const reservation = await admission.reserve(
      work,
      workspace,
      signal,
      placement.admissionDeadline(work, arrivedAt),
    );
    let used = 0;
    try {
      used = await this.#serve(work, sink, signal, arrivedAt);
    } catch (error) {
      // A request that may have run may have used all that it reserved.
      const isFree = error instanceof protocol.errors.Refusal &&
        error.outcome === "not-run";
      used = isFree ? 0 : work.tokens;
      if (isFree) admission.recordReturned(workspace, work.tokens);
      throw error;
    } finally {
      shares.settle(reservation, used, performance.now());
      admission.admitWaiting();
    }
  }

  /** Tries servers until one answers; resolves with the tokens used. */
  async #serve(
    work: types.Work,
    sink: types.Sink,
    signal: AbortSignal,
    arrivedAt: number,
  ): Promise<number> {
    const tried = new triedServers.TriedServers();
    let mayHaveRun = false;
    this.#budget.deposit();
    try {
      for (let attempt = 1;; attempt += 1) {
        const isFirst = tried.ids.size === 0;
        const placed = await this.#options.placement.place(
          work,
          tried,
          signal,
          isFirst ? arrivedAt : performance.now(),
        );
        const result = await this.#attempt(
          work,
          placed,
          sink,
          signal,
          { arrivedAt, isFirst },
        );
        if (result.kind === "answered") return result.tokens;
        const { id } = placed.server;
        logFailure(work, id, attempt, result);
        await this.#options.crashDetector.checkFailure(
          placed.server,
          work,
          result,
        );
        if (failedAttempt.reachedServer(result)) {
          tried.recordReached(performance.now());
        }
        mayHaveRun = await failedAttempt.awaitRetry(
          { work, result, mayHaveRun, sent: tried.sent, server: id },
          this.#budget,
        );
        this.#options.metrics.retries.inc();
        if (tried.ids.has(id)) await pause(attempt);
        tried.add(id);
      }
    } catch (error) {
      throw mayHaveRun ? failedAttempt.withUncertainOutcome(error) : error;
    }
  }

  async #attempt(
    work: types.Work,
    placed: waiters.Placement,
    sink: types.Sink,
    signal: AbortSignal,
    { arrivedAt, isFirst }: Try,
  ): Promise<attempts.AttemptResult> {
    const { client, metrics, placement, shares, streamIdleTimeoutMs } =
      this.#options;
    const running = { work, server: placed.server };
    let outcome: core.limits.SlotOutcome = "neutral";
    let mayGoOn = false;
    let isHungUp = false;
    this.#running.add(running);
    try {
      this.#checkKey(work);
      this.#refuseQuarantined(work);
      const sentAt = performance.now();
      metrics.queueWait.observe((sentAt - arrivedAt) / 1_000);
      const result = await attempts.attempt({
        client,
        server: placed.server,
        work,
        sink,
        signal,
        streamIdleTimeoutMs,
        firstByteTimeoutMs: this.#firstByteTimeoutMs(work, isFirst),
        useNewConnection: !work.idempotent || !isFirst,
        onAbortConfirmed: () => {
          // A plain service may go on although it has closed the connection.
          if (placed.server.kind === "plain") return;
          isHungUp = true;
          shares.confirmEnd(placed.slot);
          placement.placeWaiting();
        },
        onFirstByte: () => {
          const now = performance.now();
          metrics.firstByte.observe((now - arrivedAt) / 1_000);
          placement.serviceTimes.observeFirstByte(work.target, now - sentAt);
          if (work.stream) this.#observeAnswer(work, sentAt);
        },
        clock: this.#options.clock,
        onStreamSustained: () => shares.markBorne(placed.slot),
      });
      mayGoOn = !isHungUp && this.#mayGoOn(work, result, sentAt);
      this.#observeEnd(work, result, sentAt);
      outcome = this.#isCutShort(work, result, sentAt)
        ? "neutral"
        : attempts.slotOutcome(result);
      this.#judge(placed.server.id, outcome);
      this.#options.suspects.recordEnd(
        work.fingerprint,
        result.kind === "answered",
      );
      return result;
    } finally {
      this.#running.delete(running);
      if (mayGoOn) {
        shares.giveUpSlot(placed.slot, outcome, performance.now());
      } else {
        shares.releaseSlot(placed.slot, outcome);
      }
      placement.placeWaiting();
    }
  }

  /**
   * Whether a server may still run a try that has ended here. A caller that
   * leaves ends its try at the server, unless the connection went silent.
   */
  #mayGoOn(
    work: types.Work,
    result: attempts.AttemptResult,
    sentAt: number,
  ): boolean {
    if (result.kind !== "failed" || !result.bytesSent) return false;
    const isStreaming = result.bytesToCaller;
    if (result.fault !== "cancelled" || isStreaming) return result.mayStillRun;
    const usualMs = this.#options.placement.serviceTimes.stallThresholdMs(
      work.target,
    );
    return usualMs !== undefined && performance.now() - sentAt >= usualMs;
  }

  /**
   * A kept connection may have gone silent for good. The first try of what may
   * run again is given up early for it; the next one has a connection of its
   * own and all the time that is left.
   */
  #firstByteTimeoutMs(work: types.Work, isFirst: boolean): number {
    const remainingMs = Math.max(1, work.deadline - performance.now());
    const silenceMs = this.#options.placement.serviceTimes.stallThresholdMs(
      work.target,
    );
    const mayDoubt = isFirst && work.idempotent && silenceMs !== undefined &&
      silenceMs < remainingMs * DOUBTED_PART;
    return mayDoubt ? silenceMs : remainingMs;
  }

  /** Learns how long a server takes; a cut answer would have taken longer. */
  #observeEnd(
    work: types.Work,
    result: attempts.AttemptResult,
    sentAt: number,
  ): void {
    const now = performance.now();
    if (result.kind === "answered") {
      this.#options.placement.serviceTimes.observeSlotTime(
        work.target,
        now - sentAt,
      );
      if (!work.stream) this.#observeAnswer(work, sentAt);
      return;
    }
    const isCut = result.kind === "failed" && result.bytesSent &&
      !result.bytesToCaller && now >= work.deadline;
    if (isCut) this.#observeAnswer(work, sentAt);
  }

  #observeAnswer(work: types.Work, sentAt: number): void {
    this.#options.placement.serviceTimes.observeAnswer(
      work.target,
      work.stream,
      performance.now() - sentAt,
    );
  }

  /** A request that came late to its server says nothing of the server. */
  #isCutShort(
    work: types.Work,
    result: attempts.AttemptResult,
    sentAt: number,
  ): boolean {
    if (result.kind !== "failed") return false;
    if (result.fault !== "first-byte-timeout") return false;
    const usualMs = this.#options.placement.serviceTimes.stallThresholdMs(
      work.target,
    );
    return usualMs !== undefined && performance.now() - sentAt < usualMs;
  }

  /** Tells the outlier detection how a try ended. */
  #judge(server: string, outcome: core.limits.SlotOutcome): void {
    const { outliers } = this.#options.placement;
    switch (outcome) {
      case "succeeded":
        outliers.recordSuccess(server);
        return;
      case "failed":
        outliers.recordFailure(server, performance.now());
        return;
      case "refused":
      case "slow":
      case "neutral":
        return;
      default:
        protocol.errors.assertNever(outcome);
    }
  }

  /** The key may have been withdrawn while the request waited. */
  #checkKey(work: types.Work): void {
    if (work.keyDigest === null) return;
    authentication.workspaceOf(work.keyDigest, this.#options.state.view);
  }

  #refuseQuarantined(work: types.Work): void {
    if (this.#options.state.view.quarantine(work.fingerprint) === undefined) {
      return;
    }
    throw new protocol.errors.Refusal(
      protocol.errors.QUARANTINED,
      "backend servers crashed while they ran this request",
      { step: "admit" },
    );
  }
}

interface Try {
  /** When the request arrived; monotonic, in milliseconds. */
  readonly arrivedAt: number;
  /** Whether no server was tried before. */
  readonly isFirst: boolean;
}

function logFailure(
  work: types.Work,
  server: string,
  attempt: number,
  result: failedAttempt.FailedResult,
): void {
  write("attempt-failed", {
    request: work.requestId,
    server,
    attempt,
    result: result.kind,
    detail: result.kind === "failed" ? result.detail : result.code,
  });
}

function pause(attempt: number): Promise<void> {
  return timers.setTimeout(
    Math.min(FIRST_PAUSE_MS * 2 ** attempt, LONGEST_PAUSE_MS),
  );
}
