import process from "node:process";
import * as core from "@ebonypath/core";
import type * as types from "../types.ts";

const SERVERS = 100;
const MODELS = 500;
const CHOICES = 20_000;
/** Part of its slots by which a busy server differs from an idle one. */
const MAX_UTILIZATION = 0.5;
const MAX_AHEAD_TOKENS = 4_000;

/** Processor time of a choice of one server, by both rules. */
export const serverChoice: types.Experiment = {
  name: "server-choice",
  summary: "processor time of a choice among 100 servers with 500 models",
  run: ({ seed }) => Promise.resolve(run(seed)),
};

function run(seed: number): types.Outcome {
  const random = createRandom(seed);
  const offers = Array.from({ length: SERVERS }, (_, number) => ({
    id: `i-${number}`,
    utilization: random() * MAX_UTILIZATION,
    aheadTokens: random() * MAX_AHEAD_TOKENS,
    pace: 0.6 + random(),
    isFar: number % 4 > 0,
  }));
  const estimate = new core.gateway.ReadingEstimate();
  const request = { promptTokens: 1_460, sharedTokens: 350, objectiveMs: 500 };
  const byRequests = (key: string) =>
    core.gateway.selectBalanced(offers, key, 0.15);
  const byCapacity = (key: string) =>
    core.gateway.chooseServer(offers, { ...request, key }, estimate, random);
  // The first pass compiles both.
  for (const rule of [byRequests, byCapacity]) measure(rule);
  return {
    figures: {
      servers: SERVERS,
      models: MODELS,
      requests_us: measure(byRequests),
      capacity_us: measure(byCapacity),
    },
    charts: [],
  };
}

/** Processor time of a choice, in microseconds. */
function measure(rule: (key: string) => unknown): string {
  const start = process.cpuUsage();
  for (let choice = 0; choice < CHOICES; choice += 1) {
    rule(`model${choice % MODELS} 5c:800`);
  }
  const { system, user } = process.cpuUsage(start);
  return ((user + system) / CHOICES).toFixed(2);
}

/** Numbers in [0, 1), the same for a seed. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}
