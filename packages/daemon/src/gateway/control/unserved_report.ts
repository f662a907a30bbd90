/**
 * Reports models that are asked for and not served for long, and why.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import * as log from "../../log/mod.ts";
import type * as metrics from "../metrics.ts";

const write = log.createLog("orders");

/** Interval at which the metrics are set, in milliseconds. */
const INTERVAL_MS = 1_000;
const SECOND_MS = 1_000;

/** What a planning round leaves of a service's unserved models. */
export type UnservedRound = {
  readonly service: string;
  /** By model and `model/adapter`, in milliseconds. */
  readonly ages: ReadonlyMap<string, number>;
  readonly ends: readonly core.gateway.UnservedEnd[];
  readonly obstacles: ReadonlyMap<string, core.gateway.Obstacle>;
  readonly orders: readonly core.gateway.ModelOrder[];
  readonly servers: readonly core.gateway.PlannerServer[];
};

/** Why a model or adapter has not been served. */
type Reason = core.gateway.Obstacle | "ordered" | "loading" | "held";

/** Logs when a reason changes, and keeps the metrics of the leader. */
export class UnservedReport implements Disposable {
  readonly #metrics: Pick<
    metrics.GatewayMetrics,
    "unservedModels" | "unservedOldest"
  >;
  /** By service and model or `model/adapter`. */
  readonly #reasons = new Map<string, Reason>();
  readonly #reportedAt = new Map<string, number>();
  readonly #counts = new Map<string, ReadonlyMap<Reason, number>>();
  readonly #oldestMs = new Map<string, number>();

  constructor(
    gatewayMetrics: Pick<
      metrics.GatewayMetrics,
      "unservedModels" | "unservedOldest"
    >,
  ) {
    this.#metrics = gatewayMetrics;
  }

  /** @param now monotonic time, in milliseconds */
  add(round: UnservedRound, now: number): void {
    this.#logEnds(round);
    const reportedAt = this.#reportedAt.get(round.service) ?? -Infinity;
    if (now - reportedAt < INTERVAL_MS) return;
    this.#reportedAt.set(round.service, now);
    const counts = new Map<Reason, number>();
    const long = [...round.ages].filter(([, ageMs]) =>
      ageMs >= core.gateway.MAX_UNSERVED_MS
    );
    const reasons = reasonsOf(round);
    for (const [key, ageMs] of long) {
      const [model = key] = key.split("/", 1);
      const reason = reasons.get(model) ?? "ordered";
      counts.set(reason, (counts.get(reason) ?? 0) + 1);
      this.#logReason(round.service, key, reason, ageMs);
    }
    this.#counts.set(round.service, counts);
    this.#oldestMs.set(
      round.service,
      Math.max(0, ...long.map(([, ageMs]) => ageMs)),
    );
    this.#setMetrics();
  }

  [Symbol.dispose](): void {
    this.#counts.clear();
    this.#oldestMs.clear();
    this.#setMetrics();
  }

  #logEnds({ ends, service }: UnservedRound): void {
    for (const { ageMs, key, outcome } of ends) {
      this.#reasons.delete(`${service} ${key}`);
      if (ageMs < core.gateway.MAX_UNSERVED_MS) continue;
      write("unserved-end", {
        service,
        model: key,
        age_ms: Math.round(ageMs),
        outcome,
      });
    }
  }

  #logReason(
    service: string,
    model: string,
    reason: Reason,
    ageMs: number,
  ): void {
    const key = `${service} ${model}`;
    if (this.#reasons.get(key) === reason) return;
    this.#reasons.set(key, reason);
    write("unserved", { service, model, age_ms: Math.round(ageMs), reason });
  }

  #setMetrics(): void {
    this.#metrics.unservedModels.reset();
    for (const counts of this.#counts.values()) {
      for (const [reason, count] of counts) {
        this.#metrics.unservedModels.inc({ reason }, count);
      }
    }
    this.#metrics.unservedOldest.set(
      Math.max(0, ...this.#oldestMs.values()) / SECOND_MS,
    );
  }
}

/** Why models have not been served; one without a reason has just been chosen. */
function reasonsOf(
  { obstacles, orders, servers }: UnservedRound,
): ReadonlyMap<string, Reason> {
  const reasons = new Map<string, Reason>(obstacles);
  for (const order of orders) {
    if (order.kind === "load") reasons.set(order.model, "ordered");
  }
  const usable = servers.filter(({ isUsable }) => isUsable);
  for (const { loading } of usable) {
    if (loading !== undefined) reasons.set(loading, "loading");
  }
  for (const { models } of usable) {
    for (const { name } of models) reasons.set(name, "held");
  }
  return reasons;
}
