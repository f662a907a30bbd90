import * as timers from "node:timers/promises";
import { fakeBackend } from "@ebonypath/testing";
import * as harness from "../harness/mod.ts";
import * as measure from "../measure/mod.ts";
import type * as types from "../types.ts";

const HOSTS = 9;
/** Tokens a second and at once; a call takes `COST`. */
const LIMIT = { rate: 1_000, burst: 1_000 };
const COST = 5;
const MAX_WAIT_MS = 2_000;
/** Demand of the parts, over the rate. */
const WITHIN = 0.9;
const BEYOND = 4;
const WITHIN_MS = 15_000;
const BEYOND_MS = 10_000;
const PATH = "/services/plain/items";

/** Limits of a workspace over nine hosts with skewed demand. */
export const rate: types.Experiment = {
  name: "rate",
  summary: "over-use and refusals within the rate over 9 hosts, skewed demand",
  options: { voters: "control hosts; 3 by default" },
  run,
};

interface Part {
  readonly plan: readonly measure.Planned<number>[];
  readonly ended: readonly measure.Finished<number, harness.Answer>[];
}

async function run(options: types.RunOptions): Promise<types.Outcome> {
  const voters = harness.voters(options);
  await using fleet = await harness.startHosts(HOSTS, { voters });
  const key = await harness.publishService(
    fleet,
    harness.plainService(["w0"], COST, MAX_WAIT_MS),
    harness.workspace("w0", LIMIT.rate, LIMIT.burst),
  );
  await using fake = await harness.startPlainFake(fleet, { concurrency: 512 });
  void fake;
  await harness.waitForServers(fleet, 1);
  const callers = fleet.callers.map((origin) =>
    new harness.Caller(origin, key)
  );
  const random = fakeBackend.seededRandom(options.seed);
  const send = async (share: number, durationMs: number): Promise<Part> => {
    const plan = planOf(share, durationMs, random);
    const ended = await measure.openLoop(
      plan,
      (host) => (callers[host] as harness.Caller).send(PATH, { method: "GET" }),
    );
    return { plan, ended };
  };
  // The server's limit grows first, with the bucket full again after it.
  await send(WITHIN / 2, 3_000);
  await timers.setTimeout(1_500);
  const within = await send(WITHIN, WITHIN_MS);
  options.print(`within the rate: ${within.ended.length} requests`);
  const beyond = await send(BEYOND, BEYOND_MS);
  await Promise.all(callers.map((caller) => caller[Symbol.asyncDispose]()));
  return summarize(within, beyond);
}

function planOf(
  share: number,
  durationMs: number,
  random: measure.Random,
): measure.Planned<number>[] {
  const weights = measure.zipf(HOSTS, 1.5);
  return measure.poisson(share * LIMIT.rate / COST, durationMs, random)
    .map((atMs) => ({ atMs, item: measure.choose(weights, random) }));
}

function summarize(within: Part, beyond: Part): types.Outcome {
  const latencies = latenciesOf(within);
  const excess = measure.overUse(takenOf(beyond), LIMIT);
  const served = takenOf(beyond).length * COST;
  const spanS = Math.max(...takenOf(beyond).map(({ atMs }) => atMs)) / 1_000;
  const split = staticSplit(within.plan);
  return {
    figures: {
      requestsWithin: within.ended.length,
      refusedWithin: count(within, 429),
      otherErrorsWithin: within.ended.length - count(within, 429) -
        count(within, 200),
      staticSplitRefusedWithin: split.refused,
      withinP50Ms: latencies.at(50),
      withinP99Ms: latencies.at(99),
      staticSplitP99Ms: split.latencies.at(99),
      requestsBeyond: beyond.ended.length,
      refusedBeyond: count(beyond, 429),
      otherErrorsBeyond: beyond.ended.length - count(beyond, 429) -
        count(beyond, 200),
      otherStatusesBeyond: harness.statuses(beyond.ended, [200, 429]),
      servedTokensBeyond: served,
      allowedTokensBeyond: LIMIT.burst + LIMIT.rate * spanS,
      overUseTokens: Math.max(0, excess),
      usedOfRate: (served - LIMIT.burst) / (LIMIT.rate * spanS),
    },
    charts: [{
      title: "Latency within the rate",
      kind: "line",
      x: "percentile",
      y: "ms",
      series: [
        { name: "ebonypath", points: latencies.curve() },
        { name: "static-split (wait alone)", points: split.latencies.curve() },
      ],
    }],
  };
}

function count(part: Part, status: number): number {
  return part.ended.filter(({ result }) => result.status === status).length;
}

function latenciesOf(part: Part): measure.Latencies {
  const latencies = new measure.Latencies();
  for (const { latencyMs, result } of part.ended) {
    if (result.status === 200) latencies.record(latencyMs);
  }
  return latencies;
}

/** Answered requests at the time of their answers. */
function takenOf(part: Part): measure.Taken[] {
  return part.ended
    .filter(({ result }) => result.status === 200)
    .map(({ atMs, latencyMs }) => ({ atMs: atMs + latencyMs, tokens: COST }));
}

/** Baseline: each host has a ninth of the rate and of the burst. */
function staticSplit(plan: readonly measure.Planned<number>[]) {
  const buckets = Array.from(
    { length: HOSTS },
    () =>
      new measure.Bucket(LIMIT.rate / HOSTS, LIMIT.burst / HOSTS, MAX_WAIT_MS),
  );
  const latencies = new measure.Latencies();
  let refused = 0;
  for (const { atMs, item } of plan) {
    const waitMs = (buckets[item] as measure.Bucket).take(atMs, COST);
    if (waitMs === null) refused += 1;
    else latencies.record(waitMs);
  }
  return { refused, latencies };
}
