import * as timers from "node:timers/promises";
import { type launcher, wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as undici from "undici";
import * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

const HOSTS = 4;
/** Time that the balancer has to leave a host out, in milliseconds. */
const DRAIN_DELAY_MS = 1_000;
const PAUSE_MS = 20;

/** Sends each request to a host whose `/readyz` answers 200. */
class Balancer implements AsyncDisposable {
  readonly failures: string[] = [];
  /** Ids of the orders that were answered, in the order of their sending. */
  readonly orders: string[] = [];
  answered = 0;
  readonly #scenario: scenarios.Scenario;
  readonly #ready = new Set<launcher.FleetHost>();
  readonly #loops: Promise<void>[];
  #isStopped = false;

  constructor(scenario: scenarios.Scenario) {
    this.#scenario = scenario;
    this.#loops = [
      ...scenario.fleet.hosts.map((host) => this.#check(host)),
      this.#ask(),
      this.#order(),
    ];
  }

  isReady(host: launcher.FleetHost): boolean {
    return this.#ready.has(host);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#loops);
  }

  async #check(host: launcher.FleetHost): Promise<void> {
    while (!this.#isStopped) {
      const status = host.isRunning ? await readiness(host) : 503;
      if (status === 200) this.#ready.add(host);
      else this.#ready.delete(host);
      await timers.setTimeout(PAUSE_MS);
    }
  }

  async #ask(): Promise<void> {
    for (let turn = 0; !this.#isStopped; turn += 1) {
      await this.#send(turn, (one) => one.chat(scenarios.MODEL, `${turn}`));
    }
  }

  async #order(): Promise<void> {
    for (let turn = 0; !this.#isStopped; turn += 1) {
      const id = `order-${turn}`;
      await this.#send(turn, async (one) => {
        const reply = await one.order(id, id);
        this.orders.push(id);
        return reply;
      });
    }
  }

  async #send(
    turn: number,
    send: (one: caller.Caller) => Promise<caller.Reply>,
  ): Promise<void> {
    await timers.setTimeout(PAUSE_MS);
    const ready = [...this.#ready];
    const host = ready[turn % ready.length];
    if (host === undefined) return;
    const key = this.#scenario.keys.get("web-shop")?.key;
    try {
      const reply = await send(new caller.Caller(host.callers, key));
      this.answered += 1;
      if (reply.status >= 300) this.failures.push(reply.text);
    } catch (error) {
      this.failures.push(`${host.name}: ${String(error)}`);
    }
  }
}

async function readiness(host: launcher.FleetHost): Promise<number> {
  try {
    const answer = await undici.request(`${host.callers}/readyz`, {
      reset: true,
    });
    await answer.body.dump();
    return answer.statusCode;
  } catch {
    return 503;
  }
}

describe("a restart of all hosts, one after the other", () => {
  it("cuts no request behind a balancer that asks /readyz", async () => {
    await using scenario = await scenarios.Scenario.start({
      hosts: HOSTS,
      limits: { "drain_delay_ms": DRAIN_DELAY_MS },
      engines: [{}, {}],
      plains: [{}],
    });
    await using balancer = new Balancer(scenario);
    const leader = await scenario.fleet.leader();
    const others = scenario.fleet.hosts.filter((host) => host !== leader);
    for (const host of [...others, ...leader === undefined ? [] : [leader]]) {
      await wait.waitFor(
        "all hosts to be ready",
        () => scenario.fleet.hosts.every((one) => balancer.isReady(one)),
        { timeoutMs: 20_000 },
      );
      host.process.signal("SIGTERM");
      const exit = await host.process.waitForExit(20_000);
      expect(exit).to.deep.equal({ code: 0, signal: null });
      await host.restart();
    }
    const { answered } = balancer;
    await wait.waitFor(
      "requests after the last restart",
      () => balancer.answered > answered,
    );
    expect(balancer.failures).to.deep.equal([]);
    const { orders } = balancer;
    expect(orders.length).to.be.greaterThan(HOSTS);
    const [plain] = scenario.plains;
    const executed = plain?.journal.executions.map(({ id }) => id) ?? [];
    const ids = new Set(orders);
    expect(executed.filter((id) => ids.has(id))).to.deep.equal(orders);
    // One more may have run that is not answered yet.
    expect(executed.length).to.be.at.most(orders.length + 1);
  });
});
