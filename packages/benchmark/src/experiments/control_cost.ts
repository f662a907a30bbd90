import * as timers from "node:timers/promises";
import type { launcher } from "@ebonypath/testing";
import * as harness from "../harness/mod.ts";
import * as measure from "../measure/mod.ts";
import type * as report from "../report/mod.ts";
import type * as types from "../types.ts";

/** Time in which a fleet settles after a change of size, in milliseconds. */
const SETTLE_MS = 1_500;
const ROLES = ["entry", "leader", "follower"] as const;
type Role = typeof ROLES[number];

/** What is varied, and over which values. */
const SIZES: Readonly<Record<string, readonly number[]>> = {
  hosts: [3, 9, 18, 30],
  servers: [10, 100, 250, 500],
  busy: [10, 100, 250, 500],
  adapters: [110, 3_000, 13_000],
  workspaces: [10, 300, 1_000],
  changes: [0, 2, 10],
};

/** Size of everything that is not varied. */
const BASE = {
  hosts: 3,
  servers: 10,
  busy: 0,
  adapters: 110,
  workspaces: 10,
  changes: 0,
};
type Size = typeof BASE;

interface Measured {
  readonly size: Size;
  readonly usage: Readonly<Partial<Record<Role, measure.Usage>>>;
  readonly publishMs: number;
  readonly publishBytes: number;
  readonly refused: number;
}

/** Cost of control a node, by the size of the fleet. */
export const controlCost: types.Experiment = {
  name: "control-cost",
  summary: "CPU, bytes/s and memory a node without requests, with slopes",
  options: {
    vary: `one of ${Object.keys(SIZES).join(", ")}; servers by default`,
    values: "sizes to measure, separated by commas",
    voters: "control hosts; 3 by default",
    hosts: "hosts, unless they are varied; 3 by default",
    window: "seconds for each measurement; 5 by default",
  },
  run,
};

async function run(options: types.RunOptions): Promise<types.Outcome> {
  const vary = (options.settings["vary"] ?? "servers") as keyof Size;
  const defaults = SIZES[vary];
  if (defaults === undefined) throw new RangeError(`cannot vary ${vary}`);
  const values = options.settings["values"]?.split(",").map(Number) ?? defaults;
  const windowMs = Number(options.settings["window"] ?? 5) * 1_000;
  const voters = harness.voters(options);
  const hosts = Number(options.settings["hosts"] ?? BASE.hosts);
  const sizes = values.map((value) => ({ ...BASE, hosts, [vary]: value }));
  const measured: Measured[] = [];
  let fleet: launcher.Fleet | undefined;
  try {
    for (const size of sizes) {
      if (fleet?.hosts.length !== size.hosts) {
        await fleet?.[Symbol.asyncDispose]();
        fleet = await harness.startHosts(size.hosts, { voters });
      }
      const one = await measureSize(fleet, size, windowMs);
      measured.push(one);
      options.print(renderRow(vary, one));
    }
  } finally {
    await fleet?.[Symbol.asyncDispose]();
  }
  return {
    figures: { vary, voters, ...slopes(vary, measured) },
    charts: charts(vary, measured),
  };
}

async function measureSize(
  fleet: launcher.Fleet,
  size: Size,
  windowMs: number,
): Promise<Measured> {
  const wanted = harness.catalogue({
    models: 110,
    adapters: size.adapters,
    workspaces: size.workspaces,
  });
  const publishMs = await harness.publish(fleet, wanted);
  const servers = size.busy > 0 ? size.busy : size.servers;
  const isBusy = size.busy > 0;
  await using swarm = new harness.Swarm(fleet, { servers, isBusy });
  await timers.setTimeout(SETTLE_MS);
  const leader = await fleet.leader();
  const stop = new AbortController();
  const changing = keepChanging(fleet, size.changes, stop.signal);
  const usages = await measure.measureHosts(fleet.hosts, windowMs);
  stop.abort();
  await changing;
  const usage: Partial<Record<Role, measure.Usage>> = {};
  for (const role of ROLES) {
    const own = usages.filter((_, index) =>
      roleOf(fleet.host(index), leader) === role
    );
    if (own.length > 0) usage[role] = measure.mean(own);
  }
  return {
    size,
    usage,
    publishMs,
    publishBytes: JSON.stringify(wanted).length,
    refused: swarm.refused,
  };
}

