import { wait } from "@ebonypath/testing";
import { fakeBackend } from "@ebonypath/testing";
import * as harness from "../harness/mod.ts";
import * as measure from "../measure/mod.ts";
import type * as types from "../types.ts";

const MODEL = harness.modelName(0);
const SATURATION_MS = 4_000;
const CONCURRENCY = 64;
/**
 * Requests of this time open connections and are not counted: a block follows
 * one of the other kind, in which all connections fall idle and are closed.
 */
const LEAD_IN_MS = 1_000;
const BLOCK_MS = 4_000;
const BLOCKS = 3;
const ENGINE_CONCURRENCY = 512;
const FIRST_TOKEN_MS = 5;

/** Latency that a host adds, and how many requests a second it passes on. */
export const overhead: types.Experiment = {
  name: "overhead",
  summary: "added latency at half load, and requests/s of one host",
  run,
};

async function run(options: types.RunOptions): Promise<types.Outcome> {
  await using fleet = await harness.startHosts(1);
  const service = harness.modelService([harness.model("m0")], ["w0"]);
  const key = await harness.publishService(fleet, service);
  await using fake = await harness.startRemoteFake(fleet, {
    id: "engine-1",
    services: ["bench"],
    concurrency: ENGINE_CONCURRENCY,
    firstTokenMs: FIRST_TOKEN_MS,
  });
  await harness.waitForServers(fleet, 1);
  await using through = new harness.Caller(fleet.host(0).callers, key);
  await using direct = new harness.Caller(fake.address, "unused");
  await warmUp(through);
  const hostRate = await saturate(through);
  const directRate = await saturate(direct);
  const rate = hostRate / 2;
  options.print(`one host passes on ${hostRate.toFixed(0)} requests/s`);
  const latencies = { through: newSeries(), direct: newSeries() };
  const work = { cpuMs: 0, collectionMs: 0, requests: 0 };
  let errors = 0;
  const stalls = measure.watchStalls();
  const random = fakeBackend.seededRandom(options.seed);
  for (let block = 0; block < BLOCKS; block += 1) {
    const before = await measure.readWork(fleet.host(0));
    const ended = await sendBlock(through, rate, random);
    const after = await measure.readWork(fleet.host(0));
    work.cpuMs += after.cpuMs - before.cpuMs;
    work.collectionMs += after.collectionMs - before.collectionMs;
    work.requests += ended.length;
    errors += record(ended, latencies.through);
    errors += record(await sendBlock(direct, rate, random), latencies.direct);
  }
  const clientStalls = stalls();
  const [ours, base] = [
    latencies.through.all.percentiles(),
    latencies.direct.all.percentiles(),
  ];
  return {
    figures: {
      hostRequestsPerSecond: hostRate,
      directRequestsPerSecond: directRate,
      halfLoadRate: rate,
      throughP50Ms: ours.p50,
      throughP99Ms: ours.p99,
      throughP999Ms: ours.p999,
      directP50Ms: base.p50,
      directP99Ms: base.p99,
      directP999Ms: base.p999,
      addedP50Ms: ours.p50 - base.p50,
      addedP99Ms: ours.p99 - base.p99,
      throughLateP99Ms: latencies.through.late.at(99),
      directLateP99Ms: latencies.direct.late.at(99),
      hostCpuMsPerRequest: work.cpuMs / work.requests,
      hostCollectionMsPerRequest: work.collectionMs / work.requests,
      requests: ours.count,
      errors,
      ...clientStalls,
    },
    charts: [{
      title: `Latency at ${rate.toFixed(0)} requests/s`,
      kind: "line",
      x: "percentile",
      y: "ms",
      isLogarithmic: true,
      series: [
        { name: "through a host", points: latencies.through.all.curve() },
        { name: "direct", points: latencies.direct.all.curve() },
      ],
    }],
  };
}

/** Loads the model and lets the server's limit grow. */
async function warmUp(caller: harness.Caller): Promise<void> {
  await wait.waitFor("the first answer", async () => {
    const { status } = await caller.chat(MODEL);
    return status === 200;
  }, { timeoutMs: 20_000 });
  await saturate(caller);
}

function saturate(caller: harness.Caller): Promise<number> {
  return measure.closedLoop(
    CONCURRENCY,
    SATURATION_MS,
    () => caller.chat(MODEL),
  );
}

/** Latencies of one way, and how late the generator sent their requests. */
interface Series {
  readonly all: measure.Latencies;
  readonly late: measure.Latencies;
}

function newSeries(): Series {
  return { all: new measure.Latencies(), late: new measure.Latencies() };
}

type Ended = measure.Finished<string, harness.Answer>;

async function sendBlock(
  caller: harness.Caller,
  rate: number,
  random: measure.Random,
): Promise<Ended[]> {
  const plan = measure.poisson(rate, LEAD_IN_MS + BLOCK_MS, random)
    .map((atMs) => ({ atMs, item: MODEL }));
  return await measure.openLoop(plan, (model) => caller.chat(model));
}

/** Records what came after the lead-in; returns the errors of all. */
function record(ended: readonly Ended[], { all, late }: Series): number {
  for (const { atMs, lateMs, latencyMs } of ended) {
    if (atMs < LEAD_IN_MS) continue;
    all.record(latencyMs);
    late.record(lateMs);
  }
  return ended.filter(({ result }) => result.status !== 200).length;
}
