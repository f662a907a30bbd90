import * as timers from "node:timers/promises";
import { fakeBackend, type launcher } from "@ebonypath/testing";
import * as harness from "../harness/mod.ts";
import * as measure from "../measure/mod.ts";
import type * as types from "../types.ts";
import * as leastLoaded from "./least_loaded.ts";

const HOSTS = 9;
const SERVERS = 4;
/** Models of the first part, each of them asked for once. */
const MODELS = 32;
/** Models of the second part, each wanted by all hosts at once. */
const BURST_MODELS = 6;
const BURST_PER_HOST = 8;
const WARM_UP_MODEL = harness.modelName(MODELS + BURST_MODELS);
const INTERVAL_MS = 350;
/** Slow requests that are printed. */
const SHOWN = 5;
const FIRST_TOKEN_MS = 20;
const LOAD_MS = { memoryMs: 60, diskMs: 300, storeMs: 1_000 };
const GB = 10 ** 9;

/** One cold request of the plan. */
export interface Cold {
  readonly model: string;
  readonly host: number;
}

/** Time to the first token of models that are not loaded. */
export const coldStart: types.Experiment = {
  name: "cold-start",
  summary: "first answer of cold models against the physical load time",
  options: { voters: "control hosts; 3 by default" },
  run,
};

async function run(options: types.RunOptions): Promise<types.Outcome> {
  const random = fakeBackend.seededRandom(options.seed);
  const plan = measure.poisson(
    1_000 / INTERVAL_MS,
    MODELS * INTERVAL_MS * 2,
    random,
  )
    .slice(0, MODELS)
    .map((atMs, index) => ({
      atMs,
      item: {
        model: harness.modelName(index),
        host: Math.floor(random() * HOSTS),
      },
    }));
  const floors = floorsOf(plan);
  await using fleet = await startFleet(options);
  const { key } = await fleet.host(0).operator.grantKey("w0");
  await using fakes = await startFakes(fleet);
  await harness.waitForServers(fleet, SERVERS);
  const callers = fleet.callers.map((origin) =>
    new harness.Caller(origin, key)
  );
  // What a new leader waits for is the matter of the experiment failover.
  await (callers[0] as harness.Caller).chat(WARM_UP_MODEL, 1);
  const ours = await measure.openLoop(
    plan,
    ({ model, host }) => (callers[host] as harness.Caller).chat(model, 1),
  );
  for (const { item, atMs, latencyMs } of slowest(ours, floors)) {
    const floorMs = floors.get(item.model) as number;
    options.print(
      `slow: ${item.model} at ${atMs.toFixed(0)} ms took ` +
        `${latencyMs.toFixed(0)} ms instead of ${floorMs.toFixed(0)} ms`,
    );
  }
  const burst = await runBurst(callers, fakes.all);
  await Promise.all(callers.map((caller) => caller[Symbol.asyncDispose]()));
  await using others = await startFakes(undefined);
  await using baseline = new leastLoaded.LeastLoaded(others.all);
  const theirs = await measure.openLoop(
    plan,
    ({ model }) => baseline.chat(model),
  );
  const [our, their] = [summarize(ours, floors), summarize(theirs, floors)];
  return {
    figures: {
      coldP50Ms: our.latencies.at(50),
      coldP99Ms: our.latencies.at(99),
      floorP50Ms: our.floors.at(50),
      floorP99Ms: our.floors.at(99),
      ratioP50: our.ratios.at(50),
      ratioP99: our.ratios.at(99),
      goalRatioP99: 1.25,
      leastLoadedP50Ms: their.latencies.at(50),
      leastLoadedP99Ms: their.latencies.at(99),
      leastLoadedRatioP99: their.ratios.at(99),
      burstP50Ms: burst.latencies.at(50),
      burstP99Ms: burst.latencies.at(99),
      burstLoadsPerModel: burst.loadsPerModel,
      errors: our.errors + burst.errors,
      leastLoadedErrors: their.errors,
    },
    charts: [{
      title: "Time to the first answer over the physical load time",
      kind: "line",
      x: "percentile",
      y: "ratio",
      series: [
        { name: "ebonypath", points: our.ratios.curve() },
        { name: "least-loaded", points: their.ratios.curve() },
      ],
    }],
  };
}

