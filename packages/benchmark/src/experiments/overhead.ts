import { wait } from "@ebonypath/testing";
import { fakeBackend } from "@ebonypath/testing";
import * as harness from "../harness/mod.ts";
import * as measure from "../measure/mod.ts";
import type * as types from "../types.ts";

const MODEL = harness.modelName(0);
const SATURATION_MS = 4_000;
const CONCURRENCY = 64;
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
  const models = [harness.model("m0")];
  await harness.publish(fleet, {
    workspaces: [harness.workspace("w0")],
    services: [harness.modelService(models, ["w0"])],
  });
  const { key } = await fleet.host(0).operator.grantKey("w0");
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
  const latencies = {
    through: new measure.Latencies(),
    direct: new measure.Latencies(),
  };
  let errors = 0;
  const stalls = measure.watchStalls();
  const random = fakeBackend.seededRandom(options.seed);
  for (let block = 0; block < BLOCKS; block += 1) {
    errors += await sendBlock(through, rate, random, latencies.through);
    errors += await sendBlock(direct, rate, random, latencies.direct);
  }
  const clientStalls = stalls();
  const [ours, base] = [
    latencies.through.percentiles(),
    latencies.direct.percentiles(),
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
        { name: "through a host", points: latencies.through.curve() },
        { name: "direct", points: latencies.direct.curve() },
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

async function sendBlock(
  caller: harness.Caller,
  rate: number,
  random: measure.Random,
  latencies: measure.Latencies,
): Promise<number> {
  const plan = measure.poisson(rate, BLOCK_MS, random)
    .map((atMs) => ({ atMs, item: MODEL }));
  const ended = await measure.openLoop(plan, (model) => caller.chat(model));
  for (const { latencyMs } of ended) latencies.record(latencyMs);
  return ended.filter(({ result }) => result.status !== 200).length;
}
