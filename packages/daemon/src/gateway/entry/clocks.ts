import type * as core from "@ebonypath/core";

/** Reads both clocks, for times that a suspension of the host counts for. */
export function readClocks(): core.gateway.ClockReading {
  return { monotonicMs: performance.now(), wallMs: Date.now() };
}
