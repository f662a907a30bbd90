/**
 * Runs work from admission to its answer, with retries where they are safe.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import type * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as backend from "../backend/mod.ts";
import type * as host from "../host/mod.ts";
import * as log from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as admission from "./admission.ts";
import * as attempts from "./attempt.ts";
import * as authentication from "./authentication.ts";
import type * as placements from "./placement.ts";
import type * as types from "./types.ts";

const write = log.createLog("dispatch");

/** Tries of one request that may have reached a server. */
const MAX_ATTEMPTS = 3;
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
  readonly metrics: metrics.Metrics;
  readonly streamIdleTimeoutMs: number;
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
    const { admission, shares } = this.#options;
    const reservation = await admission.reserve(work, workspace, signal);
    let used = 0;
    try {
      used = await this.#serve(work, sink, signal, arrivedAt);
    } catch (error) {
      // A request that may have run may have used all that it reserved.
      const isFree = error instanceof protocol.errors.Refusal &&
        error.outcome === "not-run";
      used = isFree ? 0 : work.tokens;
      throw error;
    } finally {
      shares.settle(reservation, used, performance.now());
      admission.pump();
    }
  }

  /** Tries servers until one answers; resolves with the tokens used. */
  async #serve(
    work: types.Work,
    sink: types.Sink,
    signal: AbortSignal,
    arrivedAt: number,
  ): Promise<number> {
    const excluded = new Set<string>();
    let sent = 0;
    for (let number = 1;; number += 1) {
      const { placement } = this.#options;
      const placed = await placement.place(work, excluded, signal);
      const result = await this.#attempt(
        work,
        placed,
        sink,
        signal,
        arrivedAt,
      );
      if (result.kind === "answered") return result.tokens;
      write("attempt-failed", {
        request: work.requestId,
        server: placed.server.id,
        attempt: number,
        result: result.kind,
        detail: result.kind === "failed" ? result.detail : result.code,
      });
      if (result.kind === "failed" && result.bytesSent) sent += 1;
      requireRetry(work, placed.server.id, result, sent);
      this.#options.metrics.retries.inc();
      if (excluded.has(placed.server.id)) await pause(number);
      excluded.add(placed.server.id);
    }
  }

  async #attempt(
    work: types.Work,
    placed: placements.Placement,
    sink: types.Sink,
    signal: AbortSignal,
    arrivedAt: number,
  ): Promise<attempts.AttemptResult> {
    const { client, metrics, placement, shares, streamIdleTimeoutMs } =
      this.#options;
    const running = { work, server: placed.server };
    let outcome: core.limits.SlotOutcome = "neutral";
    this.#running.add(running);
    try {
      this.#checkKey(work);
      metrics.queueWait.observe((performance.now() - arrivedAt) / 1_000);
      const result = await attempts.attempt({
        client,
        server: placed.server,
        work,
        sink,
        signal,
        streamIdleTimeoutMs,
        onFirstByte: () =>
          metrics.firstByte.observe((performance.now() - arrivedAt) / 1_000),
      });
      outcome = attempts.slotOutcome(result);
      return result;
    } finally {
      this.#running.delete(running);
      shares.releaseSlot(placed.slot, outcome);
      placement.pump();
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

/** @throws {protocol.errors.Refusal} the request must not be sent again */
function requireRetry(
  work: types.Work,
  server: string,
  result: Exclude<attempts.AttemptResult, { kind: "answered" }>,
  sent: number,
): void {
  const mayHaveRun = result.kind === "failed" && result.bytesSent;
  const mayRepeat = !mayHaveRun ||
    (work.idempotent && !result.bytesToCaller && result.fault !== "cancelled");
  const isInTime = performance.now() < work.deadline;
  if (mayRepeat && isInTime && sent < MAX_ATTEMPTS) return;
  const detail = result.kind === "failed"
    ? result.detail
    : `refused: ${result.code}`;
  throw new protocol.errors.Refusal(
    definitionOf(mayHaveRun, isInTime),
    detail,
    { step: "dispatch", peer: server },
  );
}

function pause(attempt: number): Promise<void> {
  return timers.setTimeout(
    Math.min(FIRST_PAUSE_MS * 2 ** attempt, LONGEST_PAUSE_MS),
  );
}

function definitionOf(
  mayHaveRun: boolean,
  isInTime: boolean,
): protocol.errors.Definition {
  if (mayHaveRun) {
    return isInTime
      ? protocol.errors.BACKEND_FAILED
      : protocol.errors.DEADLINE_EXCEEDED;
  }
  return isInTime
    ? protocol.errors.NO_CAPACITY
    : protocol.errors.NOT_STARTED_IN_TIME;
}
