import * as harness from "../harness/mod.ts";
import * as measure from "../measure/mod.ts";
import type * as types from "../types.ts";

const HOSTS = 3;
const PATH = "/services/plain/items";
const PART_MS = 4_000;
const CONCURRENT = 64;

/** Cost of claims before work that must run at most once. */
export const claims: types.Experiment = {
  name: "claims",
  summary: "commits/s and latency of claims, one at a time and together",
  options: { voters: "control hosts; 3 by default" },
  run,
};

async function run(options: types.RunOptions): Promise<types.Outcome> {
  const voters = harness.voters(options);
  await using fleet = await harness.startHosts(HOSTS, { voters });
  const service = harness.plainService(["w0"]);
  const key = await harness.publishService(fleet, service);
  await using fake = await harness.startPlainFake(fleet, { concurrency: 512 });
  void fake;
  await harness.waitForServers(fleet, 1);
  await using caller = new harness.Caller(fleet.host(HOSTS - 1).callers, key);
  await measurePart(caller, CONCURRENT, false);
  const plainOne = await measurePart(caller, 1, false);
  const claimedOne = await measurePart(caller, 1, true);
  options.print("one at a time: done");
  const plainMany = await measurePart(caller, CONCURRENT, false);
  const claimedMany = await measurePart(caller, CONCURRENT, true);
  const parts = { plainOne, claimedOne, plainMany, claimedMany };
  return {
    figures: {
      voters,
      ...figuresOf("single", claimedOne, plainOne),
      ...figuresOf("group", claimedMany, plainMany),
      errors: Object.values(parts)
        .reduce((sum, { errors }) => sum + errors, 0),
    },
    charts: [{
      title: "Latency of calls with and without a claim",
      kind: "line",
      x: "percentile",
      y: "ms",
      isLogarithmic: true,
      series: Object.entries(parts)
        .map(([name, { latencies }]) => ({ name, points: latencies.curve() })),
    }],
  };
}

interface Part {
  readonly perSecond: number;
  readonly latencies: measure.Latencies;
  readonly errors: number;
}

async function measurePart(
  caller: harness.Caller,
  concurrency: number,
  hasKey: boolean,
): Promise<Part> {
  const latencies = new measure.Latencies();
  let errors = 0;
  let sent = 0;
  const run = `${performance.now()}`;
  const perSecond = await measure.closedLoop(concurrency, PART_MS, async () => {
    sent += 1;
    const start = performance.now();
    const headers: Record<string, string> = hasKey
      ? { "idempotency-key": `${run}-${sent}` }
      : {};
    const body = { orderId: `${run}-${sent}` };
    const { status } = await caller.send(PATH, { body, headers });
    if (status === 200) latencies.record(performance.now() - start);
    else errors += 1;
  });
  return { perSecond, latencies, errors };
}

function figuresOf(
  name: string,
  claimed: Part,
  plain: Part,
): Record<string, number> {
  return {
    [`${name}ClaimsPerSecond`]: claimed.perSecond,
    [`${name}PlainPerSecond`]: plain.perSecond,
    [`${name}ClaimP50Ms`]: claimed.latencies.at(50),
    [`${name}ClaimP99Ms`]: claimed.latencies.at(99),
    [`${name}AddedP50Ms`]: claimed.latencies.at(50) - plain.latencies.at(50),
    [`${name}AddedP99Ms`]: claimed.latencies.at(99) - plain.latencies.at(99),
  };
}
