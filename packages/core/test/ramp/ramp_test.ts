import { ramp } from "@ebonypath/core";
import { expect } from "chai";
import { Fleet, SERVER } from "../limits/fleet.ts";

const HOST_COUNT = 9;
const ANNOUNCED = 32;

const NO_OUTCOMES = { succeeded: 0, refused: 0, failed: 0, slow: 0 };

type Round = {
  outcomes: Partial<typeof NO_OUTCOMES>;
  running: number;
  at: number;
  limit: number;
};

const succeeded = (
  count: number,
  running: number,
  at: number,
  limit: number,
) => ({
  outcomes: { succeeded: count },
  running,
  at,
  limit,
});

describe("concurrency limit of a backend server", () => {
  const cases: { name: string; announced: number; rounds: Round[] }[] = [
    {
      name: "doubles per round in slow start while it is fully used",
      announced: 16,
      rounds: [
        succeeded(2, 2, 0, 4),
        succeeded(4, 4, 100, 8),
        succeeded(8, 8, 200, 16),
        succeeded(16, 16, 300, 16),
      ],
    },
    {
      name: "does not exceed twice the observed concurrency",
      announced: 16,
      rounds: [succeeded(500, 1, 0, 2), succeeded(500, 2, 100, 4)],
    },
    {
      name: "halves on refusals and failures, at most once per second",
      announced: 16,
      rounds: [
        succeeded(14, 8, 0, 16),
        { outcomes: { refused: 1 }, running: 16, at: 100, limit: 8 },
        { outcomes: { refused: 9 }, running: 16, at: 200, limit: 8 },
        { outcomes: { failed: 1 }, running: 8, at: 1200, limit: 4 },
      ],
    },
    {
      name: "grows by one per round after a decrease",
      announced: 16,
      rounds: [
        succeeded(14, 8, 0, 16),
        { outcomes: { failed: 1 }, running: 16, at: 100, limit: 8 },
        succeeded(8, 8, 200, 9),
        succeeded(9, 9, 300, 10),
      ],
    },
    {
      name: "halves on many slow responses, not on a few",
      announced: 8,
      rounds: [
        succeeded(6, 4, 0, 8),
        { outcomes: { succeeded: 9, slow: 1 }, running: 8, at: 100, limit: 8 },
        { outcomes: { succeeded: 6, slow: 4 }, running: 8, at: 200, limit: 4 },
      ],
    },
    {
      name: "never falls below one",
      announced: 8,
      rounds: [0, 1, 2, 3].map((second) => ({
        outcomes: { failed: 3 },
        running: 1,
        at: second * 1000,
        limit: 1,
      })),
    },
    {
      name: "never exceeds the announced limit",
      announced: 1,
      rounds: [succeeded(9, 2, 0, 1)],
    },
  ];
  for (const { name, announced, rounds } of cases) {
    it(name, () => {
      const subject = new ramp.AdaptiveLimit({ announced });
      for (const { outcomes, running, at, limit } of rounds) {
        subject.observe(
          { outcomes: { ...NO_OUTCOMES, ...outcomes }, running },
          at,
        );
        expect(subject.limit).to.equal(limit);
      }
    });
  }

  it("restarts slow start when the server is back or lost its models", () => {
    const subject = new ramp.AdaptiveLimit({ announced: 16, limit: 16 });
    expect(subject.isAtAnnouncedLimit).to.equal(true);
    subject.restart();
    expect(subject.limit).to.equal(ramp.INITIAL_LIMIT);
    const outcomes = { ...NO_OUTCOMES, succeeded: 2 };
    subject.observe({ outcomes, running: 2 }, 0);
    expect(subject.limit).to.equal(4);
  });

  it("applies a lower announced limit at once", () => {
    const subject = new ramp.AdaptiveLimit({ announced: 16, limit: 16 });
    subject.setAnnounced(3);
    expect(subject.limit).to.equal(3);
    subject.setAnnounced(16);
    expect(subject.limit).to.equal(3);
  });

  it("bounds concurrent bursts of nine hosts to a new server", () => {
    const limit = { rate: 1, burst: 1 };
    const subject = new ramp.AdaptiveLimit({ announced: ANNOUNCED });
    const fleet = new Fleet(Array(HOST_COUNT).fill(0), limit, subject.limit);
    let currentLimit = subject.limit;
    let rounds = 0;
    for (; !subject.isAtAnnouncedLimit && rounds < 1000; rounds++) {
      fleet.hosts.forEach((_, index) => {
        fleet.want(index, 0, ANNOUNCED);
        fleet.exchange(index);
        for (let i = 0; i < ANNOUNCED; i++) {
          fleet.acquire(index, 1000);
        }
      });
      expect(fleet.running()).to.be.at.most(currentLimit);
      fleet.advance(100);
      fleet.hosts.forEach((host, index) => {
        while (host.running.length > 0) {
          fleet.release(index);
        }
        fleet.exchange(index);
      });
      const [observed] = fleet.leader.takeOutcomes();
      expect(observed!.server).to.equal(SERVER);
      subject.observe(observed!, fleet.time);
      currentLimit = subject.limit;
      fleet.setLimits(limit, currentLimit);
    }
    expect(subject.isAtAnnouncedLimit).to.equal(true);
    expect(rounds).to.be.at.most(12);
  });
});
