import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as crypto from "node:crypto";
import * as scenarios from "./scenario.ts";

/** Time in which a change is in force everywhere, in milliseconds. */
const IN_FORCE_MS = 8_000;
/** Time after which an isolated host must have stopped, in milliseconds. */
const ISOLATED_MS = 6_000;

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
      const leader = await scenario.leader();
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

  it("stops an isolated control host, which then serves again", async () => {
    const host = await scenario.leader();
    const number = scenario.fleet.hosts.indexOf(host);
    const ready = () => scenario.caller(number).call("GET", "/readyz");
    scenario.fleet.links.isolate(host.name);
    try {
      await wait.waitFor(
        "the isolated host to stop",
        async () => (await ready()).status === 503,
        { timeoutMs: ISOLATED_MS },
      );
      const refused = await scenario.caller(number).order("isolated");
      expect(refused).to.include({ status: 503, outcome: "not-run" });
      const other = scenario.fleet.hosts.findIndex((one) => one !== host);
      const served = await wait.waitFor("service elsewhere", async () => {
        const reply = await scenario.caller(other).order("elsewhere", "e1");
        return reply.status === 200;
      });
      expect(served).to.equal(true);
      expect(scenario.executionsOf("isolated")).to.equal(0);
    } finally {
      scenario.fleet.links.heal(host.name);
    }
    await wait.waitFor(
      "the host to be current",
      async () => (await ready()).status === 200,
    );
  });

  it("replaces links that went silent while new ones work", async () => {
    for (const host of scenario.fleet.hosts) {
      scenario.fleet.links.proxy(host.name).blackholeOpen();
    }
    const index = await wait.waitFor(
      "a publishing",
      () => scenario.fleet.host(2).operator.publish(scenarios.CONFIGURATION),
      { timeoutMs: 15_000 },
    );
    await scenario.waitUntilInForce(index);
  });

  it("is whole after hundreds of changes and a restart of all", async () => {
    const { operator } = scenario.fleet.host(0);
    for (let number = 0; number < 300; number += 1) {
      const { id } = await operator.grantKey("partner");
      await operator.withdrawKey(id);
    }
    const kept = await operator.grantKey("web-shop");
    await Promise.all(
      scenario.fleet.hosts.map((host) => host.process.kill9()),
    );
    await Promise.all(scenario.fleet.hosts.map((host) => host.restart()));
    const { keys } = await scenario.fleet.host(1).operator.call<
      { keys: Array<{ id: string }> }
    >("GET", "/v1/keys");
    const ids = keys.map((key) => key.id);
    expect(ids).to.include.members([
      kept.id,
      scenario.keys.get("web-shop")?.id ?? "",
    ]);
    expect(ids.length).to.equal(3);
  });
});
