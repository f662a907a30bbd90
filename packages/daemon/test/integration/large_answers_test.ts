import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import type * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

/** Largest answer that is kept, in bytes. */
const MAX_ANSWER_BYTES = 1_800_000;
const LATER = { headers: { "ebonypath-tier": "later" } };
/** Calls with a large answer at once. */
const CALLS = 12;

/** Ids of orders whose answer, which repeats them, is too large to keep. */
const LARGE_IDS: [title: string, id: string][] = [
  ["of many bytes", "x".repeat(MAX_ANSWER_BYTES)],
  // The answer itself is smaller than the limit; its record is not.
  ["whose record is much larger than itself", '"'.repeat(300_000)],
];

/** A workspace whose burst holds the largest request. */
const WORKSPACES = scenarios.CONFIGURATION.workspaces.map((workspace) => ({
  ...workspace,
  rate: 10 * MAX_ANSWER_BYTES,
  burst: 10 * MAX_ANSWER_BYTES,
}));

describe("answers that are too large to keep", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 4,
      voters: 3,
      configuration: { ...scenarios.CONFIGURATION, workspaces: WORKSPACES },
      limits: { "max_answer_bytes": MAX_ANSWER_BYTES },
      engines: [{}],
      plains: [{}],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  afterEach(() => {
    expect(scenario.fleet.hosts.every((host) => host.isRunning))
      .to.equal(true);
    expect(scenario.violations).to.deep.equal([]);
  });

  for (const [title, id] of LARGE_IDS) {
    it(`reach their caller once, and a resend learns that it ran: ${title}`, async () => {
      const ids = Array.from(
        { length: CALLS },
        (_, number) => `${number}${id}`,
      );
      const replies = await Promise.all(
        ids.map((orderId, number) =>
          scenario.caller(number % 4).order(orderId, `large-${number}-${title}`)
        ),
      );
      for (const [number, reply] of replies.entries()) {
        expect(reply.status, reply.text.slice(0, 300)).to.equal(200);
        const { body } = JSON.parse(reply.text) as { body: string };
        expect(JSON.parse(body).orderId === ids[number]).to.equal(true);
      }
      for (const [number, orderId] of ids.entries()) {
        const resent = await scenario.caller((number + 1) % 4)
          .order(orderId, `large-${number}-${title}`);
        expect(resent).to.include({ status: 409, outcome: "ran" });
        expect(scenario.executionsOf(orderId)).to.equal(1);
      }
    });
  }

  it("are told to a deferred caller as run", async () => {
    const text = "x".repeat(MAX_ANSWER_BYTES);
    const accepted = await scenario.caller(0)
      .chat(scenarios.MODEL, text, {}, LATER);
    expect(accepted.status, accepted.text).to.equal(202);
    const reply = await collect(1, accepted.headers["location"] as string);
    expect(reply).to.include({ status: 409, outcome: "ran" });
  });

  it("need a request that fits: a larger one is refused, not run", async () => {
    const text = '"'.repeat(600_000);
    const refused = await scenario.caller(0)
      .chat(scenarios.MODEL, text, {}, LATER);
    expect(refused).to.include({ status: 413, outcome: "not-run" });
  });

  async function collect(host: number, path: string): Promise<caller.Reply> {
    return await wait.waitFor("the answer", async () => {
      const reply = await scenario.caller(host).call("GET", path);
      return [202, 503].includes(reply.status) ? undefined : reply;
    }, { timeoutMs: 40_000, intervalMs: 100 });
  }
});
