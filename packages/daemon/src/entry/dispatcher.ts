/**
 * Runs work from admission to its answer, and retries it where that is safe.
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

/**
 * Largest part of the remaining time that the first attempt may use up before
 * its connection is suspected.
 */
const EARLY_TIMEOUT_FRACTION = 0.5;
/**
 * Base of the exponential backoff before the same server is tried again, in
 * milliseconds.
 */
const BASE_BACKOFF_MS = 20;
/** Longest backoff before the same server is tried again, in milliseconds. */
const MAX_BACKOFF_MS = 1_000;

/** Dependencies of {@link Dispatcher}. */
export interface DispatcherOptions {
  readonly state: host.FleetState;
  readonly shares: core.limits.HostShares;
  readonly admission: admission.Admission;
  readonly placement: placements.PlacementQueue;
  readonly client: backend.InferenceClient;
  readonly suspects: core.suspicion.HostSuspects;
  readonly crashDetector: crashDetection.CrashDetector;
  readonly metrics: metrics.Metrics;
  readonly streamIdleTimeoutMs: number;
  /** Clock for the silence of streams. */
  readonly clock: Pick<stallAwareClock.StallAwareClock, "nowMs">;
}

/** A request that a backend server is running for this host. */
export interface RunningRequest {
  readonly work: types.Work;
  readonly server: protocol.control.ServerStatus;
}