async function startFleet(options: types.RunOptions): Promise<launcher.Fleet> {
  const voters = harness.voters(options);
  const fleet = await harness.startHosts(HOSTS, { voters });
  const models = Array.from(
    { length: MODELS + BURST_MODELS + 1 },
    (_, index) => harness.model(`m${index}`, { bytes: 4 * GB, kvBytes: GB }),
  );
  await harness.publish(fleet, {
    workspaces: [harness.workspace("w0")],
    services: [harness.modelService(models, ["w0"])],
  });
  return fleet;
}

/** Four servers with room for all models, and half of the models on disks. */
async function startFakes(fleet: launcher.Fleet | undefined) {
  const store = new fakeBackend.WeightStore();
  const all: fakeBackend.FakeBackend[] = [];
  for (let server = 0; server < SERVERS; server += 1) {
    all.push(
      await fakeBackend.startFakeBackend({
        id: `engine-${server}`,
        failureDomain: `fd-${server + 1}`,
        services: ["bench"],
        memoryBytes: 80 * GB,
        loadTimes: LOAD_MS,
        firstTokenMs: FIRST_TOKEN_MS,
        store,
        cached: cachedOn(server),
        entries: fleet?.backends ?? [],
        joinToken: fleet?.secrets.joinToken ?? "",
      }),
    );
  }
  return {
    all,
    async [Symbol.asyncDispose]() {
      for (const fake of all) await fake[Symbol.asyncDispose]();
    },
  };
}

/** Every second model is on the disk of one server. */
function cachedOn(server: number) {
  return Array.from({ length: MODELS }, (_, index) => index)
    .filter((index) => isCached(index) && (index / 2) % SERVERS === server)
    .map((index) => ({
      model: harness.modelName(index),
      version: "1",
      place: "disk" as const,
    }));
}

function isCached(index: number): boolean {
  return index % 2 === 0;
}

/** Shortest possible waits, with the store's limits taken into account. */
function floorsOf(plan: readonly measure.Planned<Cold>[]): Map<string, number> {
  const floors = new Map<string, number>();
  const store = new measure.IdealStore(LOAD_MS.storeMs);
  for (const [index, { atMs, item }] of plan.entries()) {
    const loadMs = isCached(index) ? LOAD_MS.diskMs : store.load(atMs);
    floors.set(item.model, loadMs + FIRST_TOKEN_MS);
  }
  return floors;
}

function slowest(
  ended: readonly measure.Finished<Cold, harness.Answer>[],
  floors: ReadonlyMap<string, number>,
) {
  const excess = (one: measure.Finished<Cold, harness.Answer>) =>
    one.latencyMs - (floors.get(one.item.model) as number);
  return [...ended].sort((a, b) => excess(b) - excess(a)).slice(0, SHOWN);
}

function summarize(
  ended: readonly measure.Finished<Cold, harness.Answer>[],
  floors: ReadonlyMap<string, number>,
) {
  const summary = {
    latencies: new measure.Latencies(),
    floors: new measure.Latencies(),
    ratios: new measure.Latencies(),
    errors: 0,
  };
  for (const { item, latencyMs, result } of ended) {
    if (result.status !== 200) {
      summary.errors += 1;
      continue;
    }
    const floorMs = floors.get(item.model) as number;
    summary.latencies.record(latencyMs);
    summary.floors.record(floorMs);
    summary.ratios.record(latencyMs / floorMs);
  }
  return summary;
}

/** All hosts ask for the same cold model at once, one model after another. */
async function runBurst(
  callers: readonly harness.Caller[],
  fakes: readonly fakeBackend.FakeBackend[],
) {
  const latencies = new measure.Latencies();
  let errors = 0;
  let loads = 0;
  for (let number = 0; number < BURST_MODELS; number += 1) {
    const model = harness.modelName(MODELS + number);
    const plan = callers.flatMap((caller) =>
      Array.from({ length: BURST_PER_HOST }, () => ({ atMs: 0, item: caller }))
    );
    const ended = await measure.openLoop(plan, (one) => one.chat(model, 1));
    for (const { latencyMs, result } of ended) {
      if (result.status === 200) latencies.record(latencyMs);
      else errors += 1;
    }
    loads += loadsOf(fakes, model);
    await timers.setTimeout(INTERVAL_MS);
  }
  return { latencies, errors, loadsPerModel: loads / BURST_MODELS };
}

function loadsOf(
  fakes: readonly fakeBackend.FakeBackend[],
  model: string,
): number {
  return fakes.flatMap((fake) => fake.journal.orders)
    .filter(({ order }) => order.kind === "load" && order.model === model)
    .length;
}
