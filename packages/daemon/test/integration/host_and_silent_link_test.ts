import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

const { MODEL } = scenarios;
const LATER = { headers: { "ebonypath-tier": "later" } };
/** Entry hosts: one dies, the other's links go silent. */
const DYING = 3;
const SILENT = 4;
/** Deferred requests: every host gets some of them. */
const DEFERRED = 15;
/** Time that an order takes, in milliseconds. */
const CALL_MS = 500;
/** Time after which a host that is not current starts no work, in ms. */
const STOPPED_MS = 5_000;
/** Longest wait until what a dead host owned has ended, in milliseconds. */
const ENDED_MS = 20_000;
/** Longest wait for a host that is heard again, in milliseconds. */
const CURRENT_MS = 8_000;

describe("a host that dies while another host's links are silent", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 5,
      voters: 3,
      withLinks: true,
      engines: [{ firstTokenMs: 50, tokenMs: 50 }],
      plains: [{ callMs: CALL_MS, concurrency: 2 }],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  async function isReady(): Promise<boolean> {
    const reply = await scenario.caller(SILENT).call("GET", "/readyz");
    return reply.status === 200;
  }

  async function resend(id: string): Promise<caller.Reply> {
    return await wait.waitFor("an outcome", async () => {
      const reply = await scenario.caller(0).order(id, id);
      const isOpen = reply.status === 503 ||
        reply.text.includes("still-running");
      return isOpen ? undefined : reply;
    }, { timeoutMs: ENDED_MS });
  }

  async function defer(text: string): Promise<string> {
    const reply = await scenario.caller(0).chat(MODEL, text, {}, LATER);
    expect(reply.status, reply.text).to.equal(202);
    return reply.headers["location"] as string;
  }

  it("leaves nothing open, and the other host comes back", async () => {
    const { fleet } = scenario;
    const dying = fleet.host(DYING);
    const silent = fleet.host(SILENT);
    const texts = Array.from({ length: DEFERRED }, (_, n) => `deferred${n}`);
    const paths = await Promise.all(texts.map(defer));
    const ofDying = scenario.caller(DYING).order("dying", "dying")
      .catch((error: Error) => error);
    const ofSilent = scenario.caller(SILENT).order("silent", "silent");
    await scenario.waitUntilExecuted("dying");
    await scenario.waitUntilExecuted("silent");
    fleet.links.isolate(silent.name);
    await dying.process.kill9();
    try {
      await ofDying;
      await wait.waitFor(
        "the silent host to stop",
        async () => !await isReady(),
        { timeoutMs: STOPPED_MS },
      );
      const refused = await scenario.caller(SILENT).order("refused");
      expect(refused).to.include({ status: 503, outcome: "not-run" });
    } finally {
      fleet.links.heal(silent.name);
    }
    await wait.waitFor("the silent host", isReady, { timeoutMs: CURRENT_MS });

    // The silent host lived: its answer counts. The dead host cannot tell.
    const answer = await resend("silent");
    expect(answer.status, answer.text).to.equal(200);
    const first = await ofSilent;
    expect(first.status === 200 || first.outcome === "may-have-run", first.text)
      .to.equal(true);
    expect(await resend("dying"))
      .to.include({ status: 409, outcome: "may-have-run" });

    for (const [index, path] of paths.entries()) {
      const reply = await wait.waitFor("a deferred answer", async () => {
        const polled = await scenario.caller(SILENT).call("GET", path);
        return [202, 503].includes(polled.status) ? undefined : polled;
      }, { timeoutMs: 40_000 });
      const isOwn = caller.isAnswerTo(texts[index]!, reply);
      expect(isOwn || reply.outcome === "may-have-run", reply.text)
        .to.equal(true);
    }

    // All slots of the server serve again: two calls run at once.
    const path = "/services/orders/stock/1";
    const [plain] = scenario.plains;
    await wait.waitFor("both slots", async () => {
      const calls = [0, 1, SILENT, SILENT].map((host) =>
        scenario.caller(host).call("GET", path)
      );
      let peak = 0;
      const looks = setInterval(() => {
        peak = Math.max(peak, plain!.running);
      }, CALL_MS / 10);
      await Promise.all(calls);
      clearInterval(looks);
      return peak === 2;
    }, { timeoutMs: ENDED_MS });

    for (const id of ["dying", "silent"]) {
      expect(scenario.executionsOf(id), id).to.equal(1);
    }
    expect(scenario.executionsOf("refused")).to.equal(0);
    expect(scenario.violations).to.deep.equal([]);
  });
});
