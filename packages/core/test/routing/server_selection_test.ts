import { routing } from "@ebonypath/core";
import { expect } from "chai";

const SEED = 7;

/** Linear congruential generator, so that every run draws the same numbers. */
function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

function createCandidates(
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

/** Selects a server `draws` times and counts how often each is selected. */
function countSelections(
  draws: number,
  input: Omit<routing.SelectionInput, "random">,
): Record<string, number> {
  const random = seededRandom(SEED);
  const counts: Record<string, number> = {};
  for (let i = 0; i < draws; i++) {
    const { server } = routing.selectServer({ ...input, random })!;
    counts[server] = (counts[server] ?? 0) + 1;
  }
  return counts;
}

describe("selection by load", () => {
  it("selects nothing if there are no candidates", () => {
    const random = seededRandom(SEED);
    expect(routing.selectServer({ candidates: [], random })).to.equal(
      undefined,
    );
  });

  it("never selects the most loaded of three and balances the others", () => {
    const counts = countSelections(1000, {
      candidates: createCandidates([0, 0, 9]),
    });
    expect(counts["s2"]).to.equal(undefined);
    expect(counts["s0"]).to.be.within(400, 600);
  });

  it("measures load relative to the limit, with the reported queue", () => {
    const [a, b] = createCandidates([4, 3]);
    const large = { ...a!, limit: 100 };
    const busy = { ...b!, queued: 2 };
    expect(countSelections(20, { candidates: [large, busy] })).to.deep.equal({
      s0: 20,
    });
  });

  it("avoids the failure domains of earlier attempts if possible", () => {
    const all = createCandidates([0, 5, 5, 5]);
    const triedDomains = new Set(["d0"]);
    expect(countSelections(100, { candidates: all, triedDomains }))
      .to.not.have.property("s0");
    expect(countSelections(9, { candidates: [all[0]!], triedDomains }))
      .to.deep.equal({ s0: 9 });
  });
});

describe("selection by prefix", () => {
  const input = { candidates: createCandidates([2, 2, 2, 2]), prefixKey: "p" };

  it("selects the same server for the same prefix", () => {
    expect(Object.keys(countSelections(50, input))).to.have.length(1);
  });

  it("remaps only the keys of a removed server", () => {
    for (let key = 0; key < 200; key++) {
      const prefixKey = `p${key}`;
      const [before] = Object.keys(countSelections(1, { ...input, prefixKey }));
      const left = input.candidates.filter(({ server }) => server !== "s1");
      const [after] = Object.keys(
        countSelections(1, { candidates: left, prefixKey }),
      );
      if (before !== "s1") {
        expect(after).to.equal(before);
      }
    }
  });

  it("prefers servers that have cached the prefix", () => {
    for (const server of ["s0", "s1", "s2", "s3"]) {
      expect(
        countSelections(5, { ...input, serversWithPrefix: new Set([server]) }),
      )
        .to.deep.equal({ [server]: 5 });
    }
  });

  it("selects another server if the load is too far above average", () => {
    const [preferred] = Object.keys(countSelections(1, input));
    const loaded = input.candidates.map((one) => ({
      ...one,
      inFlight: one.server === preferred ? 6 : 2,
    }));
    const counts = countSelections(5, { ...input, candidates: loaded });
    expect(counts).to.not.have.property(preferred!);
    expect(Object.keys(counts)).to.have.length(1);
  });
});

describe("prefix hints", () => {
  it("disappear by expiry, eviction and removal of the server", () => {
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

  it("keep the four most recently confirmed servers", () => {
    const hints = new routing.PrefixHints();
    for (const server of ["s0", "s1", "s2", "s3", "s0", "s4"]) {
      hints.add("p", server, 0);
    }
    expect([...hints.serversWith("p", 0)])
      .to.deep.equal(["s2", "s3", "s0", "s4"]);
  });

  it("are limited in number", () => {
    const hints = new routing.PrefixHints();
    for (let i = 0; i <= routing.MAX_PREFIXES; i++) {
      hints.add(`p${i}`, "s0", i);
    }
    expect(hints.size).to.equal(routing.MAX_PREFIXES);
    expect(hints.serversWith("p0", 0).size).to.equal(0);
  });
});

describe("outlier detection", () => {
  const servers = createCandidates([0, 0, 0, 0, 0, 0]);

  function namesInService(
    detector: routing.OutlierDetector,
    now: number,
  ): string {
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

  it("ejects a server after consecutive failures for a limited time", () => {
    const detector = new routing.OutlierDetector();
    fail(detector, "s0", 0, routing.CONSECUTIVE_FAILURE_THRESHOLD - 1);
    detector.recordSuccess("s0");
    fail(detector, "s0", 0, routing.CONSECUTIVE_FAILURE_THRESHOLD - 1);
    expect(namesInService(detector, 0)).to.contain("s0");
    fail(detector, "s0", 0, 1);
    expect(namesInService(detector, 0)).to.equal("s1 s2 s3 s4 s5");
    expect(namesInService(detector, routing.BASE_EJECTION_MS)).to.contain("s0");
  });

  it("ejects a server for longer if it fails right after its return", () => {
    const detector = new routing.OutlierDetector();
    fail(detector, "s0", 0);
    fail(detector, "s0", routing.BASE_EJECTION_MS, 1);
    expect(namesInService(detector, 2.9 * routing.BASE_EJECTION_MS)).to.not
      .contain(
        "s0",
      );
    expect(namesInService(detector, 3 * routing.BASE_EJECTION_MS)).to.contain(
      "s0",
    );
  });

  it("keeps at least two thirds of the servers in service", () => {
    const detector = new routing.OutlierDetector();
    servers.forEach(({ server }, index) => fail(detector, server, index));
    expect(namesInService(detector, 10)).to.equal("s0 s1 s2 s3");
    expect(detector.withoutEjected(servers.slice(5), 10)).to.have.length(1);
  });
});
