/**
 * Service at hosts that hold no shares when the leader dies.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import { readMetric } from "./read_metric.ts";
import * as scenarios from "./scenario.ts";

/** Hosts give back what nobody uses within this time, in milliseconds. */
const UNUSED_TIMEOUT_MS = 45_000;

/** Time from the next leader's start to an answer, in milliseconds. */
const MOVED_MS = core.limits.SHARE_RENEWAL_MS + 1_000;

describe("hosts without shares when the leader dies", () => {
  let scenario: scenarios.Scenario;

  beforeEach(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 4,
      voters: 3,
      engines: [{ tokenMs: 5 }],
      plains: [{}],
    });
  });

  afterEach(async () => await scenario?.[Symbol.asyncDispose]());

  /** Waits until no host holds a share, as the log says. */
  async function waitUntilUnused(): Promise<void> {
    const leader = await scenario.leader();
    const count = (kind: string) =>
      readMetric(leader, `ebonypath_grantable_pools{kind="${kind}"}`);
    await wait.waitFor(
      "all shares to be given back",
      async () => await count("tokens") === 0 && await count("slots") === 0,
      { timeoutMs: UNUSED_TIMEOUT_MS },
    );
  }

  it("serve idle backend servers within the shortest tier", async () => {
    await waitUntilUnused();
    const leader = await scenario.leader();
    await leader.process.kill9();
    const living = scenario.fleet.hosts.flatMap((host, index) =>
      host === leader ? [] : [scenario.caller(index)]
    );
    const replies = await Promise.all(living.flatMap((caller) => [
      caller.chat(scenarios.MODEL, "after"),
      caller.call("GET", "/services/orders/stock/1"),
    ]));
    for (const { status, text } of replies) expect(status, text).to.equal(200);
    expect(scenario.violations).to.deep.equal([]);
  });

  it("get what a living host keeps as a stock at its next renewal", async () => {
    await waitUntilUnused();
    const leader = await scenario.leader();
    const [holder, asking] = scenario.fleet.hosts.flatMap((host, index) =>
      host === leader ? [] : [scenario.caller(index)]
    );
    const before = await holder?.chat(scenarios.MODEL, "before");
    expect(before?.status, before?.text).to.equal(200);
    await leader.process.kill9();
    const asked = asking?.chat(scenarios.MODEL, "after");
    await scenario.leader();
    const startedAt = performance.now();
    const reply = await asked;
    expect(reply?.status, reply?.text).to.equal(200);
    expect(performance.now() - startedAt).to.be.below(MOVED_MS);
  });
});
