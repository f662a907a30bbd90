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

describe("gateway usage book", () => {
  it("tells what has changed, and all to one that knows nothing", () => {
    const book = new UsageTracker();
    book.recordUsage("h1", [{ workspace: "a", tokens: 5 }]);
    book.recordUsage("h2", [
      { workspace: "a", tokens: 7 },
      { workspace: "b", tokens: 1 },
    ]);
    const { revision } = book;
    book.recordUsage("h2", [
      { workspace: "a", tokens: 9 },
      { workspace: "b", tokens: 1 },
    ]);
    expect(book.changesSince(revision))
      .to.deep.equal([{ host: "h2", usage: [{ workspace: "a", tokens: 9 }] }]);
    expect(book.changesSince(book.revision)).to.deep.equal([]);
    expect(book.changesSince(0).map(({ usage }) => usage.length))
      .to.deep.equal([1, 2]);
  });

  it("tells all of a host that comes back", () => {
    const book = new UsageTracker();
    book.recordUsage("h1", [{ workspace: "a", tokens: 5 }]);
    const { revision } = book;
    book.retainHosts(new Set());
    expect(book.changesSince(0)).to.deep.equal([]);
    book.recordUsage("h1", [{ workspace: "a", tokens: 5 }]);
    expect(book.changesSince(revision)).to.have.length(1);
  });

  it("charges each host for all others, whatever answers get lost", () => {
    const HOSTS = ["h0", "h1", "h2"];
    const step = fastCheck.record({
      host: fastCheck.nat(2),
      tokens: fastCheck.nat(500),
      isLost: fastCheck.boolean(),
      isNewLeader: fastCheck.integer({ min: 0, max: 9 })
        .map((drawn) => drawn === 0),
    });
    const steps = fastCheck.array(step, { minLength: 10, maxLength: 60 });
    fastCheck.assert(
      fastCheck.property(steps, (drawn) => {
        const meters = HOSTS.map(() => {
          const meter = new SharedRateLimiter();
          meter.setRate("a", RATE, 0);
          return meter;
        });
        const answered = HOSTS.map(() => ({ term: 0, revision: 0 }));
        let book = new UsageTracker();
        let term = 1;
        const exchange = (at: number, isLost: boolean) => {
          const meter = meters[at]!;
          const last = answered[at]!;
          book.recordUsage(HOSTS[at]!, meter.usage());
          const news = book.changesSince(last.term === term ? last.revision : 0)
            .filter(({ host }) => host !== HOSTS[at]);
          if (isLost) return;
          answered[at] = { term, revision: book.revision };
          meter.applyRemoteUsage(news, 0);
        };
        // Each hears of the others before there is any use.
        meters.forEach((meter) => meter.tryConsume("a", 0, 0));
        for (const at of [0, 1, 2, 0, 1, 2]) exchange(at, false);
        let used = 0;
        for (const { host, isLost, isNewLeader, tokens } of drawn) {
          if (isNewLeader) {
            book = new UsageTracker();
            term += 1;
          }
          meters[host]!.tryConsume("a", tokens, 0);
          used += tokens;
          exchange(host, isLost);
        }
        for (const at of [0, 1, 2, 0, 1, 2]) exchange(at, false);
        // Nothing is refilled: what is left is the same everywhere.
        for (const meter of meters) {
          expect(meter.tryConsume("a", RATE.burst - used + 1, 0)).to.equal(
            false,
          );
          expect(meter.tryConsume("a", RATE.burst - used, 0)).to.equal(true);
        }
      }),
      { seed: SEED, numRuns: 200 },
    );
  });
});
