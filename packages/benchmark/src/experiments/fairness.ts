import * as timers from "node:timers/promises";
import { fakeBackend, type launcher } from "@ebonypath/testing";
import * as harness from "../harness/mod.ts";
import * as measure from "../measure/mod.ts";
import type * as types from "../types.ts";

const HOSTS = 3;
const CONCURRENCY = 8;
const CALL_MS = 50;
const MAX_WAIT_MS = 5_000;
const PATH = "/services/plain/items";
/** Calls a second that the quiet workspace sends, within its rate. */
const QUIET_RATE = 40;
/** Calls a second that the loud workspace bought; it sends five times that. */
const LOUD_RATE = 120;
const LOUD_FACTOR = 5;
const PART_MS = 8_000;
/** Part of a run that is left out while limits and queues settle. */
const SETTLE_MS = 2_000;

type Workspace = "quiet" | "loud";

/** A workspace within its rate while another sends five times its own. */
export const fairness: types.Experiment = {
  name: "fairness",
  summary: "worst workspace within its rate while another sends 5 × its rate",
  options: { voters: "control hosts; 3 by default" },
  run,
};

async function run(options: types.RunOptions): Promise<types.Outcome> {
  const voters = harness.voters(options);
  await using fleet = await harness.startHosts(HOSTS, { voters });
  await harness.publish(fleet, {
    workspaces: [
      harness.workspace("quiet", 2 * QUIET_RATE, 2 * QUIET_RATE),
      harness.workspace("loud", LOUD_RATE, LOUD_RATE),
    ],
    services: [harness.plainService(["quiet", "loud"], 1, MAX_WAIT_MS)],
  });
  await using fake = await harness.startPlainFake(fleet, {
    concurrency: CONCURRENCY,
    callMs: CALL_MS,
  });
  void fake;
  await harness.waitForServers(fleet, 1);
  const callers = await startCallers(fleet);
  const random = fakeBackend.seededRandom(options.seed);
  const send = async (loudRate: number) => {
    const plan = planOf(loudRate, random);
    const ended = await measure.openLoop(plan, ({ workspace, host }) => {
      const caller = callers[workspace][host] as harness.Caller;
      return caller.send(PATH, { method: "GET" });
    });
    await timers.setTimeout(1_000);
    return { plan, ended };
  };
  await send(0);
  const alone = await send(0);
  options.print("the quiet workspace alone: done");
  const stalls = measure.watchStalls();
  const both = await send(LOUD_FACTOR * LOUD_RATE);
  const clientStalls = stalls();
  for (const caller of [...callers.quiet, ...callers.loud]) {
    await caller[Symbol.asyncDispose]();
  }
  const outcome = summarize(alone.ended, both.ended, both.plan);
  return { ...outcome, figures: { ...outcome.figures, ...clientStalls } };
}

interface Call {
  readonly workspace: Workspace;
  readonly host: number;
}
type Ended = readonly measure.Finished<Call, harness.Answer>[];

async function startCallers(fleet: launcher.Fleet) {
  const { operator } = fleet.host(0);
  const open = async (name: Workspace) => {
    const { key } = await operator.grantKey(name);
    return fleet.callers.map((origin) => new harness.Caller(origin, key));
  };
  return { quiet: await open("quiet"), loud: await open("loud") };
}

function planOf(
  loudRate: number,
  random: measure.Random,
): measure.Planned<Call>[] {
  const of = (workspace: Workspace, rate: number) =>
    rate === 0 ? [] : measure.poisson(rate, PART_MS, random).map((atMs) => ({
      atMs,
      item: { workspace, host: Math.floor(random() * HOSTS) },
    }));
  return [...of("quiet", QUIET_RATE), ...of("loud", loudRate)]
    .sort((a, b) => a.atMs - b.atMs);
}

function summarize(
  alone: Ended,
  both: Ended,
  plan: readonly measure.Planned<Call>[],
): types.Outcome {
  const [before, during] = [latenciesOf(alone), latenciesOf(both)];
  const fifo = firstInFirstOut(plan);
  const [loud, quiet] = [callsOf(both, "loud"), callsOf(both, "quiet")];
  return {
    figures: {
      aloneP50Ms: before.at(50),
      aloneP99Ms: before.at(99),
      duringP50Ms: during.at(50),
      duringP99Ms: during.at(99),
      ratioP99: during.at(99) / before.at(99),
      goalRatioP99: 1.5,
      fifoP99Ms: fifo.at(99),
      quietRequests: quiet.length,
      quietErrors: errorsOf(quiet),
      loudRequests: loud.length,
      loudServed: loud.length - errorsOf(loud),
      loudStatuses: harness.statuses(loud, [200]),
      ...refusalsOf(loud),
      loudRefused: loud.filter(({ result }) => result.status === 429).length,
    },
    charts: [{
      title: "Latency of the workspace within its rate",
      kind: "line",
      x: "percentile",
      y: "ms",
      isLogarithmic: true,
      series: [
        { name: "alone", points: before.curve() },
        { name: "beside 5 × the other's rate", points: during.curve() },
        { name: "one queue for all (simulated)", points: fifo.curve() },
      ],
    }],
  };
}

function callsOf(ended: Ended, workspace: Workspace): Ended {
  return ended.filter(({ item, atMs }) =>
    item.workspace === workspace && atMs >= SETTLE_MS
  );
}

function errorsOf(ended: Ended): number {
  return ended.filter(({ result }) => result.status !== 200).length;
}

/** Whether refusals are early, and certain. */
function refusalsOf(ended: Ended) {
  const refused = ended.filter(({ result }) => result.status !== 200);
  const latencies = new measure.Latencies();
  for (const { latencyMs } of refused) latencies.record(latencyMs);
  const unclear = refused.filter(({ result }) => result.outcome !== "not-run");
  return {
    loudRefusalP50Ms: latencies.at(50),
    loudRefusalP90Ms: latencies.at(90),
    loudMayHaveRun: unclear.length,
  };
}

function latenciesOf(ended: Ended): measure.Latencies {
  const latencies = new measure.Latencies();
  for (const { latencyMs, result } of callsOf(ended, "quiet")) {
    if (result.status === 200) latencies.record(latencyMs);
  }
  return latencies;
}

/**
 * Baseline: the same arrivals with no limit a workspace, in one queue in the
 * order of arrival, without any cost of control.
 */
function firstInFirstOut(
  plan: readonly measure.Planned<Call>[],
): measure.Latencies {
  const latencies = new measure.Latencies();
  const freeAt = Array.from({ length: CONCURRENCY }, () => 0);
  for (const { atMs, item } of plan) {
    const index = freeAt.indexOf(Math.min(...freeAt));
    const startMs = Math.max(atMs, freeAt[index] as number);
    const waitMs = startMs - atMs;
    if (waitMs > MAX_WAIT_MS) continue;
    freeAt[index] = startMs + CALL_MS;
    if (item.workspace === "quiet" && atMs >= SETTLE_MS) {
      latencies.record(waitMs + CALL_MS);
    }
  }
  return latencies;
}
