/**
 * Counts the requests that servers begin to run for this host.
 *
 * @module
 */
import type * as http from "node:http";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as types from "./types.ts";

const write = log.createLog("usage");

/** The part of a report that tells what servers have begun. */
export type BegunReport = Pick<gateway.ReportRequest, "begun" | "wallMs">;

/**
 * Counts begun requests by window and workspace, if the fleet reports usage. A
 * request counts at each server that has begun it: with the first byte of a
 * stream, or the head of any other answer.
 *
 * @example
 * ```ts
 * const counter = new UsageCounter(5_000);
 * counter.recordBegun(context, response);
 * const report = counter.collect(term);
 * ```
 */
export class UsageCounter {
  readonly #counter: core.duties.BegunCounter | undefined;
  #logged = 0;

  /** @param windowMs length of a window, or `undefined` if none is reported */
  constructor(windowMs: number | undefined) {
    if (windowMs === undefined) return;
    const offsetMs = Date.now() - performance.now();
    this.#counter = new core.duties.BegunCounter(windowMs, offsetMs);
  }

  /** Whether counts wait for a report. */
  get hasNews(): boolean {
    return this.#counter?.hasNews(performance.now()) ?? false;
  }

  /** Whether the leader of a term lacks counts. */
  hasChanges(term: number): boolean {
    return (this.#counter?.changes(term).length ?? 0) > 0;
  }

  /** @param stream the answer, if it is a stream that has no event yet */
  recordBegun(
    { workspace }: types.RequestContext,
    stream?: http.IncomingMessage,
  ): void {
    const counter = this.#counter;
    if (counter === undefined || workspace === undefined) return;
    const count = () => counter.count(workspace.name, performance.now());
    if (stream === undefined) count();
    else stream.once("data", count);
  }

  /** What the leader of a term lacks. */
  collect(term: number): BegunReport {
    if (this.#counter === undefined) return {};
    return { begun: this.#counter.changes(term), wallMs: Date.now() };
  }

  /** @param requestedAt monotonic time of the report, in milliseconds */
  onReportResponse(
    response: gateway.ReportResponse,
    { begun = [] }: BegunReport,
    requestedAt: number,
  ): void {
    const now = performance.now();
    this.#counter?.acknowledge(begun, response.term, now);
    this.#counter?.applyAnswer(response, requestedAt, now);
    this.#logLost();
  }

  #logLost(): void {
    const { dropped = 0, late = 0 } = this.#counter ?? {};
    if (dropped + late === this.#logged) return;
    this.#logged = dropped + late;
    write("begun-not-counted", { late, dropped });
  }
}