/** Runs the work of an entry host. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #running = new Set<RunningRequest>();
  readonly #retryBudget = new core.routing.RetryBudget(performance.now());

  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /** Requests that backend servers are running. */
  get running(): ReadonlySet<RunningRequest> {
    return this.#running;
  }

  /**
   * Runs work to completion and passes an answer or a refusal to the sink.
   *
   * @param signal Aborts the work when its caller disconnects.
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
        await this.#runWithRetries(work, sink, signal, arrivedAt);
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
      used = await this.#runWithRetries(work, sink, signal, arrivedAt);
    } catch (error) {
      // A request that may have run is charged everything that it reserved.
      const hasNotRun = error instanceof protocol.errors.Refusal &&
        error.outcome === "not-run";
      used = hasNotRun ? 0 : work.tokens;
      if (hasNotRun) admission.recordReturned(workspace, work.tokens);
      throw error;
    } finally {
      shares.settle(reservation, used, performance.now());
      admission.admitWaiting();
    }
  }

  /** Tries servers until one answers, and returns the tokens used. */
  async #runWithRetries(
    work: types.Work,
    sink: types.Sink,
    signal: AbortSignal,
    arrivedAt: number,
  ): Promise<number> {
    const tried = new triedServers.TriedServers();
    let mayHaveRun = false;
    this.#retryBudget.deposit();
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
          this.#retryBudget,
        );
        this.#options.metrics.retries.inc();
        if (tried.ids.has(id)) await backOff(attempt);
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
    { arrivedAt, isFirst }: AttemptContext,
  ): Promise<attempts.AttemptResult> {
    const { client, metrics, placement, shares, streamIdleTimeoutMs } =
      this.#options;
    const running = { work, server: placed.server };
    let outcome: core.limits.SlotOutcome = "neutral";
    let mayStillRun = false;
    let isAbortConfirmed = false;
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
          // A plain service may continue after it has closed the connection.
          if (placed.server.kind === "plain") return;
          isAbortConfirmed = true;
          shares.confirmEnd(placed.slot);
          placement.placeWaiting();
        },
        onFirstByte: () => {
          const now = performance.now();
          metrics.firstByte.observe((now - arrivedAt) / 1_000);
          placement.serviceTimes.observeFirstByte(work.target, now - sentAt);
          if (work.stream) this.#recordAnswerTime(work, sentAt);
        },
        clock: this.#options.clock,
        onStreamSustained: () => shares.markSucceeded(placed.slot),
      });
      mayStillRun = !isAbortConfirmed &&
        this.#mayStillRun(work, result, sentAt);
      this.#recordServiceTime(work, result, sentAt);
      outcome = this.#hadTooLittleTime(work, result, sentAt)
        ? "neutral"
        : attempts.slotOutcome(result);
      this.#reportOutcome(placed.server.id, outcome);
      this.#options.suspects.recordEnd(
        work.fingerprint,
        result.kind === "answered",
      );
      return result;
    } finally {
      this.#running.delete(running);
      if (mayStillRun) {
        shares.abandonSlot(placed.slot, outcome, performance.now());
      } else {
        shares.releaseSlot(placed.slot, outcome);
      }
      placement.placeWaiting();
    }
  }

  /**
   * Whether the server may still be running an attempt that has ended here.
   * When the caller disconnects, the attempt also ends at the server, unless
   * the connection to the server has gone silent.
   */
  #mayStillRun(
    work: types.Work,
    result: attempts.AttemptResult,
    sentAt: number,
  ): boolean {
    if (result.kind !== "failed" || !result.bytesSent) return false;
    const isStreaming = result.bytesToCaller;
    if (result.fault !== "cancelled" || isStreaming) return result.mayStillRun;
    const thresholdMs = this.#options.placement.serviceTimes.stallThresholdMs(
      work.target,
    );
    return thresholdMs !== undefined &&
      performance.now() - sentAt >= thresholdMs;
  }

  /**
   * Returns the wait for the response headers. A pooled connection may be dead
   * without notice, so the first attempt of an idempotent request times out
   * early; the next one uses a new connection and all of the remaining time.
   */
  #firstByteTimeoutMs(work: types.Work, isFirst: boolean): number {
    const remainingMs = Math.max(1, work.deadline - performance.now());
    const thresholdMs = this.#options.placement.serviceTimes.stallThresholdMs(
      work.target,
    );
    const timesOutEarly = isFirst && work.idempotent &&
      thresholdMs !== undefined &&
      thresholdMs < remainingMs * EARLY_TIMEOUT_FRACTION;
    return timesOutEarly ? thresholdMs : remainingMs;
  }

  /**
   * Records the service time. An answer cut off by the deadline is recorded
   * too: it would have taken at least as long.
   */
  #recordServiceTime(
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
      if (!work.stream) this.#recordAnswerTime(work, sentAt);
      else {
        this.#options.placement.serviceTimes.observeStream(
          work.target,
          now - sentAt,
        );
      }
      return;
    }
    const isCutByDeadline = result.kind === "failed" && result.bytesSent &&
      !result.bytesToCaller && now >= work.deadline;
    if (isCutByDeadline) this.#recordAnswerTime(work, sentAt);
  }

  #recordAnswerTime(work: types.Work, sentAt: number): void {
    this.#options.placement.serviceTimes.observeAnswer(
      work.target,
      work.stream,
      performance.now() - sentAt,
    );
  }

  /**
   * Whether the deadline left the server less time than its stall threshold.
   * Such a timeout says nothing about the server.
   */
  #hadTooLittleTime(
    work: types.Work,
    result: attempts.AttemptResult,
    sentAt: number,
  ): boolean {
    if (result.kind !== "failed") return false;
    if (result.fault !== "first-byte-timeout") return false;
    const thresholdMs = this.#options.placement.serviceTimes.stallThresholdMs(
      work.target,
    );
    return thresholdMs !== undefined &&
      performance.now() - sentAt < thresholdMs;
  }

  /** Reports the outcome of an attempt to the outlier detection. */
  #reportOutcome(server: string, outcome: core.limits.SlotOutcome): void {
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

  /** Refuses if the key was revoked while the request waited. */
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

interface AttemptContext {
  /** Arrival of the request, in monotonic milliseconds. */
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

function backOff(attempt: number): Promise<void> {
  return timers.setTimeout(
    Math.min(BASE_BACKOFF_MS * 2 ** attempt, MAX_BACKOFF_MS),
  );
}
