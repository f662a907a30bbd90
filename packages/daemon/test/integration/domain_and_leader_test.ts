import * as crypto from "node:crypto";
import type { operators } from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as scenarios from "./scenario.ts";
import * as traffics from "./traffic.ts";

/** Domain of the first engine. */
const DOMAIN = "fd-1";
/** Longest wait for the acknowledgement of a change, in milliseconds. */
const ACKNOWLEDGED_TIMEOUT_MS = 10_000;
/** Longest wait for traffic after the death of a leader, in milliseconds. */
const TRAFFIC_TIMEOUT_MS = 20_000;
/** Answers after which work would have reached the withdrawn domain. */
const FURTHER_ANSWERS = 60;

describe("a failure domain withdrawn while the leader dies", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 4,
      voters: 3,
      engines: [{ tokenMs: 5 }, { tokenMs: 5 }, { tokenMs: 5 }],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  /** The change under one id, as an operator resends it. */
  async function move(host: number, action: string): Promise<number> {
    const { operator } = scenario.fleet.host(host);
    const changeId = crypto.randomBytes(8).toString("hex");
    const { index } = await wait.waitFor(
      "the acknowledgement",
      () =>
        operator.call<operators.ChangeResponse>(
          "POST",
          `/v1/failure-domains/${DOMAIN}/${action}`,
          { changeId },
        ),
      { timeoutMs: ACKNOWLEDGED_TIMEOUT_MS },
    );
    return index;
  }

  it("gets no new work, and no caller gets an error", async () => {
    const leader = await scenario.leader();
    const others = scenario.fleet.hosts.flatMap((host, index) =>
      host === leader ? [] : [index]
    );
    const [withdrawn] = scenario.engines;
    const received = () => withdrawn?.journal.calls.length ?? 0;
    // A host that has no slots at the remaining engines may get some as late as
    // 6 s after the death of the leader, where no living host has any to spare:
    // longer than the shortest tier waits.
    const traffic = new traffics.Traffic(
      scenario,
      [...others, ...others],
      scenarios.PATIENT,
    );
    await wait.waitFor("work on the domain", () => received() > 5);

    const [index] = await Promise.all([
      move(others[0] as number, "withdraw"),
      leader.process.kill9(),
    ]);
    await scenario.waitUntilInForce(index);
    const count = received();
    const seen = traffic.replies.length;
    await wait.waitFor(
      "more traffic",
      () => traffic.replies.length > seen + FURTHER_ANSWERS,
      { timeoutMs: TRAFFIC_TIMEOUT_MS },
    );
    expect(received()).to.equal(count);

    const restored = await move(others[1] as number, "restore");
    await scenario.waitUntilInForce(restored);
    await traffic.stop();
    traffic.expectAllServed();
    expect(scenario.violations).to.deep.equal([]);
  });
});
