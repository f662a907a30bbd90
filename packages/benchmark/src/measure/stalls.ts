import * as hooks from "node:perf_hooks";

const NANOSECONDS_PER_MS = 1e6;
const RESOLUTION_MS = 1;

/** Delays of the load generator itself, which are in all its latencies. */
export interface Stalls {
  readonly clientDelayP99Ms: number;
  readonly clientDelayMaxMs: number;
}

/**
 * Measures how late the generator's own timers fire until the result is called.
 *
 * @example
 * ```ts
 * const stalls = watchStalls();
 * await openLoop(plan, send);
 * console.log(stalls().clientDelayMaxMs);
 * ```
 */
export function watchStalls(): () => Stalls {
  const delays = hooks.monitorEventLoopDelay({ resolution: RESOLUTION_MS });
  delays.enable();
  return () => {
    delays.disable();
    return {
      clientDelayP99Ms: delays.percentile(99) / NANOSECONDS_PER_MS,
      clientDelayMaxMs: delays.max / NANOSECONDS_PER_MS,
    };
  };
}
