import * as timers from "node:timers/promises";
import { expect } from "chai";
import * as scenarios from "./scenario.ts";

const DRAIN_DELAY_MS = 600;
const DRAIN_TIMEOUT_MS = 1_200;
/** Longer than both together, and shorter than the deadline of a call. */
const CALL_MS = 3_500;
/** Each of the two servers runs one at once. */
const CALLS = 2;

describe("a host that gets SIGTERM while calls outlast its drain timeout", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 4,
      voters: 3,
      limits: {
        "drain_delay_ms": DRAIN_DELAY_MS,
        "drain_timeout_ms": DRAIN_TIMEOUT_MS,
      },
      plains: [{ callMs: CALL_MS }, { callMs: CALL_MS }],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  function executions(orderId: string): number {
    return scenario.plains.reduce(
      (sum, { journal }) => sum + journal.executionsOf(orderId),
      0,
    );
  }

  /** Places orders; resolves to the status and outcome of each, or its error. */
  function placeOrders(ids: readonly string[]): Promise<string[]> {
    return Promise.all(
      ids.map((id, index) =>
        scenario.caller(3).order(id, index % 2 === 0 ? undefined : `key-${id}`)
          .then(
            ({ outcome, status }) => `${status} ${outcome}`,
            (error: unknown) => `cut: ${error}`,
          )
      ),
    );
  }

  it("answers those that it has sent, and sends no more", async () => {
    const { process } = scenario.fleet.host(3);
    const ids = (name: string) =>
      Array.from({ length: CALLS }, (_, index) => `${name}-${index}`);
    const early = placeOrders(ids("early"));
    await timers.setTimeout(500);
    process.signal("SIGTERM");
    await timers.setTimeout(DRAIN_DELAY_MS / 2);
    const late = placeOrders(ids("late"));
    for (const answer of await early) {
      expect(answer).to.match(/^50[24] may-have-run$/);
    }
    for (const id of ids("early")) expect(executions(id), id).to.equal(1);
    for (const answer of await late) expect(answer).to.equal("503 not-run");
    for (const id of ids("late")) expect(executions(id), id).to.equal(0);
    expect(await process.waitForExit()).to.deep.equal({
      code: 0,
      signal: null,
    });
  });
});
