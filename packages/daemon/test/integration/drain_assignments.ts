import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import type * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

const LATER = { headers: { "ebonypath-tier": "later" } };
/** Deferred requests of a round: every host gets some of them. */
const DEFERRED = 8;
/** Shorter than a commit: assignments come when the host has drained. */
const DRAIN_DELAY_MS = 20;
/** Time in which a host that shuts down finishes its work, in milliseconds. */
const DRAIN_TIMEOUT_MS = 10_000;
/** Longest exchange that may be under way when it is over, and the end. */
const LAST_EXCHANGE_MS = 2_500;
/** The host that is shut down. */
const LEAVING = 3;
const VOTERS = 3;

/**
 * Describes that work assigned to a host that shuts down runs once.
 *
 * @param delaysMs Delays of the links between voters, in milliseconds.
 */
export function describeDrain(delaysMs: readonly number[]): void {
  describe("deferred work that is assigned to a host that shuts down", () => {
    let scenario: scenarios.Scenario;

    before(async () => {
      scenario = await scenarios.Scenario.start({
        hosts: VOTERS + 1,
        voters: VOTERS,
        withLinks: true,
        configuration: scenarios.withDeferredOrders(),
        limits: {
          "drain_delay_ms": DRAIN_DELAY_MS,
          "drain_timeout_ms": DRAIN_TIMEOUT_MS,
        },
        plains: [{ callMs: 100 }, { callMs: 100 }],
      });
    });

    after(async () => await scenario?.[Symbol.asyncDispose]());

    /** Delays what voters send to one another. */
    function delayCommits(delayMs: number): void {
      const { hosts, links } = scenario.fleet;
      const voters = hosts.slice(0, VOTERS).map(({ name }) => name);
      for (const from of voters) {
        for (const to of voters) {
          if (from !== to) links.link(from, to).toTarget.delayMs = delayMs;
        }
      }
    }

    async function defer(orderId: string): Promise<string> {
      const options = { ...LATER, body: { orderId } };
      const reply = await scenario.caller(0)
        .call("POST", "/services/orders/orders", options);
      expect(reply.status, reply.text).to.equal(202);
      return reply.headers["location"] as string;
    }

    async function collect(path: string): Promise<caller.Reply> {
      return await wait.waitFor("the answer", async () => {
        const reply = await scenario.caller(0).call("GET", path);
        return [202, 503].includes(reply.status) ? undefined : reply;
      }, { timeoutMs: 40_000, intervalMs: 100 });
    }

    for (const delayMs of delaysMs) {
      it(`runs once, with commits that take ${delayMs} ms`, async () => {
        const leaving = scenario.fleet.host(LEAVING);
        const ids = Array.from(
          { length: DEFERRED },
          (_, index) => `order-${delayMs}-${index}`,
        );
        delayCommits(delayMs);
        try {
          const paths = await Promise.all(ids.map(defer));
          leaving.process.signal("SIGTERM");
          const { process } = leaving;
          const exit = await process.waitForExit(
            DRAIN_TIMEOUT_MS + LAST_EXCHANGE_MS,
          );
          expect(exit).to.deep.equal({ code: 0, signal: null });
          delayCommits(0);
          for (const path of paths) {
            const reply = await collect(path);
            const told = `${path}: ${reply.text}\n${process.tail}`;
            expect(reply.status, told).to.equal(200);
          }
          expect(ids.map((id) => scenario.executionsOf(id)))
            .to.deep.equal(ids.map(() => 1));
        } finally {
          delayCommits(0);
          await leaving.restart();
          await scenario.waitUntilServing();
        }
      });
    }
  });
}
