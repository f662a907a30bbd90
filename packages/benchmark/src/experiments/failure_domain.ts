import * as timers from "node:timers/promises";
import { fakeBackend, type launcher } from "@ebonypath/testing";
import * as harness from "../harness/mod.ts";
import * as measure from "../measure/mod.ts";
import type * as types from "../types.ts";
import * as balancer from "./balancer.ts";

const HOSTS = 8;
const DOMAINS = 4;
const MODELS = 4;
const REPLICAS = 2;
const RATE = 80;
const DURATION_MS = 30_000;
const WITHDRAW_MS = 8_000;
const RESTORE_MS = 18_000;
const SLICE_MS = 1_000;
/** A slice is back when its p99 is at most this times the worst one before. */
const BACK_FACTOR = 1.5;
const GB = 10 ** 9;

/** A failure domain leaves and returns during traffic. */
export const failureDomain: types.Experiment = {
  name: "failure-domain",
  summary: "errors and p99 while a failure domain leaves and returns",
  options: { voters: "control hosts; 3 by default" },
  run,
};

type Ended = readonly measure.Finished<string, harness.Answer>[];

async function run(options: types.RunOptions): Promise<types.Outcome> {
  const voters = harness.voters(options);
  await using fleet = await harness.startHosts(HOSTS, { voters });
  const models = Array.from(
    { length: MODELS },
    (_, index) => harness.model(`m${index}`, { maxReplicas: REPLICAS }),
  );
  const { operator } = fleet.host(0);
  const service = harness.modelService(models, ["w0"]);
  const key = await harness.publishService(fleet, service);
  await using fakes = await startFakes(fleet);
  void fakes;
  await harness.waitForServers(fleet, DOMAINS);
  await using hosts = new balancer.Balancer(fleet, key);
  const random = fakeBackend.seededRandom(options.seed);
  const plan = (durationMs: number) =>
    measure.poisson(RATE, durationMs, random).map((atMs) => ({
      atMs,
      item: harness.modelName(Math.floor(random() * MODELS)),
    }));
  const send = (model: string) => hosts.next().chat(model, 1);
  await measure.openLoop(plan(6_000), send);
  options.print("models loaded");
  // The domain of a host that is not the first, which the operator uses.
  const moves = moveDomain(operator, "fd-2");
  const ended = await measure.openLoop(plan(DURATION_MS), send);
  await moves;
  return summarize(ended);
}

async function moveDomain(
  operator: launcher.OperatorClient,
  name: string,
): Promise<void> {
  await timers.setTimeout(WITHDRAW_MS);
  await operator.moveFailureDomain(name, "withdraw");
  await timers.setTimeout(RESTORE_MS - WITHDRAW_MS);
  await operator.moveFailureDomain(name, "restore");
}

async function startFakes(fleet: launcher.Fleet) {
  const store = new fakeBackend.WeightStore();
  const all: fakeBackend.FakeBackend[] = [];
  for (let number = 1; number <= DOMAINS; number += 1) {
    all.push(
      await fakeBackend.startFakeBackend({
        id: `engine-${number}`,
        failureDomain: `fd-${number}`,
        services: ["bench"],
        memoryBytes: 80 * GB,
        loadTimes: { storeMs: 800 },
        firstTokenMs: 20,
        concurrency: 32,
        store,
        entries: fleet.backends,
        joinToken: fleet.secrets.joinToken,
      }),
    );
  }
  return {
    async [Symbol.asyncDispose]() {
      for (const fake of all) await fake[Symbol.asyncDispose]();
    },
  };
}

function summarize(ended: Ended): types.Outcome {
  const before = measure.latenciesIn(ended, 0, WITHDRAW_MS);
  const during = measure.latenciesIn(ended, WITHDRAW_MS, RESTORE_MS);
  const after = measure.latenciesIn(ended, RESTORE_MS, DURATION_MS);
  const slices = measure.slicesOf(ended, DURATION_MS, SLICE_MS, 99);
  const whole = slices.filter(([time]) => time < WITHDRAW_MS / 1_000);
  const goal = Math.max(...whole.map(([, p99]) => p99)) * BACK_FACTOR;
  const errors = ended.filter(({ result }) => result.status !== 200);
  return {
    figures: {
      requests: ended.length,
      errors: errors.length,
      errorStatuses: harness.statuses(ended, [200]),
      beforeP99Ms: before.at(99),
      duringP99Ms: during.at(99),
      duringMaxMs: during.at(100),
      afterP99Ms: after.at(99),
      afterMaxMs: after.at(100),
      backBelowMs: goal,
      backAfterWithdrawalMs: backAfter(ended, WITHDRAW_MS, RESTORE_MS, goal),
      backAfterRestoreMs: backAfter(ended, RESTORE_MS, DURATION_MS, goal),
      goalBackMs: 5_000,
    },
    charts: [{
      title: "p99 of each second",
      kind: "line",
      x: "s",
      y: "ms",
      series: [{ name: "p99", points: slices }],
    }],
  };
}

/** Time until the p99 of every later second is within the goal. */
function backAfter(
  ended: Ended,
  fromMs: number,
  toMs: number,
  goalMs: number,
): number {
  let backMs = 0;
  for (let time = fromMs; time < toMs; time += SLICE_MS) {
    const p99 = measure.latenciesIn(ended, time, time + SLICE_MS).at(99);
    if (p99 > goalMs) backMs = time + SLICE_MS - fromMs;
  }
  return backMs;
}
