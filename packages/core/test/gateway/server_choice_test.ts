import { expect } from "chai";
import {
  type ChoiceRequest,
  chooseServer,
  ReadingEstimate,
  selectBalanced,
  type ServerOffer,
  shouldHold,
} from "../../src/gateway/mod.ts";

const REQUEST: ChoiceRequest = {
  key: undefined,
  promptTokens: 1_000,
  sharedTokens: 0,
  objectiveMs: 500,
};

function offer(id: string, overrides: Partial<ServerOffer> = {}): ServerOffer {
  const usual = { utilization: 0, aheadTokens: 0, pace: 1, isFar: false };
  return { id, ...usual, ...overrides };
}

/** Numbers in [0, 1), the same in each run. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Part of 400 choices that fall on each server. */
function shares(
  offers: readonly ServerOffer[],
  request: ChoiceRequest = REQUEST,
): Record<string, number> {
  const estimate = new ReadingEstimate();
  const random = createRandom(1);
  const counts: Record<string, number> = {};
  for (let choice = 0; choice < 400; choice += 1) {
    const id = chooseServer(offers, request, estimate, random)?.id ?? "none";
    counts[id] = (counts[id] ?? 0) + 1 / 400;
  }
  return counts;
}

describe("choice of a server of models", () => {
  it("spreads requests over servers that are about equal", () => {
    const counts = shares(["a", "b", "c", "d"].map((id) => offer(id)));
    expect(Math.max(...Object.values(counts))).to.be.below(0.35);
    expect(Object.keys(counts)).to.have.lengthOf(4);
  });

  it("prefers a faster server until it has more to read", () => {
    const slow = offer("slow", { pace: 1.6 });
    const counts = shares([offer("fast", { pace: 0.6 }), slow]);
    expect(counts["fast"]).to.be.above(0.85);
    const busy = offer("fast", { pace: 0.6, aheadTokens: 6_000 });
    expect(shares([busy, slow])["slow"]).to.be.above(0.4);
  });

  it("stays in the own failure domain while that costs little of the objective", () => {
    const near = offer("near", { aheadTokens: 800 });
    const far = offer("far", { isFar: true });
    expect(Object.keys(shares([near, far]))).to.deep.equal(["near"]);
    const busy = offer("near", { aheadTokens: 4_000 });
    expect(shares([busy, far])["far"]).to.be.above(0.7);
  });

  it("sends prompts with the same parts to one server while none is loaded", () => {
    const offers = ["a", "b", "c", "d"].map((id) => offer(id));
    const request = { ...REQUEST, key: "m 5c", sharedTokens: 600 };
    expect(Object.keys(shares(offers, request))).to.have.lengthOf(1);
  });
});

describe("holding a patient request back", () => {
  const estimate = new ReadingEstimate();
  const patient = { ...REQUEST, promptTokens: 4_000, objectiveMs: 8_000 };
  const busy = offer("a", { aheadTokens: 1_500 });
  const input = { shortestObjectiveMs: 500, waitedMs: 0 };

  it("waits while prompts before it use up the budget", () => {
    expect(shouldHold({ ...input, offer: busy, request: patient }, estimate))
      .to.equal(true);
  });

  it("doesn't wait for a quarter of its objective or longer", () => {
    const late = { ...input, offer: busy, request: patient, waitedMs: 2_000 };
    expect(shouldHold(late, estimate)).to.equal(false);
  });

  it("doesn't wait for a server that reads nothing, however long it is", () => {
    const request = { ...patient, promptTokens: 90_000 };
    expect(shouldHold({ ...input, offer: offer("a"), request }, estimate))
      .to.equal(false);
  });

  it("doesn't hold back a request of the shortest objective", () => {
    const request = { ...patient, objectiveMs: 500 };
    expect(shouldHold({ ...input, offer: busy, request }, estimate))
      .to.equal(false);
  });
});

type Server = { readonly id: string; readonly speed: number; freeAt: number };
type Sent = {
  readonly server: Server;
  readonly at: number;
  readonly doneAt: number;
};

/** Decides by what hosts know of the servers. */
type Rule = (offers: readonly ServerOffer[], key: string) => string | undefined;

const today: Rule = (offers, key) => selectBalanced(offers, key, 0.15)?.id;

function byCapacity(): Rule {
  const estimate = new ReadingEstimate();
  const random = createRandom(3);
  return (offers, key) =>
    chooseServer(offers, { ...REQUEST, key }, estimate, random)?.id;
}

/**
 * Sends prompts of 1,000 tokens to nine servers that read them one after the
 * other, by views of a given age; returns the part later than the objective.
 */
function lateShare(
  rule: Rule,
  viewAgeMs: number,
  arePacesKnown = true,
): number {
  const servers: Server[] = [0.6, 1, 1.6].flatMap((speed) =>
    [0, 1, 2].map((number) => ({ id: `${speed}-${number}`, speed, freeAt: 0 }))
  );
  const random = createRandom(7);
  const sent: Sent[] = [];
  let late = 0;
  const requests = 1_500;
  let now = 0;
  for (let number = 0; number < requests; number += 1) {
    now += -Math.log(1 - random()) * 11;
    // The view is renewed once an interval, for all servers.
    const seenAt = viewAgeMs === 0
      ? now
      : viewAgeMs === Infinity
      ? 0
      : now - now % viewAgeMs;
    const known = sent.filter(({ at, doneAt }) =>
      at < seenAt && doneAt > seenAt
    );
    const offers = servers.map(({ id, speed }) => {
      const running = known.filter(({ server }) => server.id === id).length;
      const pace = arePacesKnown ? 1 / speed : 1;
      const readTokens = (now - seenAt) / 0.05 / pace;
      const aheadTokens = Math.max(0, running * 1_000 - readTokens);
      return offer(id, { utilization: running / 24, aheadTokens, pace });
    });
    const id = rule(offers, `key ${number}`);
    const server = servers.find((one) => one.id === id) as Server;
    const doneAt = Math.max(now, server.freeAt) + 70 / server.speed;
    server.freeAt = doneAt;
    sent.push({ server, at: now, doneAt });
    if (doneAt - now > REQUEST.objectiveMs) late += 1;
  }
  return late / requests;
}

describe("servers of speed 0.6, 1 and 1.6", () => {
  for (const ageMs of [0, 250, 1_000, 2_000]) {
    it(`makes fewer requests late than counts a slot, by reports ${ageMs} ms old`, () => {
      const before = lateShare(today, ageMs);
      const after = lateShare(byCapacity(), ageMs);
      if (process.env["FIGURES"]) {
        console.log({
          ageMs,
          before,
          after,
          fresh: lateShare(byCapacity(), 0),
        });
      }
      expect(after).to.be.below(before / 2 + 0.001);
    });
  }

  it("does no worse than counts a slot where no pace is known", () => {
    const before = lateShare(today, 1_000);
    expect(lateShare(byCapacity(), 1_000, false)).to.be.below(before);
  });

  it("does no worse than counts a slot at hosts that hear of no others", () => {
    // The view of the start is never renewed: all servers look idle and alike.
    const before = lateShare(today, Infinity);
    const after = lateShare(byCapacity(), Infinity, false);
    if (process.env["FIGURES"]) console.log({ lost: { before, after } });
    expect(after).to.be.at.most(before);
  });
});
