import * as crypto from "node:crypto";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

const STOCK = "/services/orders/stock/1";
/**
 * Time that calls take while a key is withdrawn, in milliseconds. After 2 s a
 * call that may run again would be tried on another connection.
 */
const LATE_MS = 1_200;
/** Time after which a withdrawn key must not work anywhere, in ms. */
const WITHDRAWN_MS = 3_000;
/** Longest wait for the acknowledgement of a change, in milliseconds. */
const ACKNOWLEDGED_TIMEOUT_MS = 10_000;

describe("a key that is withdrawn", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 4,
      voters: 3,
      plains: [{ concurrency: 1 }, { concurrency: 1 }],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  afterEach(() => {
    for (const plain of scenario.plains) plain.faults.lateMs = 0;
    expect(scenario.violations).to.deep.equal([]);
  });

  it("stops what waits, and lets finish what runs", async () => {
    const { operator, callers } = scenario.fleet.host(3);
    const { id, key } = await operator.grantKey("web-shop");
    await scenario.waitUntilInForce((await operator.status()).index);
    for (const plain of scenario.plains) plain.faults.lateMs = LATE_MS;
    const asked = new caller.Caller(callers, key);
    const call = () => asked.call("GET", STOCK);
    const running = scenario.plains.map(call);
    await wait.waitFor(
      "a call at each server",
      () => scenario.plains.every((plain) => plain.running === 1),
    );
    const waiting = scenario.plains.map(call);
    const received = receivedCalls();
    await operator.withdrawKey(id);
    for (const reply of await Promise.all(running)) {
      expect(reply.status, reply.text).to.equal(200);
    }
    for (const reply of await Promise.all(waiting)) {
      expect(reply).to.include({ status: 401, outcome: "not-run" });
    }
    expect(receivedCalls()).to.equal(received);
  });

  function receivedCalls(): number {
    return scenario.plains.flatMap((plain) => plain.journal.calls).length;
  }

  it("works nowhere although the leader dies meanwhile", async () => {
    const leader = await scenario.leader();
    const others = scenario.fleet.hosts.filter((host) => host !== leader);
    const { operator } = others[0]!;
    const { id, key } = await operator.grantKey("web-shop");
    const statuses = async () =>
      await Promise.all(others.map(async (host) => {
        const asked = new caller.Caller(host.callers, key);
        return (await asked.call("GET", STOCK)).status;
      }));
    await wait.waitFor(
      "the key at every host",
      async () => (await statuses()).every((status) => status === 200),
    );
    const changeId = crypto.randomBytes(8).toString("hex");
    await Promise.all([
      wait.waitFor(
        "the acknowledgement",
        () => operator.call("DELETE", `/v1/keys/${id}?change_id=${changeId}`),
        { timeoutMs: ACKNOWLEDGED_TIMEOUT_MS },
      ),
      leader.process.kill9(),
    ]);
    await wait.waitFor(
      "the refusal of the key at every host",
      async () => (await statuses()).every((status) => status === 401),
      { timeoutMs: WITHDRAWN_MS },
    );
    await leader.restart();
    const asked = new caller.Caller(leader.callers, key);
    const reply = await asked.call("GET", STOCK);
    expect(reply).to.include({ status: 401, outcome: "not-run" });
  });
});
