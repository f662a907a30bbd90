import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as scenarios from "./scenario.ts";

const { OTHER_MODEL, PATIENT } = scenarios;
const LATER = { headers: { "ebonypath-tier": "later" } };
const VOTERS = 3;
/** Longest wait for the fleet after its links have healed, in milliseconds. */
const HEALED_MS = 20_000;

describe("a leader whose commits do not get through", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: VOTERS + 1,
      voters: VOTERS,
      withLinks: true,
      engines: [{}],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  afterEach(async () => {
    await scenario.waitUntilServing();
    expect(scenario.violations).to.deep.equal([]);
  });

  /** Isolates the leader while `act` asks it; passes on what came of it. */
  async function whileIsolated<T>(
    act: (host: number) => Promise<T>,
  ): Promise<T> {
    const { hosts, links } = scenario.fleet;
    const leader = await scenario.leader();
    links.isolate(leader.name);
    try {
      return await act(hosts.indexOf(leader));
    } finally {
      links.heal(leader.name);
    }
  }

  function loadsOf(model: string): number {
    return scenario.engines.flatMap(({ journal }) => journal.orders)
      .filter(({ order }) => order.kind === "load" && order.model === model)
      .length;
  }

  it("orders no load that is not decided", async () => {
    const [loads, reply] = await whileIsolated(async (host) => {
      const asked = await scenario.caller(host).chat(OTHER_MODEL, "cold");
      return [loadsOf(OTHER_MODEL), asked] as const;
    });
    expect(reply).to.include({ status: 503, outcome: "not-run" });
    expect(loads).to.equal(0);
    await wait.waitFor("an answer", async () => {
      const later = await scenario.caller(VOTERS)
        .chat(OTHER_MODEL, "later", {}, PATIENT);
      return later.status === 200;
    }, { timeoutMs: HEALED_MS });
    expect(loadsOf(OTHER_MODEL)).to.be.greaterThan(0);
  });

  it("accepts no deferred request that is then unknown", async () => {
    const reply = await whileIsolated((host) =>
      scenario.caller(host).chat(OTHER_MODEL, "deferred", {}, LATER)
    );
    if (reply.status !== 202) {
      expect(reply.status, reply.text).to.equal(503);
      return;
    }
    const path = reply.headers["location"] as string;
    const found = await wait.waitFor("what was accepted", async () => {
      const polled = await scenario.caller(VOTERS).call("GET", path);
      return polled.status === 503 ? undefined : polled;
    }, { timeoutMs: HEALED_MS });
    expect(found.status, found.text).to.be.oneOf([200, 202]);
  });
});
