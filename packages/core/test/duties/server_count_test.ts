import { expect } from "chai";
import * as duties from "../../src/duties/mod.ts";

const LIMITS = { kind: "usable", min: 2, max: 20, bootMs: 8_000 } as const;
const STEP_MS = 250;
const MINUTE_MS = 60_000;
/** Need of 24 servers: with one of four domains lost, 8 in each other one. */
const USED = { hosts: 4, requests: 24 * 12 * 0.6, slots: 12, missingModels: 0 };
const IDLE = { ...USED, requests: 0 };

/** Four failure domains whose servers are what was last ordered. */
class Deployment {
  readonly count = new duties.ServerCount();
  readonly orders: (duties.DomainOrder & { readonly at: number })[] = [];
  now = 1_000;
  use: duties.ServiceUse = IDLE;
  limits: duties.ScalingSituation["limits"] = LIMITS;
  serversForModels = 0;
  serving: number | undefined;
  /** Servers of domains that have others than the rest. */
  readonly servingIn = new Map<string, number>();
  withdrawn: string | undefined;
  readonly ordered = new Map<string, number | null>();

  constructor(ordered: number | null) {
    for (const domain of "abcd") this.ordered.set(domain, ordered);
  }

  run(durationMs: number): duties.DomainOrder[] {
    const before = this.orders.length;
    for (const end = this.now + durationMs; this.now < end;) {
      this.now += STEP_MS;
      const orders = this.count.decide({
        now: this.now,
        limits: this.limits,
        use: this.use,
        serversForModels: this.serversForModels,
        domains: [...this.ordered].map(([domain, ordered]) => ({
          domain,
          serving: this.servingIn.get(domain) ?? this.serving ?? ordered ?? 0,
          ordered,
          isWithdrawn: domain === this.withdrawn,
        })),
        toleratedDomains: 1,
      });
      for (const order of orders) {
        this.ordered.set(order.domain, order.count);
        this.orders.push({ ...order, at: this.now });
      }
    }
    return this.orders.slice(before);
  }

  get counts(): (number | null)[] {
    return [...this.ordered.values()];
  }
}

