import { routing } from "@ebonypath/core";
import { expect } from "chai";

const SEED = 7;

/** Linear congruential generator, for the same draws in every run. */
function seeded(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

function candidates(
  loads: readonly number[],
  limit = 10,
): routing.Candidate[] {
  return loads.map((inFlight, index) => ({
    server: `s${index}`,
    failureDomain: `d${index % 4}`,
    inFlight,
    queued: 0,
    limit,
  }));
}

function tally(
  draws: number,
  input: Omit<routing.SelectionInput, "random">,
): Record<string, number> {
  const random = seeded(SEED);
  const counts: Record<string, number> = {};
  for (let i = 0; i < draws; i++) {
    const { server } = routing.selectServer({ ...input, random })!;
    counts[server] = (counts[server] ?? 0) + 1;
  }
  return counts;
}

describe("choice by load", () => {
  it("has no choice among none", () => {
    const random = seeded(SEED);
    expect(routing.selectServer({ candidates: [], random })).to.equal(
      undefined,
    );
  });

  it("never takes the most loaded of three, and spreads the rest", () => {
    const counts = tally(1000, { candidates: candidates([0, 0, 9]) });
    expect(counts["s2"]).to.equal(undefined);
    expect(counts["s0"]).to.be.within(400, 600);
  });

  it("weighs load by limit and counts reported queues", () => {
    const [a, b] = candidates([4, 3]);
    const large = { ...a!, limit: 100 };
    const busy = { ...b!, queued: 2 };
    expect(tally(20, { candidates: [large, busy] })).to.deep.equal({ s0: 20 });
  });

  it("leaves the failure domain of an earlier attempt if it can", () => {
    const all = candidates([0, 5, 5, 5]);
    const triedDomains = new Set(["d0"]);
    expect(tally(100, { candidates: all, triedDomains }))
      .to.not.have.property("s0");
    expect(tally(9, { candidates: [all[0]!], triedDomains }))
      .to.deep.equal({ s0: 9 });
  });
});

describe("choice by prefix", () => {
  const input = { candidates: candidates([2, 2, 2, 2]), prefixKey: "p" };

  it("sends a prefix to the same server", () => {
    expect(Object.keys(tally(50, input))).to.have.length(1);
  });

  it("moves only the keys of a server that went away", () => {
    for (let key = 0; key < 200; key++) {
      const prefixKey = `p${key}`;
      const [before] = Object.keys(tally(1, { ...input, prefixKey }));
      const left = input.candidates.filter(({ server }) => server !== "s1");
      const [after] = Object.keys(
        tally(1, { candidates: left, prefixKey }),
      );
      if (before !== "s1") {
        expect(after).to.equal(before);
      }
    }
  });

  it("goes where the prefix is reported to be cached", () => {
    for (const server of ["s0", "s1", "s2", "s3"]) {
      expect(tally(5, { ...input, serversWithPrefix: new Set([server]) }))
        .to.deep.equal({ [server]: 5 });
    }
  });

  it("gives way when the server's load is above the bound", () => {
    const [home] = Object.keys(tally(1, input));
    const loaded = input.candidates.map((one) => ({
      ...one,
      inFlight: one.server === home ? 6 : 2,
    }));
    const counts = tally(5, { ...input, candidates: loaded });
    expect(counts).to.not.have.property(home!);
    expect(Object.keys(counts)).to.have.length(1);
  });
});

describe("prefix hints", () => {
  it("lose their value with age, eviction and the server", () => {
    const hints = new routing.PrefixHints();
    hints.add("p", "s0", 0);
    hints.add("p", "s1", 1000);
    expect([...hints.serversWith("p", 1000)]).to.deep.equal(["s0", "s1"]);
    expect([...hints.serversWith("p", routing.HINT_TTL_MS)])
      .to.deep.equal(["s1"]);
    hints.remove("p", "s0");
    hints.removeServer("s1");
    expect(hints.serversWith("p", 1000).size).to.equal(0);
    expect(hints.size).to.equal(0);
  });

  it("keep the four servers of the latest events", () => {
    const hints = new routing.PrefixHints();
    for (const server of ["s0", "s1", "s2", "s3", "s0", "s4"]) {
      hints.add("p", server, 0);
    }
    expect([...hints.serversWith("p", 0)])
      .to.deep.equal(["s2", "s3", "s0", "s4"]);
  });

  it("are bounded", () => {
    const hints = new routing.PrefixHints();
    for (let i = 0; i <= routing.MAX_PREFIXES; i++) {
      hints.add(`p${i}`, "s0", i);
    }
    expect(hints.size).to.equal(routing.MAX_PREFIXES);
    expect(hints.serversWith("p0", 0).size).to.equal(0);
  });
});

describe("ejection of failing servers", () => {
  const servers = candidates([0, 0, 0, 0, 0, 0]);

  function names(detector: routing.OutlierDetector, now: number): string {
    return detector.withoutEjected(servers, now)
      .map(({ server }) => server).join(" ");
  }

  function fail(
    detector: routing.OutlierDetector,
    server: string,
    now: number,
    times = routing.CONSECUTIVE_FAILURE_THRESHOLD,
  ): void {
    for (let i = 0; i < times; i++) {
      detector.recordFailure(server, now);
    }
  }

  it("takes failures in a row and lasts for a time", () => {
    const detector = new routing.OutlierDetector();
    fail(detector, "s0", 0, routing.CONSECUTIVE_FAILURE_THRESHOLD - 1);
    detector.recordSuccess("s0");
    fail(detector, "s0", 0, routing.CONSECUTIVE_FAILURE_THRESHOLD - 1);
    expect(names(detector, 0)).to.contain("s0");
    fail(detector, "s0", 0, 1);
    expect(names(detector, 0)).to.equal("s1 s2 s3 s4 s5");
    expect(names(detector, routing.BASE_EJECTION_MS)).to.contain("s0");
  });

  it("lasts longer after a failure on probation", () => {
    const detector = new routing.OutlierDetector();
    fail(detector, "s0", 0);
    fail(detector, "s0", routing.BASE_EJECTION_MS, 1);
    expect(names(detector, 2.9 * routing.BASE_EJECTION_MS)).to.not.contain(
      "s0",
    );
    expect(names(detector, 3 * routing.BASE_EJECTION_MS)).to.contain("s0");
  });

  it("leaves at least two thirds in service", () => {
    const detector = new routing.OutlierDetector();
    servers.forEach(({ server }, index) => fail(detector, server, index));
    expect(names(detector, 10)).to.equal("s0 s1 s2 s3");
    expect(detector.withoutEjected(servers.slice(5), 10)).to.have.length(1);
  });
});
