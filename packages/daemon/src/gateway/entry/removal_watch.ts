/**
 * Watches requests at servers that are removed at short notice, so that they go
 * on elsewhere when their server is gone.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as metrics from "../metrics.ts";
import type * as fleetView from "./fleet_view.ts";
import type * as hostDrain from "./host_drain.ts";
import type * as types from "./types.ts";

const write = log.createLog("removal");

/**
 * Time after the end of a server at which what it ran counts as broken, in
 * milliseconds. Most connections have been reset by then, and an answer that it
 * sent at its end has arrived.
 */
const END_GRACE_MS = 250;
/** Longest delay of a timer of Node.js, in ms; a longer one ends at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Dependencies of a `RemovalWatch`. */
export interface RemovalWatchOptions {
  readonly view: Pick<fleetView.FleetView, "removals">;
  readonly drain: Pick<hostDrain.HostDrain, "longestRunMs">;
  readonly metrics: Pick<metrics.GatewayMetrics, "removedRuns">;
}

/** A request that a server runs. */
type Run = {
  readonly server: gateway.ServerRecord;
  readonly context: types.RequestContext;
  readonly startedAt: number;
  readonly abortController: AbortController;
  timer: NodeJS.Timeout | undefined;
  /** Time for which the timer is set. */
  endsAt: number;
};

/** A run until it is disposed. */
export interface WatchedRun extends Disposable {
  /** Aborts when the server is gone, or when the caller is. */
  readonly signal: AbortSignal;
}

/** Breaks off requests whose servers are gone without closing connections. */
export class RemovalWatch implements Disposable {
  readonly #options: RemovalWatchOptions;
  readonly #runs = new Set<Run>();

  constructor(options: RemovalWatchOptions) {
    this.#options = options;
  }

  /** Watches a request from now on. */
  watch(
    server: gateway.ServerRecord,
    context: types.RequestContext,
  ): WatchedRun {
    const run: Run = {
      server,
      context,
      startedAt: performance.now(),
      abortController: new AbortController(),
      timer: undefined,
      endsAt: Infinity,
    };
    this.#runs.add(run);
    this.#schedule(run);
    return {
      signal: AbortSignal.any([context.signal, run.abortController.signal]),
      [Symbol.dispose]: () => {
        clearTimeout(run.timer);
        this.#runs.delete(run);
      },
    };
  }

  /** Takes over when servers will be gone, as the view knows now. */
  update(): void {
    for (const run of this.#runs) this.#schedule(run);
  }

  /** Requests that will have to go on elsewhere, and when. */
  *moves(): Generator<{
    readonly context: types.RequestContext;
    readonly dueAt: number;
  }> {
    const { drain, view } = this.#options;
    for (const { context, server, startedAt } of this.#runs) {
      const endsAt = view.removals.endsAt(server);
      if (endsAt === undefined) continue;
      const longestRunMs = drain.longestRunMs(context.route.name);
      const { isRetryable } = context;
      const run = { startedAt, longestRunMs, isRetryable };
      if (core.gateway.needsSuccessor(run, endsAt)) {
        yield { context, dueAt: endsAt };
      }
    }
  }

  [Symbol.dispose](): void {
    for (const { timer } of this.#runs) clearTimeout(timer);
    this.#runs.clear();
  }

  #schedule(run: Run): void {
    const endsAt = this.#options.view.removals.endsAt(run.server);
    if (endsAt === undefined || endsAt >= run.endsAt) return;
    clearTimeout(run.timer);
    run.endsAt = endsAt;
    const delayMs = endsAt + END_GRACE_MS - performance.now();
    run.timer = setTimeout(
      () => this.#breakOff(run),
      Math.min(Math.max(0, delayMs), MAX_TIMER_MS),
    );
  }

  #breakOff({ abortController, context, server }: Run): void {
    this.#options.metrics.removedRuns.inc();
    write("server-gone", { server: server.id, id: context.metadata.id });
    abortController.abort();
  }
}
