import { expect } from "chai";
import * as gateway from "../../src/gateway/mod.ts";

/** Prompt tokens that a server reads of each prompt between two steps. */
const PIECE_TOKENS = 512;
const TOKENS_PER_MS = 20;
const STEP_MS = 10;
const EVENTS = 17;
const SLOTS = 24;
const TICK_MS = 5;
/** Prompts of more tokens go to the server that a fixed split sets aside. */
const SPLIT_TOKENS = 2_000;

class Prompt {
  left: number;
  firstMs = Infinity;
  longestPauseMs = 0;
  events = 0;
  sent: { at: number; tokens: number; utilization: number } | undefined;

  constructor(
    readonly id: string,
    readonly tokens: number,
    readonly objectiveMs: number,
    readonly priority: number,
    readonly arrivedAt: number,
  ) {
    this.left = tokens;
  }
}

/** Reads a piece of each of its prompts between the steps of what runs. */
class Server {
  prompts: Prompt[] = [];
  #stepEndsAt = 0;

  constructor(readonly id: string) {}

  get aheadTokens(): number {
    return this.prompts.reduce((sum, { left }) => sum + left, 0);
  }

  get utilization(): number {
    return this.prompts.length / SLOTS;
  }

  advance(now: number): void {
    this.#stepEndsAt = Math.max(this.#stepEndsAt, now - TICK_MS);
    while (this.prompts.length > 0 && this.#stepEndsAt < now) this.#step();
  }

  #step(): void {
    const pieces = this.prompts.map(({ left }) => Math.min(left, PIECE_TOKENS));
    const total = pieces.reduce((sum, piece) => sum + piece, 0);
    const stepMs = STEP_MS + total / TOKENS_PER_MS;
    this.#stepEndsAt += stepMs;
    this.prompts.forEach((prompt, index) => {
      prompt.left -= pieces[index] ?? 0;
      if (prompt.left > 0) return;
      if (prompt.events === 0) {
        prompt.firstMs = this.#stepEndsAt - prompt.arrivedAt;
      } else prompt.longestPauseMs = Math.max(prompt.longestPauseMs, stepMs);
      prompt.events += 1;
    });
    this.prompts = this.prompts.filter(({ events }) => events < EVENTS);
  }
}

/** Chooses a server for a prompt, or lets it wait. */
type Rule = {
  order(queue: readonly Prompt[], now: number): readonly Prompt[];
  choose(
    prompt: Prompt,
    servers: readonly Server[],
    now: number,
  ): Server | undefined;
  onFirstEvent?(prompt: Prompt): void;
};

const today: Rule = {
  order: (queue) =>
    queue.toSorted((one, other) => one.priority - other.priority),
  choose: ({ id }, servers) => gateway.selectBalanced(servers, id, 0.15),
};

const fixedSplit: Rule = {
  ...today,
  choose: (prompt, servers, now) =>
    today.choose(
      prompt,
      prompt.tokens > SPLIT_TOKENS ? servers.slice(0, 1) : servers.slice(1),
      now,
    ),
};

const shortestFirst: Rule = {
  order: (queue) => queue.toSorted((one, other) => one.tokens - other.tokens),
  choose: (_prompt, servers) =>
    servers.find(({ aheadTokens }) => aheadTokens === 0),
};

/** @param stretch by which estimates are wrong */
function byBudget(stretch = 1): Rule {
  const estimate = new gateway.ReadingEstimate();
  const random = createRandom(3);
  return {
    order: (queue, now) =>
      gateway.orderWaiting(queue, (prompt) => ({
        ...prompt,
        queueDeadline: prompt.arrivedAt + 30_000,
        expectedMs: estimate.expectedMs({ ...prompt, utilization: 0 }),
      }), now),
    choose: ({ arrivedAt, objectiveMs, tokens }, servers, now) => {
      const request = {
        key: undefined,
        promptTokens: tokens,
        sharedTokens: 0,
        objectiveMs,
      };
      const offers = servers.map((server) => ({
        id: server.id,
        server,
        utilization: server.utilization,
        aheadTokens: server.aheadTokens,
        pace: stretch,
        isFar: false,
      }));
      const offer = gateway.chooseServer(offers, request, estimate, random);
      if (offer === undefined) return undefined;
      const isHeld = gateway.shouldHold({
        offer,
        request,
        shortestObjectiveMs: 500,
        waitedMs: now - arrivedAt,
      }, estimate);
      return isHeld ? undefined : offer.server;
    },
    onFirstEvent: ({ arrivedAt, firstMs, sent }) => {
      if (sent === undefined) return;
      estimate.record(sent, arrivedAt + firstMs - sent.at);
    },
  };
}

