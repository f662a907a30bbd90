import { setMaxListeners } from "node:events";
import { type launcher, wait } from "@ebonypath/testing";
import * as harness from "../harness/mod.ts";
import * as measure from "../measure/mod.ts";
import type * as types from "../types.ts";

const MODEL = harness.modelName(0);
const ENGINE_CONCURRENCY = 2_048;
/** Pause between two tokens of a stream, in milliseconds: the target's. */
const TOKEN_MS = 58;
/** Concurrent streams whose tokens are counted, one level after the other. */
const LEVELS = [125, 250, 500, 1_000];
/** Tokens of a stream, which is given up long before its end. */
const STREAM_TOKENS = 5_000;
/** Time over which the tokens of one level are counted. */
const WINDOW_MS = 4_000;
const WARM_UP_MS = 4_000;
const LOAD_TIMEOUT_MS = 20_000;
/** Connections of the caller: one for each stream, and some to spare. */
const CONNECTIONS = 1_100;

/** What a host costs that passes tokens on, and what it adds between two. */
export const streams: types.Experiment = {
  name: "streams",
  summary: "tokens/s through one host, its CPU, and the time between tokens",
  run,
};

/** Tokens of one level, as callers saw them. */
interface Level {
  readonly streams: number;
  readonly tokensPerSecond: number;
  /** Times between two tokens of a stream. */
  readonly gaps: measure.Latencies;
  /** Streams that ended before they were given up. */
  readonly broken: number;
  /** What the first of them was told. */
  readonly firstProblem: string | undefined;
  /** What the host used meanwhile. */
  readonly usage: measure.Usage;
}

async function run(options: types.RunOptions): Promise<types.Outcome> {
  await using fleet = await harness.startHosts(1);
  const service = harness.modelService([harness.model("m0")], ["w0"]);
  const key = await harness.publishService(fleet, service);
  await using engine = await harness.startRemoteFake(fleet, {
    id: "engine-1",
    services: ["bench"],
    concurrency: ENGINE_CONCURRENCY,
    tokenMs: TOKEN_MS,
    generatedTokens: STREAM_TOKENS,
  });
  await harness.waitForServers(fleet, 1);
  const host = fleet.host(0);
  await using through = new harness.Caller(host.callers, key, CONNECTIONS);
  await using straight = new harness.Caller(
    engine.address,
    "unused",
    CONNECTIONS,
  );
  await warmUp(through);
  const levels: Level[] = [];
  for (const count of LEVELS) {
    levels.push(await measureLevel(host, through, count));
    options.print(describe(levels.at(-1) as Level));
  }
  const most = LEVELS.at(-1) as number;
  const direct = await measureLevel(host, straight, most);
  return {
    figures: Object.assign(
      {},
      ...levels.map((level) => figuresOf(level)),
      {
        [`directTokensPerSecond${most}`]: direct.tokensPerSecond,
        [`directGapP95Ms${most}`]: direct.gaps.at(95),
        [`directGapP99Ms${most}`]: direct.gaps.at(99),
      },
    ),
    charts: chartsOf(levels, direct),
  };
}

/** Loads the model and lets the limit of its server grow. */
async function warmUp(caller: harness.Caller): Promise<void> {
  await wait.waitFor("the first answer", async () => {
    const { status } = await caller.chat(MODEL);
    return status === 200;
  }, { timeoutMs: LOAD_TIMEOUT_MS });
  const most = LEVELS.at(-1) as number;
  await measure.closedLoop(most, WARM_UP_MS, () => caller.chat(MODEL, 1));
}

/** Opens streams and counts their tokens. */
async function measureLevel(
  host: launcher.FleetHost,
  caller: harness.Caller,
  count: number,
): Promise<Level> {
  const gaps = new measure.Latencies();
  const end = new AbortController();
  setMaxListeners(count, end.signal);
  let tokens = 0;
  let started = 0;
  let broken = 0;
  let isCounting = false;
  let firstProblem: string | undefined;
  const open = async () => {
    let lastMs = 0;
    const ended = await caller.stream(
      MODEL,
      STREAM_TOKENS,
      end.signal,
      (received) => {
        const now = performance.now();
        if (lastMs === 0) started += 1;
        if (isCounting && lastMs > 0) gaps.record(now - lastMs);
        if (isCounting) tokens += received;
        lastMs = now;
      },
    );
    if (end.signal.aborted) return;
    broken += 1;
    firstProblem ??= ended.text;
  };
  const running = Array.from({ length: count }, open);
  await wait.waitFor(`${count} streams`, () => started + broken >= count, {
    timeoutMs: LOAD_TIMEOUT_MS,
  });
  isCounting = true;
  const begin = performance.now();
  const [usage] = await measure.measureHosts([host], WINDOW_MS);
  const elapsedMs = performance.now() - begin;
  isCounting = false;
  end.abort();
  await Promise.all(running);
  return {
    streams: count,
    tokensPerSecond: 1_000 * tokens / elapsedMs,
    gaps,
    broken,
    firstProblem,
    usage: usage as measure.Usage,
  };
}

/** CPU time of the host for one token, in microseconds. */
function cpuOfToken({ usage, tokensPerSecond }: Level): number {
  const percentInMicros = 1e6 / 100;
  return usage.cpuPercent * percentInMicros / tokensPerSecond;
}

function describe(level: Level): string {
  const { streams: count, tokensPerSecond, usage, gaps } = level;
  return `${count} streams: ${tokensPerSecond.toFixed(0)} tokens/s, ` +
    `${usage.cpuPercent.toFixed(0)} % CPU, ` +
    `${gaps.at(95).toFixed(1)} ms between tokens at p95` +
    (level.broken > 0 ? `, ${level.broken} ended: ${level.firstProblem}` : "");
}

function figuresOf(level: Level): Record<string, number> {
  const { streams: count } = level;
  return {
    [`tokensPerSecond${count}`]: level.tokensPerSecond,
    [`cpuPercent${count}`]: level.usage.cpuPercent,
    [`cpuMicrosPerToken${count}`]: cpuOfToken(level),
    [`memoryMb${count}`]: level.usage.memoryMb,
    [`gapP95Ms${count}`]: level.gaps.at(95),
    [`gapP99Ms${count}`]: level.gaps.at(99),
    [`broken${count}`]: level.broken,
  };
}

function chartsOf(
  levels: readonly Level[],
  direct: Level,
): types.Outcome["charts"] {
  return [{
    title: "Time between two tokens",
    kind: "line",
    x: "percentile",
    y: "ms",
    isLogarithmic: true,
    series: [
      ...levels.map((level) => ({
        name: `${level.streams} streams`,
        points: level.gaps.curve(),
      })),
      { name: `${direct.streams} direct`, points: direct.gaps.curve() },
    ],
  }];
}
