import type { configuration } from "@ebonypath/protocol";
import { expect } from "chai";
import * as timers from "node:timers/promises";
import type * as callers from "../integration/caller.ts";
import * as scenarios from "../integration/scenario.ts";

const HOSTS = 3;
/** What the server bears: 40 calls a second. */
const SERVER = { concurrency: 4, callMs: 100 };
const MAX_WAIT_MS = 2_000;
const DURATION_MS = 8_000;
/** Time in which lines build up and their supply becomes known. */
const SETTLE_MS = 3_000;
/** Pause between two calls, in milliseconds. */
const QUIET_PAUSE_MS = 150;
const LOUD_PAUSE_MS = 5;
/** Latest refusal that counts as early, in milliseconds. */
const EARLY_MS = 500;
/** Part of the refusals that is early, beside other tests; 0 without them. */
const EARLY_PART = 2 / 3;

interface Ended {
  readonly sentAt: number;
  readonly tookMs: number;
  readonly reply: callers.Reply;
}

describe("five times as many calls as are borne", () => {
  const cases = [
    { name: "beyond the servers", rate: 1e6, status: 503 },
    { name: "beyond the rate of a workspace", rate: 30, status: 429 },
  ];
  for (const { name, rate, status } of cases) {
    it(`are refused early if ${name}, and no other workspace's`, async () => {
      await using scenario = await scenarios.Scenario.start({
        hosts: HOSTS,
        configuration: configurationWith(rate),
        plains: [SERVER],
      });
      const [quiet, loud] = await Promise.all([
        send(scenario, "web-shop", QUIET_PAUSE_MS),
        send(scenario, "partner", LOUD_PAUSE_MS),
      ]);
      const told = JSON.stringify(summary(loud));
      expect(quiet.map(({ reply }) => reply.status))
        .to.deep.equal(quiet.map(() => 200), told);
      const refused = loud.filter(({ reply }) => reply.status !== 200);
      const unclear = refused.filter(({ reply }) =>
        reply.outcome !== "not-run"
      );
      expect(unclear.length).to.be.at.most(loud.length / 100, told);
      const settled = refused.filter(({ sentAt }) => sentAt >= SETTLE_MS);
      const early = settled.filter(({ reply, tookMs }) =>
        reply.status === status && tookMs < EARLY_MS
      );
      expect(settled.length).to.be.greaterThan(loud.length / 4, told);
      expect(early.length).to.be.at.least(EARLY_PART * settled.length, told);
      expect(
        early.every(({ reply }) => Number(reply.headers["retry-after"]) > 0),
      )
        .to.equal(true);
      expect(scenario.violations).to.deep.equal([]);
    });
  }
});

function configurationWith(loudRate: number): configuration.Configuration {
  const { services, workspaces } = scenarios.CONFIGURATION;
  return {
    workspaces: workspaces.map((workspace) =>
      workspace.name === "partner"
        ? { ...workspace, rate: loudRate, burst: loudRate }
        : workspace
    ),
    services: services.map((service) =>
      service.name === "orders"
        ? {
          ...service,
          workspaces: ["web-shop", "partner"],
          tiers: service.tiers.map((tier) => ({
            ...tier,
            maxWaitMs: MAX_WAIT_MS,
          })),
        }
        : service
    ),
  };
}

/** Sends calls at a steady pace to all hosts in turn, whatever becomes of them. */
async function send(
  scenario: scenarios.Scenario,
  workspace: string,
  pauseMs: number,
): Promise<Ended[]> {
  const start = performance.now();
  const calls: Promise<Ended>[] = [];
  while (performance.now() - start < DURATION_MS) {
    const caller = scenario.caller(calls.length % HOSTS, workspace);
    calls.push(call(caller, start));
    const nextAt = start + calls.length * pauseMs;
    await timers.setTimeout(Math.max(0, nextAt - performance.now()));
  }
  return await Promise.all(calls);
}

async function call(caller: callers.Caller, start: number): Promise<Ended> {
  const sentAt = performance.now() - start;
  const reply = await caller.call("GET", "/services/orders/stock/1");
  return { sentAt, tookMs: performance.now() - start - sentAt, reply };
}

/** Counts of statuses and outcomes, with the median time of each. */
function summary(ended: readonly Ended[]): Record<string, string> {
  const times = new Map<string, number[]>();
  for (const { reply, tookMs } of ended) {
    const name = `${reply.status} ${reply.outcome ?? ""}`;
    times.set(name, [...times.get(name) ?? [], Math.round(tookMs)]);
  }
  return Object.fromEntries(
    [...times].map(([name, all]) => {
      const sorted = all.sort((a, b) => a - b);
      return [name, `${all.length}, ${sorted[all.length >> 1]} ms`];
    }),
  );
}