/** Numbers in [0, 1), the same in each run. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

const SHORT_PER_SECOND = 30;
const LONG_PER_SECOND = 2.5;
const BURST_AT_MS = 20_000;
const BURST_PROMPTS = 24;

/** Plays 60 s of prompts at four servers. */
function play(rule: Rule, hasBurst = false) {
  const servers = ["a", "b", "c", "d"].map((id) => new Server(id));
  const random = createRandom(7);
  const prompts: Prompt[] = [];
  let queue: Prompt[] = [];
  const addShort = (now: number) =>
    queue.push(new Prompt(`short ${now}`, 600, 500, 1, now));
  const addLong = (now: number) =>
    queue.push(new Prompt(`long ${now} ${random()}`, 8_000, 8_000, 3, now));
  for (let now = 0; now < 60_000; now += TICK_MS) {
    const perTick = TICK_MS / 1_000;
    if (random() < SHORT_PER_SECOND * perTick) addShort(now);
    if (random() < LONG_PER_SECOND * perTick) addLong(now);
    if (hasBurst && now === BURST_AT_MS) {
      for (let one = 0; one < BURST_PROMPTS; one += 1) {
        addLong(now);
      }
    }
    const waiting: Prompt[] = [];
    for (const prompt of rule.order(queue, now)) {
      const server = rule.choose(prompt, servers, now);
      if (server === undefined || server.prompts.length >= SLOTS) {
        waiting.push(prompt);
        continue;
      }
      const { utilization } = server;
      const tokens = server.aheadTokens + prompt.tokens;
      prompt.sent = { at: now, tokens, utilization };
      server.prompts.push(prompt);
      prompts.push(prompt);
    }
    queue = waiting;
    for (const server of servers) {
      const before = server.prompts.filter(({ events }) => events === 0);
      server.advance(now + TICK_MS);
      for (const prompt of before) {
        if (prompt.events > 0) rule.onFirstEvent?.(prompt);
      }
    }
  }
  const all = [...prompts, ...queue].filter(({ arrivedAt }) =>
    arrivedAt < 50_000
  );
  const shorts = all.filter(({ priority }) => priority === 1);
  const longs = all.filter(({ priority }) => priority === 3);
  return {
    shortLate: lateShare(shorts),
    shortFirst95: percentile(shorts.map(({ firstMs }) => firstMs), 0.95),
    shortPause95: percentile(
      shorts.map(({ longestPauseMs }) => longestPauseMs),
      0.95,
    ),
    longLate: lateShare(longs),
    longFirst95: percentile(longs.map(({ firstMs }) => firstMs), 0.95),
  };
}

function lateShare(prompts: readonly Prompt[]): number {
  return prompts.filter(({ firstMs, objectiveMs }) => firstMs > objectiveMs)
    .length / prompts.length;
}

function percentile(values: readonly number[], part: number): number {
  const sorted = values.toSorted((one, other) => one - other);
  return Math.round(sorted[Math.floor(part * sorted.length)] ?? NaN);
}

describe("long prompts beside short ones", () => {
  it("delays first events and pauses of short ones less than counts a slot", () => {
    const before = play(today);
    const after = play(byBudget());
    expect(after.shortFirst95).to.be.below(before.shortFirst95);
    expect(after.shortPause95).to.be.below(before.shortPause95);
    expect(after.longFirst95).to.be.below(before.longFirst95);
  });

  it("makes less than half as many short ones late in a burst of long ones", () => {
    const before = play(today, true);
    const after = play(byBudget(), true);
    expect(after.shortLate).to.be.below(before.shortLate / 2);
    expect(after.longLate).to.equal(0);
  });

  it("serves long ones sooner than a server set aside for them", () => {
    expect(play(byBudget()).longFirst95)
      .to.be.below(play(fixedSplit).longFirst95 / 2);
    expect(play(fixedSplit, true).longLate).to.be.above(0.5);
  });

  it("serves short ones about as well as the shortest first, long ones sooner", () => {
    const shortest = play(shortestFirst, true);
    const after = play(byBudget(), true);
    expect(after.shortLate).to.be.below(shortest.shortLate + 0.01);
    expect(after.longFirst95).to.be.below(shortest.longFirst95);
  });

  for (const stretch of [1 / 3, 3]) {
    it(`is better than counts a slot with estimates wrong by ${stretch}`, () => {
      const before = play(today, true);
      const after = play(byBudget(stretch), true);
      expect(after.shortLate).to.be.below(before.shortLate);
      expect(after.longLate).to.equal(0);
    });
  }
});
