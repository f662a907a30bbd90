import { ramp } from "@ebonypath/core";
import { expect } from "chai";
import { FleetSimulation, SERVER } from "../limits/fleet_simulation.ts";

const HOSTS = 9;
const ANNOUNCED = 32;

const NONE = { succeeded: 0, refused: 0, failed: 0, slow: 0 };

type Round = {
  outcomes: Partial<typeof NONE>;
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

describe("ramp-up of a backend server", () => {
  const cases: { name: string; announced: number; rounds: Round[] }[] = [
    {
      name: "doubles in a round while it is used to the full",
      announced: 16,
      rounds: [
        succeeded(2, 2, 0, 4),
        succeeded(4, 4, 100, 8),
        succeeded(8, 8, 200, 16),
        succeeded(16, 16, 300, 16),
      ],
    },
    {
      name: "does not grow on what was never tried out",
      announced: 16,
      rounds: [succeeded(500, 1, 0, 2), succeeded(500, 2, 100, 4)],
    },
    {
      name: "halves on a refusal, once for signs of one cause",
      announced: 16,
      rounds: [
        succeeded(14, 8, 0, 16),
        { outcomes: { refused: 1 }, running: 16, at: 100, limit: 8 },
        { outcomes: { refused: 9 }, running: 16, at: 200, limit: 8 },
        { outcomes: { failed: 1 }, running: 8, at: 1200, limit: 4 },
      ],
    },
    {
      name: "grows by one in a round after a decrease",
      announced: 16,
      rounds: [
        succeeded(14, 8, 0, 16),
        { outcomes: { failed: 1 }, running: 16, at: 100, limit: 8 },
        succeeded(8, 8, 200, 9),
        succeeded(9, 9, 300, 10),
      ],
    },
    {
      name: "shrinks on many slow answers, not on a few",
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
      name: "never exceeds what the server announces",
      announced: 1,
      rounds: [succeeded(9, 2, 0, 1)],
    },
  ];
  for (const { name, announced, rounds } of cases) {
    it(name, () => {
      const subject = new ramp.AdaptiveLimit({ announced });
      for (const { outcomes, running, at, limit } of rounds) {
        subject.observe({ outcomes: { ...NONE, ...outcomes }, running }, at);
        expect(subject.limit).to.equal(limit);
      }
    });
  }

  it("starts again when the server comes back or turns cold", () => {
    const subject = new ramp.AdaptiveLimit({ announced: 16, limit: 16 });
    expect(subject.isAtAnnounced).to.equal(true);
    subject.restart();
    expect(subject.limit).to.equal(ramp.INITIAL_LIMIT);
    const outcomes = { ...NONE, succeeded: 2 };
    subject.observe({ outcomes, running: 2 }, 0);
    expect(subject.limit).to.equal(4);
  });

  it("follows a smaller announcement at once", () => {
    const subject = new ramp.AdaptiveLimit({ announced: 16, limit: 16 });
    subject.setAnnounced(3);
    expect(subject.limit).to.equal(3);
    subject.setAnnounced(16);
    expect(subject.limit).to.equal(3);
  });

  it("bounds nine hosts that burst at once at a fresh server", () => {
    const limit = { rate: 1, burst: 1 };
    const subject = new ramp.AdaptiveLimit({ announced: ANNOUNCED });
    const fleet = new FleetSimulation(
      Array(HOSTS).fill(0),
      limit,
      subject.limit,
    );
    let inForce = subject.limit;
    let rounds = 0;
    for (; !subject.isAtAnnounced && rounds < 1000; rounds++) {
      fleet.hosts.forEach((_, index) => {
        fleet.setWaiting(index, 0, ANNOUNCED);
        fleet.exchange(index);
        for (let i = 0; i < ANNOUNCED; i++) {
          fleet.acquire(index, 1000);
        }
      });
      expect(fleet.running()).to.be.at.most(inForce);
      fleet.advance(100);
      fleet.hosts.forEach((host, index) => {
        while (host.running.length > 0) {
          fleet.release(index);
        }
        fleet.exchange(index);
      });
      const [seen] = fleet.leader.takeOutcomes();
      expect(seen!.server).to.equal(SERVER);
      subject.observe(seen!, fleet.time);
      inForce = subject.limit;
      fleet.setLimits(limit, inForce);
    }
    expect(subject.isAtAnnounced).to.equal(true);
    expect(rounds).to.be.at.most(12);
  });
});
