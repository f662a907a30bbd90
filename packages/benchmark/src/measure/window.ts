import * as latency from "./latency.ts";
import type * as load from "./load.ts";

type Ended = readonly load.Finished<unknown, { readonly status: number }>[];

/**
 * Latencies of the answered requests that were planned within a window.
 *
 * @example
 * ```ts
 * latenciesIn(ended, 0, FAULT_MS).at(99);
 * ```
 */
export function latenciesIn(
  ended: Ended,
  fromMs: number,
  toMs: number,
): latency.Latencies {
  const latencies = new latency.Latencies();
  for (const { atMs, latencyMs, result } of ended) {
    const isIn = atMs >= fromMs && atMs < toMs;
    if (isIn && result.status === 200) latencies.record(latencyMs);
  }
  return latencies;
}

/**
 * Points of a plot over a run: the second at which each slice begins, and the
 * latency in milliseconds that `percent` of its requests reach.
 *
 * @example
 * ```ts
 * slicesOf(ended, DURATION_MS, 500, 100);
 * ```
 */
export function slicesOf(
  ended: Ended,
  durationMs: number,
  sliceMs: number,
  percent: number,
): [number, number][] {
  const points: [number, number][] = [];
  for (let time = 0; time < durationMs; time += sliceMs) {
    const latencies = latenciesIn(ended, time, time + sliceMs);
    points.push([time / 1_000, latencies.at(percent)]);
  }
  return points;
}
