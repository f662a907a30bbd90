import { expect } from "chai";
import fastCheck from "fast-check";
import * as core from "../../src/gateway/mod.ts";

const SEED = 20_261_204;
const COLD_PER_SECOND = 12;
/** Requests in any second that a cold server stands: 1.5 times its limit. */
const MAX_COLD_IN_SECOND = 1.5 * COLD_PER_SECOND;

/** A reading of clocks that agree. */
function clocks(ms: number): core.ClockReading {
  return { monotonicMs: ms, wallMs: 1_000_000 + ms };
}

describe("gateway lending pool", () => {
  it("lends whole units, and none before any have accrued", () => {
    const pool = new core.LendingPool({ perSecond: 2, burst: 3 }, 0);
    expect(pool.lend(5, 0)).to.equal(0);
    expect(pool.lend(5, 400)).to.equal(0);
    expect(pool.lend(5, 500)).to.equal(1);
    expect(pool.lend(5, 60_000)).to.equal(3);
    pool.deposit(0.6);
    pool.deposit(0.6);
    expect(pool.lend(5, 60_000)).to.equal(1);
  });

  it("adds nothing when the limit is raised", () => {
    const pool = new core.LendingPool({ perSecond: 1, burst: 1 }, 0);
    pool.setOptions({ perSecond: 1, burst: 10 }, 5_000);
    expect(pool.lend(5, 5_000)).to.equal(1);
  });
});

describe("gateway requests to a cold server", () => {
  for (const count of [1, 5, 9, 40, 195]) {
    it(`keep to its limit over ${count} hosts in any second`, () => {
      const step = fastCheck.record({
        host: fastCheck.nat(count - 1),
        gapMs: fastCheck.nat(60),
        wanted: fastCheck.integer({ min: 1, max: 4 }),
        useAfterMs: fastCheck.nat(400),
      });
      fastCheck.assert(
        fastCheck.property(
          fastCheck.array(step, { minLength: 50, maxLength: 200 }),
          (steps) => {
            const sent = sendToColdServer(count, steps);
            for (const from of sent) {
              const inSecond = sent
                .filter((at) => at >= from && at < from + 1_000);
              expect(inSecond.length).to.be.at.most(MAX_COLD_IN_SECOND);
            }
          },
        ),
        { seed: SEED, numRuns: 60 },
      );
    });
  }

  it("use the whole limit, whichever host asks", () => {
    const steps = Array.from({ length: 300 }, (_, at) => ({
      host: at % 195,
      gapMs: 10,
      wanted: 1,
      useAfterMs: 2,
    }));
    // 3 s at 12 requests per second.
    expect(sendToColdServer(195, steps).length).to.be.at.least(34);
  });
});

type Step = {
  readonly host: number;
  readonly gapMs: number;
  readonly wanted: number;
  readonly useAfterMs: number;
};

/** Times of the requests of hosts that borrow units and use them later. */
function sendToColdServer(hosts: number, steps: readonly Step[]): number[] {
  const pool = new core.LendingPool(core.coldServerPool(COLD_PER_SECOND), 0);
  const stocks = Array.from(
    { length: hosts },
    () => new core.BorrowedUnits(core.COLD_UNIT_LIFETIME_MS),
  );
  const sent: number[] = [];
  let uses: { readonly host: number; readonly at: number }[] = [];
  const useUntil = (until: number) => {
    const due = uses.filter(({ at }) => at <= until)
      .sort((one, other) => one.at - other.at);
    uses = uses.filter(({ at }) => at > until);
    for (const { at, host } of due) {
      if (stocks[host]?.tryTake(clocks(at))) sent.push(at);
    }
  };
  let now = 0;
  for (const { gapMs, host, useAfterMs, wanted } of steps) {
    now += gapMs;
    useUntil(now);
    stocks[host]?.add(pool.lend(wanted, now), clocks(now));
    for (let unit = 0; unit < wanted; unit += 1) {
      uses.push({ host, at: now + useAfterMs });
    }
  }
  useUntil(Infinity);
  return sent;
}

