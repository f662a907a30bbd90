import { expect } from "chai";
import fastCheck from "fast-check";
import { SharedRateLimiter, UsageTracker } from "../../src/gateway/mod.ts";

const SEED = 20_261_205;
const RATE = {
  unit: "tokens" as const,
  perSecond: 0,
  burst: 1_000_000,
  plainTokens: 1,
};

describe("gateway usage tracker", () => {
  it("returns what has changed, and everything since revision 0", () => {
    const tracker = new UsageTracker();
    tracker.recordUsage("h1", [{ workspace: "a", tokens: 5 }]);
    tracker.recordUsage("h2", [
      { workspace: "a", tokens: 7 },
      { workspace: "b", tokens: 1 },
    ]);
    const { revision } = tracker;
    tracker.recordUsage("h2", [
      { workspace: "a", tokens: 9 },
      { workspace: "b", tokens: 1 },
    ]);
    expect(tracker.changesSince(revision))
      .to.deep.equal([{ host: "h2", usage: [{ workspace: "a", tokens: 9 }] }]);
    expect(tracker.changesSince(tracker.revision)).to.deep.equal([]);
    expect(tracker.changesSince(0).map(({ usage }) => usage.length))
      .to.deep.equal([1, 2]);
  });

  it("returns all counters of a host that comes back", () => {
    const tracker = new UsageTracker();
    tracker.recordUsage("h1", [{ workspace: "a", tokens: 5 }]);
    const { revision } = tracker;
    tracker.retainHosts(new Set());
    expect(tracker.changesSince(0)).to.deep.equal([]);
    tracker.recordUsage("h1", [{ workspace: "a", tokens: 5 }]);
    expect(tracker.changesSince(revision)).to.have.length(1);
  });

  it("deducts remote usage once at each host, whichever answers are lost", () => {
    const HOSTS = ["h0", "h1", "h2"];
    const step = fastCheck.record({
      host: fastCheck.nat(2),
      tokens: fastCheck.nat(500),
      isLost: fastCheck.boolean(),
      isNewLeader: fastCheck.integer({ min: 0, max: 9 })
        .map((value) => value === 0),
    });
    const steps = fastCheck.array(step, { minLength: 10, maxLength: 60 });
    fastCheck.assert(
      fastCheck.property(steps, (exchanges) => {
        const limiters = HOSTS.map(() => {
          const limiter = new SharedRateLimiter();
          limiter.setRate("a", RATE, 0);
          return limiter;
        });
        const answered = HOSTS.map(() => ({ term: 0, revision: 0 }));
        let tracker = new UsageTracker();
        let term = 1;
        const exchange = (at: number, isLost: boolean) => {
          const limiter = limiters[at]!;
          const last = answered[at]!;
          tracker.recordUsage(HOSTS[at]!, limiter.usage());
          const changes = tracker.changesSince(
            last.term === term ? last.revision : 0,
          )
            .filter(({ host }) => host !== HOSTS[at]);
          if (isLost) return;
          answered[at] = { term, revision: tracker.revision };
          limiter.applyRemoteUsage(changes, 0);
        };
        // Every host gets a report of the others before there is any usage.
        limiters.forEach((limiter) => limiter.tryConsume("a", 0, 0));
        for (const at of [0, 1, 2, 0, 1, 2]) exchange(at, false);
        let used = 0;
        for (const { host, isLost, isNewLeader, tokens } of exchanges) {
          if (isNewLeader) {
            tracker = new UsageTracker();
            term += 1;
          }
          limiters[host]!.tryConsume("a", tokens, 0);
          used += tokens;
          exchange(host, isLost);
        }
        for (const at of [0, 1, 2, 0, 1, 2]) exchange(at, false);
        // The rate is 0, so all buckets are left with the same level.
        for (const limiter of limiters) {
          expect(limiter.tryConsume("a", RATE.burst - used + 1, 0)).to.equal(
            false,
          );
          expect(limiter.tryConsume("a", RATE.burst - used, 0)).to.equal(true);
        }
      }),
      { seed: SEED, numRuns: 200 },
    );
  });
});