function roleOf(
  host: launcher.FleetHost,
  leader: launcher.FleetHost | undefined,
): Role {
  if (host === leader) return "leader";
  return host.options.isControl ? "follower" : "entry";
}

/** Grants keys at a rate until the signal comes. */
async function keepChanging(
  fleet: launcher.Fleet,
  ratePerSecond: number,
  signal: AbortSignal,
): Promise<void> {
  if (ratePerSecond === 0) return;
  const { operator } = fleet.host(0);
  const granted: Promise<unknown>[] = [];
  while (!signal.aborted) {
    granted.push(operator.grantKey("w0"));
    await timers.setTimeout(1_000 / ratePerSecond, undefined, { signal })
      .catch(() => undefined);
  }
  await Promise.all(granted);
}

function renderRow(vary: keyof Size, measured: Measured): string {
  const parts = ROLES.flatMap((role) => {
    const usage = measured.usage[role];
    if (usage === undefined) return [];
    return [
      `${role}: ${usage.cpuPercent.toFixed(2)} % CPU, ` +
      `${(usage.bytesPerSecond / 1_000).toFixed(2)} KB/s, ` +
      `${usage.memoryMb.toFixed(0)} MB`,
    ];
  });
  const published = `published ${measured.publishBytes} bytes in ` +
    `${measured.publishMs.toFixed(0)} ms`;
  return `${vary} ${measured.size[vary]}: ${parts.join("; ")}; ${published}` +
    (measured.refused > 0 ? `; ${measured.refused} not accepted` : "");
}

/** For each role and resource the cost at size 0 and that of one more. */
function slopes(
  vary: keyof Size,
  measured: readonly Measured[],
): Record<string, number> {
  const figures: Record<string, number> = {};
  for (const role of ROLES) {
    for (const [name, value] of RESOURCES) {
      const points = pointsOf(vary, measured, role, value);
      if (points.length < 2) continue;
      const line = measure.fitLine(points);
      figures[`${role}${name}Base`] = line.base;
      figures[`${role}${name}Per`] = line.slope;
      figures[`${role}${name}Fit`] = line.fit;
    }
  }
  const last = measured.at(-1);
  if (last !== undefined) {
    figures["publishBytes"] = last.publishBytes;
    figures["publishMs"] = last.publishMs;
    figures["notAccepted"] = measured
      .reduce((sum, one) => sum + one.refused, 0);
  }
  return figures;
}

const RESOURCES: readonly [string, (usage: measure.Usage) => number][] = [
  ["CpuPercent", (usage) => usage.cpuPercent],
  ["BytesPerSecond", (usage) => usage.bytesPerSecond],
  ["MemoryMb", (usage) => usage.memoryMb],
];

function pointsOf(
  vary: keyof Size,
  measured: readonly Measured[],
  role: Role,
  value: (usage: measure.Usage) => number,
): [number, number][] {
  return measured.flatMap(({ size, usage }): [number, number][] => {
    const own = usage[role];
    return own === undefined ? [] : [[size[vary], value(own)]];
  });
}

function charts(
  vary: keyof Size,
  measured: readonly Measured[],
): report.Chart[] {
  return RESOURCES.map(([name, value]) => ({
    title: `${name} a node by ${vary}`,
    kind: "line" as const,
    x: vary,
    y: name,
    series: ROLES.map((role) => ({
      name: role,
      points: pointsOf(vary, measured, role, value),
    })).filter(({ points }) => points.length > 0),
  }));
}