describe("gateway borrowed units", () => {
  const LIFETIME_MS = 1_000;

  it("are used once and within their lifetime", () => {
    const units = new core.BorrowedUnits(LIFETIME_MS);
    units.add(2, clocks(0));
    expect(units.tryTake(clocks(10))).to.equal(true);
    expect(units.tryTake(clocks(1_001))).to.equal(false);
    units.add(1, clocks(2_000));
    expect(units.tryTake(clocks(2_900))).to.equal(true);
    expect(units.tryTake(clocks(2_900))).to.equal(false);
  });

  it("are not used after the host was suspended", () => {
    const units = new core.BorrowedUnits(LIFETIME_MS);
    units.add(1, clocks(0));
    // The monotonic clock stands still during a suspension.
    const resumed = { monotonicMs: 20, wallMs: clocks(4_000).wallMs };
    expect(units.tryTake(resumed)).to.equal(false);
  });

  it("are not used after the wall clock was set back", () => {
    const units = new core.BorrowedUnits(LIFETIME_MS);
    units.add(1, clocks(5_000));
    const stepped = { monotonicMs: 5_010, wallMs: clocks(3_000).wallMs };
    expect(units.tryTake(stepped)).to.equal(false);
  });
});

describe("gateway limited workspaces", () => {
  const workspace = {
    name: "shop",
    keys: [],
    rate: {
      unit: "tokens" as const,
      perSecond: 1_000,
      burst: 1_000,
      plainTokens: 1,
    },
  };

  it("name a workspace from half of its burst until it has recovered", () => {
    const limited = new core.LimitedWorkspaces(0);
    limited.setRates([workspace], 0);
    limited.recordUsage("shop", 400, 0);
    expect(limited.update(true, 0)).to.equal(false);
    limited.recordUsage("shop", 200, 0);
    expect(limited.update(true, 0)).to.equal(true);
    expect([...limited.names]).to.deep.equal(["shop"]);
    expect(limited.update(true, 300)).to.equal(false);
    expect(limited.update(true, 600)).to.equal(true);
    expect([...limited.names]).to.deep.equal([]);
  });

  // A leader that began let all hosts use a rate that was nearly used up.
  it("name a workspace below its full burst until the hosts have told their usage", () => {
    const limited = new core.LimitedWorkspaces(0);
    limited.setRates([workspace], 0);
    limited.recordMissing([{ workspace: "shop", tokens: 400 }], 0);
    expect(limited.update(false, 0)).to.equal(true);
    expect([...limited.names]).to.deep.equal(["shop"]);
    expect(limited.update(false, 400)).to.equal(true);
    expect([...limited.names]).to.deep.equal([]);
  });
});

describe("gateway server balancer", () => {
  const servers = ["a", "b", "c", "d"].map((id) => ({ id, utilization: 0.2 }));

  it("selects the same server for a key at every host", () => {
    for (let key = 0; key < 50; key += 1) {
      const first = core.selectBalanced(servers, `key ${key}`, 0.1);
      const other = core.selectBalanced(
        [...servers].reverse(),
        `key ${key}`,
        0.1,
      );
      expect(first?.id).to.equal(other?.id);
    }
  });

  it("spreads keys over the servers that are used alike", () => {
    const counts = new Map<string, number>();
    for (let key = 0; key < 400; key += 1) {
      const id = core.selectBalanced(servers, `key ${key}`, 0.1)!.id;
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    for (const { id } of servers) expect(counts.get(id)).to.be.within(60, 140);
  });

  it("leaves out a server that is used more", () => {
    const busy = [{ id: "a", utilization: 0.9 }, ...servers.slice(1)];
    for (let key = 0; key < 50; key += 1) {
      expect(core.selectBalanced(busy, `key ${key}`, 0.1)?.id).to.not.equal(
        "a",
      );
    }
  });

  it("selects none of none", () => {
    expect(core.selectBalanced([], "key", 0.1)).to.equal(undefined);
  });

  it("moves only the keys of a server that leaves", () => {
    for (let key = 0; key < 100; key += 1) {
      const before = core.selectBalanced(servers, `key ${key}`, 0.1)!.id;
      const after =
        core.selectBalanced(servers.slice(1), `key ${key}`, 0.1)!.id;
      if (before !== "a") expect(after).to.equal(before);
    }
  });
});

describe("gateway suspension detector", () => {
  it("distinguishes a suspension from time that passes", () => {
    const detector = new core.SuspensionDetector(1_000, 50_000);
    expect(detector.hasClockJumped(1_500, 50_501)).to.equal(false);
    expect(detector.hasClockJumped(1_600, 54_600)).to.equal(true);
    expect(detector.hasClockJumped(1_700, 54_700)).to.equal(false);
    expect(detector.hasClockJumped(1_800, 52_000)).to.equal(true);
  });
});
