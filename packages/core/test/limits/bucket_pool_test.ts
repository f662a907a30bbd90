/**
 * Accounting of one token bucket at the leader and at the host, message by
 * message.
 *
 * @module
 */

import { limits } from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";
import { expect } from "chai";

const BURST = 300;
const START = { isGrantable: true, adoptionEndsAt: 0, level: BURST };

type Report = protocol.limits.BucketReport;

function reportOf(fields: Partial<Report>): Report {
  return {
    pool: "shop",
    rate: 0,
    capacity: 0,
    balance: 0,
    reserved: 0,
    surrendered: 0,
    usage: 0,
    demand: { tokens: 0, head: 0, headAgeMs: 0 },
    ...fields,
  };
}

function demanding(tokens: number): Pick<Report, "demand"> {
  return { demand: { tokens, head: tokens, headAgeMs: 0 } };
}

function idAt(exchange: number): protocol.limits.GrantId {
  return { term: 1, exchange };
}

describe("bucket accounting at the leader", () => {
  function newPool(rate: number): limits.BucketPool {
    const limit = { rate, burst: BURST };
    const pool = new limits.BucketPool("shop", limit, START, 0);
    const first = pool.exchange("a", reportOf(demanding(200)), idAt(1), 0)!;
    expect([first.capacity, first.level]).to.deep.equal([200, 200]);
    return pool;
  }

  it("credits surrendered tokens once, even if they are reported repeatedly", () => {
    const pool = newPool(0);
    const surrendering = reportOf({
      grant: idAt(1),
      capacity: 50,
      balance: 50,
      surrendered: 100,
    });
    for (const exchange of [2, 3, 4]) {
      const demand = demanding(50);
      pool.exchange("a", { ...surrendering, ...demand }, idAt(exchange), 0);
      expect(pool.level).to.equal(200);
    }
  });

  it("reclaims the tokens of a lost grant exactly once", () => {
    const pool = newPool(0);
    const spent = { grant: idAt(1), capacity: 200, ...demanding(80) };
    for (const exchange of [2, 3, 4]) {
      const grant = pool.exchange("a", reportOf(spent), idAt(exchange), 0)!;
      expect([grant.level, pool.level]).to.deep.equal([80, 20]);
    }
  });

  it("does not refill the pool in place of tokens in an unacknowledged grant", () => {
    const pool = newPool(10_000);
    const spent = { grant: idAt(1), capacity: 200, ...demanding(80) };
    const grant = pool.exchange("a", reportOf(spent), idAt(2), 0)!;
    expect(grant.level).to.equal(80);
    pool.advance(1000);
    const most = BURST - Math.max(200 + grant.level, grant.capacity);
    expect(pool.level).to.equal(most);
  });

  it("treats the tokens of a silent holder as consumed", () => {
    const pool = newPool(0);
    pool.advance(limits.SHARE_LIFETIME_MS);
    expect(pool.allocated().capacity).to.equal(0);
    expect(pool.level).to.equal(100);
  });

  it("frees nothing when an adopted share turns out to be outdated", () => {
    const limit = { rate: 0, burst: BURST };
    const start = {
      isGrantable: true,
      adoptionEndsAt: limits.SHARE_LIFETIME_MS,
      level: BURST,
    };
    const pool = new limits.BucketPool("shop", limit, start, 0);
    const outdated = { grant: { term: 0, exchange: 1 }, capacity: 200 };
    pool.exchange(
      "a",
      reportOf({ ...outdated, ...demanding(200) }),
      idAt(2),
      0,
    );
    expect(pool.allocated().capacity).to.equal(BURST);
    const grant = pool.exchange("a", reportOf(demanding(200)), idAt(3), 0)!;
    expect(grant.capacity).to.equal(0);
    expect(pool.allocated().capacity).to.equal(BURST);
  });

  it("does not accept reports of more than the holder can have", () => {
    const pool = newPool(0);
    const excessive = { grant: idAt(1), capacity: 9999, ...demanding(9999) };
    const grant = pool.exchange("a", reportOf(excessive), idAt(2), 0)!;
    expect(grant.capacity).to.equal(BURST);
  });
});

describe("a bucket with too few tokens for all waiting requests", () => {
  const RATE = 100;
  /**
   * Tokens that each request reserves and uses; two requests wait at each
   * holder.
   */
  const TOKENS = 109;
  const USED = 21;
  const HOLDERS = ["a", "b", "c", "d"];
  /** Interval between two reports of a waiting holder, in milliseconds. */
  const STEP_MS = 50;
  const EXCHANGES_PER_STEP = HOLDERS.length;

  /**
   * Counts the requests served per holder. Each holder always waits for
   * `TOKENS` and uses them as soon as it can reserve them.
   */
  function serve(durationMs: number, silent?: string): number[] {
    const limit = { rate: RATE, burst: BURST };
    const pool = new limits.BucketPool("shop", limit, START, 0);
    const shares = new Map(
      HOLDERS.map((name) => [name, new limits.BucketShare("shop")]),
    );
    const served = HOLDERS.map(() => 0);
    const since = HOLDERS.map((_, index) => index);
    let exchange = 0;
    for (let now = 10; now < durationMs; now += STEP_MS) {
      for (const [index, name] of HOLDERS.entries()) {
        if (name === silent && now > STEP_MS) continue;
        const at = now + index * STEP_MS / EXCHANGES_PER_STEP;
        const share = shares.get(name)!;
        share.setWaiting({
          tokens: 2 * TOKENS,
          head: TOKENS,
          since: since[index]!,
        });
        exchange += 1;
        const id = idAt(exchange);
        const grant = pool.exchange(name, share.report(exchange, at), id, at)!;
        share.accept(grant, id, at);
        const result = share.reserve(TOKENS, at);
        if (result.kind !== "reserved") continue;
        share.settle(result.reservation, USED, at);
        served[index]! += 1;
        since[index] = at;
      }
    }
    return served;
  }

  it("serves all holders evenly at the full rate", () => {
    const served = serve(20_000);
    const total = served.reduce((sum, count) => sum + count, 0) * USED;
    expect(total).to.be.at.most(BURST + RATE * 20);
    expect(total).to.be.at.least(0.95 * RATE * 20);
    expect(Math.max(...served) - Math.min(...served)).to.be.at.most(2);
  });

  it("serves the others when a waiting holder goes silent", () => {
    const served = serve(10_000, "d");
    const total = served.reduce((sum, count) => sum + count, 0) * USED;
    expect(total).to.be.at.least(0.7 * RATE * 10);
  });
});

describe("bucket share at the host", () => {
  it("reports reserved tokens beyond a reduced capacity", () => {
    const share = new limits.BucketShare("shop");
    const grant = (exchange: number, fields: object) => {
      share.report(exchange, 0);
      const all = {
        pool: "shop",
        rate: 0,
        capacity: 0,
        level: 0,
        burst: BURST,
        lifetimeMs: limits.SHARE_LIFETIME_MS,
        ...fields,
      };
      expect(share.accept(all, idAt(exchange), 0)).to.equal(true);
    };
    grant(1, { capacity: 100, level: 100 });
    const result = share.reserve(70, 0);
    grant(2, { continues: idAt(1), capacity: 10 });
    expect(share.report(3, 0))
      .to.include({ capacity: 70, balance: 70, surrendered: 30 });
    if (result.kind === "reserved") {
      share.settle(result.reservation, 20, 0);
    }
    expect(share.report(4, 0))
      .to.include({ capacity: 10, balance: 10, surrendered: 70 });
  });
});
