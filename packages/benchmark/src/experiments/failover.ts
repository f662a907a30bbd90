import * as timers from "node:timers/promises";
import { fakeBackend, type launcher, wait } from "@ebonypath/testing";
import * as harness from "../harness/mod.ts";
import * as measure from "../measure/mod.ts";
import type * as types from "../types.ts";
import * as balancer from "./balancer.ts";

const HOSTS = 5;
const RATE = 100;
const DURATION_MS = 16_000;
const FAULT_MS = 5_000;
const HEAL_MS = 12_000;
const PATH = "/services/plain/items";
const CALL_MS = 5;
const CHANGE_INTERVAL_MS = 100;
const SLICE_MS = 500;

/** The leader dies, or is cut off, during traffic. */
export const failover: types.Experiment = {
  name: "failover",
  summary: "service gap when the leader is killed or isolated",
  options: {
    voters: "control hosts; 3 by default",
    fault: "kill or isolate; kill by default",
  },
  run,
};

/** How a request ended, and where it was sent. */
interface Sent extends harness.Answer {
  /** Number of its host. */
  readonly host: number;
  /** When it was sent and when it ended; monotonic, in milliseconds. */
  readonly sentAt: number;
  readonly endedAt: number;
}

/** A host that was killed, and when. */
interface Killing {
  readonly host: number;
  /** Just before the signal; monotonic, in milliseconds. */
  readonly fromAt: number;
}

type Ended = readonly measure.Finished<number, Sent>[];

async function run(options: types.RunOptions): Promise<types.Outcome> {
  const fault = options.settings["fault"] ?? "kill";
  const voters = harness.voters(options, 3);
  const withLinks = fault === "isolate";
  await using fleet = await harness.startHosts(HOSTS, { voters, withLinks });
  await harness.publish(fleet, {
    workspaces: [harness.workspace("w0")],
    services: [harness.plainService(["w0"])],
  });
  const { key } = await fleet.host(HOSTS - 1).operator.grantKey("w0");
  await using fake = await harness.startPlainFake(fleet, {
    concurrency: 256,
    callMs: CALL_MS,
  });
  void fake;
  await harness.waitForServers(fleet, 1);
  await using hosts = new balancer.Balancer(fleet, key);
  const random = fakeBackend.seededRandom(options.seed);
  const send = () => sendTo(hosts.nextTarget());
  await measure.openLoop(planOf(4_000, random), send);
  const leader = await wait.waitFor("a leader", () => fleet.leader());
  options.print(`${leader.name} leads`);
  const changes = keepChanging(fleet, leader);
  const faulty = injectFault(fleet, leader, hosts, fault);
  const ended = await measure.openLoop(planOf(DURATION_MS, random), send);
  const killing = await faulty;
  for (const line of errorsOf(ended, killing)) options.print(line);
  return summarize(fault, voters, ended, killing, await changes);
}

async function sendTo({ host, caller }: balancer.Target): Promise<Sent> {
  const sentAt = performance.now();
  const answer = await caller.send(PATH, { method: "GET" });
  return { ...answer, host, sentAt, endedAt: performance.now() };
}

function planOf(durationMs: number, random: measure.Random) {
  return measure.poisson(RATE, durationMs, random)
    .map((atMs, item) => ({ atMs, item }));
}

async function injectFault(
  fleet: launcher.Fleet,
  leader: launcher.FleetHost,
  hosts: balancer.Balancer,
  fault: string,
): Promise<Killing | undefined> {
  await timers.setTimeout(FAULT_MS);
  if (fault === "kill") {
    // Callers' connections of a dead host are the balancer's matter.
    hosts.drop(leader);
    const fromAt = performance.now();
    await leader.process.kill9();
    const host = fleet.hosts.indexOf(leader);
    return { host, fromAt };
  }
  fleet.links.isolate(leader.name);
  await timers.setTimeout(HEAL_MS - FAULT_MS);
  fleet.links.heal(leader.name);
  return undefined;
}

/**
 * Whether a request was under way at the host that was killed, when it was
 * killed: its connection ends with the process, and nobody else holds its
 * answer.
 */
function diedWithHost(sent: Sent, killing: Killing | undefined): boolean {
  return killing !== undefined && sent.status === 0 &&
    sent.host === killing.host && sent.sentAt < killing.fromAt;
}

/** A line for each error, with its times from the start of the killing. */
function errorsOf(ended: Ended, killing: Killing | undefined): string[] {
  const start = killing?.fromAt ?? ended[0]?.result.sentAt ?? 0;
  return ended.map(({ result }) => result)
    .filter(({ status }) => status !== 200)
    .map(({ status, text, host, sentAt, endedAt }) =>
      `host-${host + 1} status ${status}, sent ${
        Math.round(sentAt - start)
      } ms, ended ${Math.round(endedAt - start)} ms: ${text}`
    );
}

/** Tries changes at a host that does not lead; returns the longest gap. */
async function keepChanging(
  fleet: launcher.Fleet,
  leader: launcher.FleetHost,
): Promise<number> {
  const host = fleet.hosts.find((one) => one !== leader);
  const start = performance.now();
  let last = start;
  let longest = 0;
  while (performance.now() - start < DURATION_MS) {
    try {
      await host?.operator.grantKey("w0");
      const now = performance.now();
      longest = Math.max(longest, now - last);
      last = now;
    } catch {
      // The gap goes on.
    }
    await timers.setTimeout(CHANGE_INTERVAL_MS);
  }
  return Math.max(longest, performance.now() - last);
}

function summarize(
  fault: string,
  voters: number,
  ended: Ended,
  killing: Killing | undefined,
  changeGapMs: number,
): types.Outcome {
  const before = measure.latenciesIn(ended, 0, FAULT_MS);
  const after = measure.latenciesIn(ended, FAULT_MS, DURATION_MS);
  const errors = ended.map(({ result }) => result)
    .filter(({ status }) => status !== 200);
  const refused = errors.filter(({ status }) => status >= 400);
  const died = errors.filter((sent) => diedWithHost(sent, killing));
  return {
    figures: {
      fault,
      voters,
      requests: ended.length,
      refused: refused.length,
      /** In flight on the host that was killed: no host can answer these. */
      diedWithHost: died.length,
      cut: errors.length - refused.length - died.length,
      errorStatuses: harness.statuses(ended, [200]),
      beforeP99Ms: before.at(99),
      afterP99Ms: after.at(99),
      addedP99Ms: after.at(99) - before.at(99),
      afterMaxMs: after.at(100),
      goalAddedP99Ms: 2_000,
      changeGapMs,
    },
    charts: [{
      title: `Latency around the fault (${fault})`,
      kind: "line",
      x: "s",
      y: "ms",
      series: [{
        name: "max of each half second",
        points: measure.slicesOf(ended, DURATION_MS, SLICE_MS, 100),
      }],
    }],
  };
}
