import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as undici from "undici";
import type * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

/** Calls take this long at the plain service, in milliseconds. */
const CALL_MS = 300;
/** Host that dies; it has no vote. */
const DYING = 3;
/** Longest wait for an outcome after a host died, in milliseconds. */
const OUTCOME_TIMEOUT_MS = 20_000;

/** What a resend may meet, once the death of the host is known. */
interface Expected {
  readonly status: number;
  readonly outcome: "not-run" | "may-have-run" | undefined;
  readonly executions: number;
}

/**
 * Steps of a call under an idempotency key, after which its host dies. A death
 * after it was sent is a row of `at_most_once_test`; those between the answer
 * and its record are tables of `core/state/claims_test`.
 */
interface Step {
  readonly title: string;
  /** Whether servers are too busy for the call. */
  readonly isHeld?: boolean;
  reached(): boolean | Promise<boolean>;
  readonly expected: Expected;
}

const UNKNOWN = { status: 409, outcome: "may-have-run" } as const;

describe("a non-idempotent call whose host dies", () => {
  let scenario: scenarios.Scenario;
  let number = 0;
  let orderId: string;
  let first: caller.Reply | Error | undefined;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 4,
      voters: 3,
      plains: [{ callMs: CALL_MS }],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  beforeEach(() => {
    number += 1;
    orderId = `order-${number}`;
    first = undefined;
  });

  afterEach(async () => {
    const host = scenario.fleet.host(DYING);
    if (!host.isRunning) await host.restart();
    await scenario.waitUntilKnown();
    await scenario.waitUntilServing();
    expect(scenario.violations).to.deep.equal([]);
  });

  const steps: Step[] = [
    {
      title: "before it arrives",
      reached: () => true,
      expected: { status: 200, outcome: undefined, executions: 1 },
    },
    {
      title: "after the claim, while it waits for a server",
      isHeld: true,
      reached: async () =>
        /^ebonypath_waiting_requests{for="\w+"} [1-9]/m.test(await metrics()),
      expected: { ...UNKNOWN, executions: 0 },
    },
    {
      title: "after the record of its answer",
      reached: () => first !== undefined,
      expected: { status: 200, outcome: undefined, executions: 1 },
    },
  ];
  for (const { title, isHeld, reached, expected } of steps) {
    it(`${title}: ${expected.outcome ?? "an answer"}`, async () => {
      const isSent = title !== "before it arrives";
      const [plain] = scenario.plains;
      if (isHeld === true) await leave();
      const call = isSent
        ? resend(DYING).catch((error: Error) => error)
        : Promise.resolve(undefined);
      void call.then((reply) => first = reply);
      await wait.waitFor(title, reached);
      await scenario.fleet.host(DYING).process.kill9();
      await call;
      if (isHeld === true) await plain!.restart();
      const reply = await wait.waitFor("an outcome", async () => {
        const resent = await resend(0);
        const isOpen = resent.status === 503 ||
          resent.text.includes("still-running");
        return isOpen ? undefined : resent;
      }, { timeoutMs: OUTCOME_TIMEOUT_MS });
      const { executions, ...seen } = expected;
      expect(reply, reply.text).to.include(seen);
      expect(scenario.executionsOf(orderId)).to.equal(executions);
    });
  }

  /** Takes the only server away; it goes on when it starts again. */
  async function leave(): Promise<void> {
    scenario.plains[0]!.leave();
    const { operator } = scenario.fleet.host(DYING);
    await wait.waitFor("no server", async () => {
      const { servers } = await operator.status();
      return servers.every((server) => !server.usable);
    });
  }

  async function metrics(): Promise<string> {
    const { operators } = scenario.fleet.host(DYING);
    const authorization = `Bearer ${scenario.fleet.secrets.operatorToken}`;
    const answer = await undici.request(`${operators}/metrics`, {
      headers: { authorization },
      reset: true,
    });
    return await answer.body.text();
  }

  function resend(host: number): Promise<caller.Reply> {
    return scenario.caller(host).order(orderId, orderId);
  }
});
