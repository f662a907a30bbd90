import { placement } from "@ebonypath/core";
import { fakeBackend } from "@ebonypath/testing";
import * as measure from "../measure/mod.ts";
import type * as types from "../types.ts";

const HOUR_MS = 3_600_000;
const DURATION_MS = 24 * HOUR_MS;
const MODELS = 110;
/** Part of the models that wake up or fall idle within an hour. */
const TURNOVER = 0.12;
/** Requests an hour of a model that is in use, the most popular one first. */
const TOP_PER_HOUR = 240;
const AWAKE_PART = 0.3;
const RELOAD_MS = 12_000;
const SHARE = 0.25;
const STEP_MS = 5_000;

/** Whether a model that is not needed is unloaded now. */
type Policy = (known: Known) => boolean;

interface Known {
  readonly model: string;
  readonly arrivals: placement.ArrivalRates;
  readonly sinceMs: number;
  readonly lastMs: number;
  readonly nowMs: number;
}

const POLICIES: Readonly<Record<string, Policy>> = {
  ours: ({ model, arrivals, sinceMs, nowMs }) =>
    placement.shouldUnloadIdle(
      { model, reloadMs: RELOAD_MS, memoryShare: SHARE },
      arrivals,
      sinceMs,
      nowMs,
    ),
  keepAlways: () => false,
  timeout60: ({ lastMs, nowMs }) => nowMs - lastMs > 60_000,
  timeout300: ({ lastMs, nowMs }) => nowMs - lastMs > 300_000,
  timeout900: ({ lastMs, nowMs }) => nowMs - lastMs > 900_000,
};

/** Idle accelerator time against waits, by a simulation of a day. */
export const idleHours: types.Experiment = {
  name: "idle-hours",
  summary: "idle accelerator hours and cold starts of a day, by policy",
  run,
};

function run(options: types.RunOptions): Promise<types.Outcome> {
  const traces = Array.from(
    { length: MODELS },
    (_, index) =>
      traceOf(index, fakeBackend.seededRandom(options.seed + index)),
  );
  const figures: Record<string, number> = {
    requests: traces.reduce((sum, trace) => sum + trace.length, 0),
  };
  const rows: [string, number, number][] = [];
  for (const [name, policy] of Object.entries(POLICIES)) {
    if (options.baseline !== undefined && name !== "ours") {
      if (name !== options.baseline) continue;
    }
    const totals = simulate(traces, policy);
    figures[`${name}IdleHours`] = totals.idleMs * SHARE / HOUR_MS;
    figures[`${name}ColdStarts`] = totals.coldStarts;
    figures[`${name}WaitHours`] = totals.coldStarts * RELOAD_MS / HOUR_MS;
    rows.push([
      name,
      totals.idleMs * SHARE / HOUR_MS,
      totals.coldStarts * RELOAD_MS / HOUR_MS,
    ]);
  }
  return Promise.resolve({
    figures,
    charts: [{
      title: "A day of 110 models",
      kind: "bar",
      x: "policy",
      y: "hours",
      isLogarithmic: true,
      series: [
        {
          name: "idle accelerator hours",
          points: rows.map(([name, idle]) => [name, Math.max(idle, 0.01)]),
        },
        {
          name: "hours waited for loads",
          points: rows.map(([name, , wait]) => [name, Math.max(wait, 0.01)]),
        },
      ],
    }],
  });
}

/** Arrivals of one model that wakes up and falls idle now and then. */
function traceOf(index: number, random: measure.Random): number[] {
  const perHour = TOP_PER_HOUR / (index + 1);
  let isAwake = random() < AWAKE_PART;
  const times: number[] = [];
  for (let hour = 0; hour < DURATION_MS; hour += HOUR_MS) {
    if (random() < TURNOVER) isAwake = !isAwake;
    const rate = isAwake ? perHour : perHour / 50;
    const arrivals = measure.poisson(rate / 3_600, HOUR_MS, random);
    times.push(...arrivals.map((time) => hour + time));
  }
  return times;
}

function simulate(traces: readonly number[][], policy: Policy) {
  const arrivals = new placement.ArrivalRates();
  let idleMs = 0;
  let coldStarts = 0;
  for (const [index, trace] of traces.entries()) {
    const model = `m${index}`;
    let loadedMs: number | undefined;
    let lastMs = 0;
    let next = 0;
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
      while ((trace[next] ?? Infinity) <= nowMs) {
        lastMs = trace[next] as number;
        arrivals.recordArrivals(model, 1, lastMs);
        if (loadedMs === undefined) {
          coldStarts += 1;
          loadedMs = lastMs;
        }
        next += 1;
      }
      if (loadedMs === undefined) continue;
      idleMs += STEP_MS;
      const known = { model, arrivals, sinceMs: loadedMs, lastMs, nowMs };
      if (policy(known)) loadedMs = undefined;
    }
  }
  return { idleMs, coldStarts };
}
