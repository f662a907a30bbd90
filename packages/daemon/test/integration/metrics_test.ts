import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import { readMetric } from "./read_metric.ts";
import * as scenarios from "./scenario.ts";

const LATER = { headers: { "ebonypath-tier": "later" } };

/** Tokens beyond the burst of the workspace `partner`. */
const TOO_MANY_TOKENS = 1_000;

describe("metrics of a host", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    // Without an engine, requests for models wait.
    scenario = await scenarios.Scenario.start({ hosts: 1, plains: [{}] });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  async function read(name: string): Promise<number> {
    return await readMetric(scenario.fleet.host(0), name) ?? 0;
  }

  function requests(outcome: string, problem = ""): Promise<number> {
    return read(
      `ebonypath_requests_total{outcome="${outcome}",problem="${problem}"}`,
    );
  }

  it("count a refusal of the dispatcher under its name", async () => {
    const ran = await requests("ran");
    const reply = await scenario.caller(0, "partner").chat(
      scenarios.MODEL,
      "question",
      { "max_tokens": TOO_MANY_TOKENS },
    );
    expect(reply.status).to.equal(413);
    expect(await requests("not-run", "too-large")).to.equal(1);
    expect(await requests("ran")).to.equal(ran);
  });

  it("count a call that runs at most once, and its resend, as run", async () => {
    const ran = await requests("ran");
    await scenario.caller().order("o-1", "key-1");
    await scenario.caller().order("o-1", "key-1");
    expect(await requests("ran")).to.equal(ran + 2);
  });

  it("show requests that wait for a slot", async () => {
    const asked = scenario.caller().chat(scenarios.MODEL, "question");
    await wait.waitFor(
      "a waiting request",
      async () => await read('ebonypath_waiting_requests{for="slot"}') === 1,
    );
    expect((await asked).status).to.equal(503);
    expect(await requests("not-run", "no-capacity")).to.equal(1);
    expect(await read('ebonypath_waiting_requests{for="slot"}')).to.equal(0);
  });

  it("show deferred requests that wait, and the age of the oldest", async () => {
    const accepted = await scenario.caller()
      .chat(scenarios.MODEL, "question", {}, LATER);
    expect(accepted.status, accepted.text).to.equal(202);
    expect(await requests("accepted")).to.equal(1);
    const name = 'ebonypath_deferred_requests{phase="waiting"}';
    expect(await read(name)).to.equal(1);
    await wait.waitFor(
      "an age",
      async () => await read("ebonypath_deferred_oldest_seconds") > 0,
    );
    const path = accepted.headers["location"] as string;
    await scenario.caller().call("DELETE", path);
    await wait.waitFor("no request", async () => await read(name) === 0);
    expect(await read("ebonypath_deferred_oldest_seconds")).to.equal(0);
  });

  it("show what the host knows and how long commits take", async () => {
    expect(await read("ebonypath_current")).to.equal(1);
    expect(await read("ebonypath_view_age_seconds")).to.be.within(0, 4);
    expect(await read('ebonypath_backend_servers{usable="true"}')).to.equal(1);
    expect(await read("ebonypath_server_slots")).to.be.at.least(1);
    expect(await read("ebonypath_commit_seconds_count")).to.be.at.least(1);
    expect(await read("ebonypath_quarantined_requests")).to.equal(0);
  });
});

describe("metrics of a leader", () => {
  it("tell how many voters may be lost, there alone", async () => {
    await using scenario = await scenarios.Scenario.start({ hosts: 3 });
    const { hosts } = scenario.fleet;
    const spare = async () =>
      (await Promise.all(
        hosts.filter((host) => host.isRunning)
          .map((host) => readMetric(host, "ebonypath_spare_voters")),
      )).filter((value) => value !== undefined);
    await wait.waitFor(
      "one voter to spare",
      async () => String(await spare()) === "1",
    );
    const leader = await scenario.fleet.leader();
    const follower = hosts.find((host) => host !== leader);
    await follower?.process.kill9();
    await wait.waitFor(
      "no voter to spare",
      async () => String(await spare()) === "0",
    );
  });
});
