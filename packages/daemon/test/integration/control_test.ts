import { type launcher, wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as crypto from "node:crypto";
import * as scenarios from "./scenario.ts";

/** Time in which a change is in force everywhere, in milliseconds. */
const IN_FORCE_MS = 8_000;

async function leaderOf(fleet: launcher.Fleet): Promise<launcher.FleetHost> {
  return await wait.waitFor("a leader", () => fleet.leader());
}

function publishing(base: number, name: string) {
  const workspace = { name, rate: 1, burst: 1 };
  return {
    changeId: crypto.randomBytes(8).toString("hex"),
    base,
    configuration: {
      ...scenarios.CONFIGURATION,
      workspaces: [...scenarios.CONFIGURATION.workspaces, workspace],
    },
  };
}

describe("the replicated state", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 4,
      withLinks: true,
      plains: [{}],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  it("takes one of two operators who race on one version", async () => {
    const { version } = await scenario.fleet.host(0).operator.status();
    const results = await Promise.allSettled(
      [0, 1].map((host) =>
        scenario.fleet.host(host).operator.call(
          "POST",
          "/v1/configuration",
          publishing(version, `racer-${host}`),
        )
      ),
    );
    const won = results.filter((result) => result.status === "fulfilled");
    expect(won.length).to.equal(1);
    const lost = results.find((result) => result.status === "rejected");
    expect(lost?.reason).to.include({ status: 409 });
  });

  it("gives a resend the first result", async () => {
    const { version } = await scenario.fleet.host(1).operator.status();
    const change = publishing(version, "resent");
    const results: unknown[] = [];
    for (const host of [1, 2, 3]) {
      const { operator } = scenario.fleet.host(host);
      results.push(await operator.call("POST", "/v1/configuration", change));
    }
    expect(new Set(results.map((result) => JSON.stringify(result))).size)
      .to.equal(1);
  });

  it("never goes back when leaders die one after another", async () => {
    for (const round of [1, 2]) {
      const before = await scenario.fleet.host(3).operator.publish(
        scenarios.CONFIGURATION,
      );
      const leader = await leaderOf(scenario.fleet);
      await leader.process.kill9();
      const index = await wait.waitFor(
        `a publishing of round ${round}`,
        () => scenario.fleet.host(3).operator.publish(scenarios.CONFIGURATION),
        { timeoutMs: IN_FORCE_MS },
      );
      expect(index).to.be.greaterThan(before);
      await leader.restart();
      await scenario.waitUntilInForce(index);
    }
  });
});