describe("number of servers", () => {
  it("is first what bears the loss of a failure domain", () => {
    const deployment = new Deployment(null);
    deployment.serving = 6;
    deployment.run(4_000);
    expect(deployment.counts).to.deep.equal([8, 8, 8, 8]);
  });

  it("first takes no servers from a domain that has more than its part", () => {
    const deployment = new Deployment(null);
    deployment.serving = 2;
    deployment.servingIn.set("a", 10);
    deployment.run(4_000);
    expect(deployment.counts).to.deep.equal([10, 6, 6, 6]);
  });

  it("first takes no servers from a domain that isn't heard of just then", () => {
    const deployment = new Deployment(null);
    deployment.serving = 2;
    deployment.servingIn.set("a", 10);
    deployment.run(2_000);
    deployment.servingIn.set("a", 0);
    deployment.run(2_000);
    expect(deployment.counts).to.deep.equal([10, 6, 6, 6]);
  });

  it("waits with the first order while servers are still heard of", () => {
    const deployment = new Deployment(null);
    for (const serving of [1, 2, 3, 4, 5, 6]) {
      deployment.serving = serving;
      expect(deployment.run(2_000)).to.deep.equal([]);
    }
  });

  it("is first the most if any of many models may be asked for", () => {
    const deployment = new Deployment(null);
    deployment.serving = 1;
    deployment.serversForModels = 300;
    deployment.run(STEP_MS);
    expect(deployment.counts).to.deep.equal([20, 20, 20, 20]);
  });

  it("rises for a need within a boot that lasts", () => {
    const deployment = new Deployment(5);
    deployment.use = USED;
    deployment.run(2_000);
    expect(deployment.counts).to.deep.equal([8, 8, 8, 8]);
  });

  it("doesn't rise for a peak", () => {
    const deployment = new Deployment(5);
    deployment.run(2_000);
    deployment.use = USED;
    deployment.run(2 * STEP_MS);
    deployment.use = IDLE;
    deployment.run(2_000);
    expect(deployment.orders).to.deep.equal([]);
  });

  it("rises ahead of a need that grows", () => {
    const deployment = new Deployment(8);
    deployment.use = { ...USED, requests: USED.requests * 0.75 };
    deployment.run(9_000);
    expect(deployment.counts).to.deep.equal([8, 8, 8, 8]);
    deployment.use = USED;
    deployment.run(2_000);
    expect(deployment.counts).to.deep.equal([10, 10, 10, 10]);
  });

  it("rises for models that no server holds", () => {
    const deployment = new Deployment(5);
    deployment.use = { ...IDLE, missingModels: 12 };
    deployment.run(2_000);
    expect(deployment.counts).to.deep.equal([8, 8, 8, 8]);
  });

  it("never leaves its limits", () => {
    const deployment = new Deployment(5);
    deployment.use = { ...USED, requests: 1e6 };
    deployment.run(2_000);
    expect(deployment.counts).to.deep.equal([20, 20, 20, 20]);
    deployment.use = IDLE;
    deployment.run(100 * MINUTE_MS);
    expect(deployment.counts).to.deep.equal([2, 2, 2, 2]);
  });

  it("falls by one server, in one failure domain, for each minute of calm", () => {
    const deployment = new Deployment(8);
    expect(deployment.run(MINUTE_MS)).to.deep.equal([]);
    const orders = deployment.run(3 * MINUTE_MS);
    expect(orders.map(({ count, reason }) => `${reason} ${count}`))
      .to.deep.equal(["calm 7", "calm 7", "calm 7"]);
    expect(new Set(orders.map(({ domain }) => domain)).size).to.equal(3);
  });

  it("leaves a margin when it falls", () => {
    const deployment = new Deployment(10);
    deployment.use = USED;
    deployment.run(20 * MINUTE_MS);
    expect(deployment.counts).to.deep.equal([10, 10, 10, 10]);
  });

  it("begins the calm again after a need, and stays until it has passed", () => {
    const deployment = new Deployment(8);
    deployment.run(MINUTE_MS - 2_000);
    deployment.use = USED;
    deployment.run(STEP_MS);
    deployment.use = IDLE;
    expect(deployment.run(MINUTE_MS - 2_000)).to.deep.equal([]);
  });

  it("doesn't rise and fall in turns with a use that swings", () => {
    const deployment = new Deployment(8);
    for (let turn = 0; turn < 60; turn += 1) {
      deployment.use = turn % 2 === 0 ? USED : IDLE;
      deployment.run(10_000);
    }
    const reasons = new Set(deployment.orders.map(({ reason }) => reason));
    expect([...reasons].filter((reason) => reason === "calm"))
      .to.deep.equal([]);
  });

  it("takes a host that fell silent for no calm", () => {
    const deployment = new Deployment(8);
    deployment.run(MINUTE_MS - 2_000);
    deployment.use = { ...IDLE, hosts: 3 };
    expect(deployment.run(MINUTE_MS - 2_000)).to.deep.equal([]);
  });

  it("takes silence of all hosts for no calm", () => {
    const deployment = new Deployment(8);
    deployment.use = { ...IDLE, hosts: 0 };
    expect(deployment.run(10 * MINUTE_MS)).to.deep.equal([]);
  });

  it("takes time that passed unnoticed for no calm", () => {
    const deployment = new Deployment(8);
    deployment.run(2_000);
    deployment.now += 10 * MINUTE_MS;
    expect(deployment.run(MINUTE_MS - 2_000)).to.deep.equal([]);
  });

  it("takes a suspension for no calm, though the clock stood still", () => {
    const deployment = new Deployment(8);
    deployment.run(MINUTE_MS - 2_000);
    deployment.count.reset();
    expect(deployment.run(MINUTE_MS - 2_000)).to.deep.equal([]);
  });

  it("orders missing servers once more after two boots", () => {
    const deployment = new Deployment(8);
    deployment.use = USED;
    deployment.serving = 7;
    const orders = deployment.run(17_000);
    expect(orders.map(({ count, reason }) => `${reason} ${count}`))
      .to.deep.equal(Array(4).fill("missing 8"));
  });

  it("waits twice as long after each such order, up to 10 minutes", () => {
    const deployment = new Deployment(8);
    deployment.use = USED;
    deployment.servingIn.set("a", 7);
    deployment.run(60 * MINUTE_MS);
    const times = deployment.orders.map(({ at }) => at);
    const gaps = times.slice(1).map((at, index) => at - (times[index] ?? 0));
    expect(gaps.map((gap) => gap / 1_000))
      .to.deep.equal([32, 64, 128, 256, 512, 600, 600, 600, 600]);
  });

  it("waits no longer than two boots for servers that were ordered since", () => {
    const deployment = new Deployment(8);
    deployment.use = USED;
    deployment.serving = 7;
    deployment.run(10 * MINUTE_MS);
    deployment.use = { ...USED, requests: 1.2 * USED.requests };
    const reasons = deployment.run(20_000).map(({ reason }) => reason);
    expect(reasons.slice(-4)).to.deep.equal(Array(4).fill("missing"));
  });

  it("leaves a withdrawn domain, and has the others bear its part", () => {
    const deployment = new Deployment(5);
    deployment.withdrawn = "b";
    deployment.use = USED;
    deployment.run(2_000);
    expect(deployment.counts).to.deep.equal([8, 5, 8, 8]);
  });

  it("follows new limits", () => {
    const deployment = new Deployment(8);
    deployment.limits = { ...LIMITS, max: 6 };
    deployment.run(STEP_MS);
    expect(deployment.counts).to.deep.equal([6, 6, 6, 6]);
  });
});

describe("limits of scaling", () => {
  for (
    const [scaling, reason] of [
      [{}, "min is undefined"],
      [{ min: 2, bootMs: 1 }, "max is undefined"],
      [{ min: 2, max: 9 }, "boot time is undefined"],
      [{ min: 2, max: 9, bootMs: -1 }, "boot time is -1"],
      [{ min: -2, max: 9, bootMs: 1 }, "min is -2"],
      [{ min: 2, max: 9.5, bootMs: 1 }, "max is 9.5"],
      [{ min: 2, max: 1, bootMs: 1 }, "min 2 is above max 1"],
    ] as const
  ) {
    it(`can't be used if ${reason}`, () => {
      expect(duties.scalingLimits(scaling))
        .to.deep.equal({ kind: "unusable", reason });
    });
  }
});
