import { expect } from "chai";
import fastCheck from "fast-check";
import * as random from "../random.ts";
import * as fleetSimulation from "./fleet_simulation.ts";

/** Time after the fifth crash in which all hosts learn of it, in milliseconds. */
const CONTACT_MS = 3_000;
/** Most requests with a crashing part that may be sent later. */
const MAX_LATE_REQUESTS = 3;
const RUNS = 12;
const CRASHING_SUBJECT = "prompt-part notice-1-7";
const CRASHING_FIRST_PART = "prompt-part notice-0-1";

const SMALL_FLEET = {
  hosts: 9,
  servers: 9,
  slots: 64,
  kinds: [
    {
      name: "notice",
      perSecond: 9,
      parts: [3, 34],
      models: 3,
      shortestMs: 300,
      meanMs: 900,
    },
    {
      name: "crew",
      perSecond: 6,
      parts: [3, 20],
      models: 3,
      shortestMs: 200,
      meanMs: 500,
    },
    {
      name: "recon",
      perSecond: 2,
      parts: [1, 2],
      models: 45,
      shortestMs: 300,
      meanMs: 900,
    },
  ],
  crashing: [CRASHING_SUBJECT],
  crashingPerSecond: 2,
  otherCrashesPerSecond: 0,
  outagesAt: [],
  leadersLostAt: [],
  lengthMs: 30_000,
};

type DayOptions = Partial<Omit<fleetSimulation.Day, "random">>;

/** Runs days of several seeds. */
function forEachDay(
  options: DayOptions,
  check: (day: fleetSimulation.FleetSimulation) => void,
): void {
  fastCheck.assert(
    fastCheck.property(fastCheck.integer({ min: 1 }), (seed) => {
      const day = {
        ...SMALL_FLEET,
        ...options,
        random: random.seededRandom(seed),
      };
      check(new fleetSimulation.FleetSimulation(day).run());
    }),
    { numRuns: RUNS, endOnFailure: true },
  );
}

function lateRequests(
  { crashesAt, sentAt }: fleetSimulation.FleetSimulation,
  cause: string,
): number {
  const fifth = crashesAt.get(cause)?.[4] ?? Infinity;
  return (sentAt.get(cause) ?? []).filter((at) => at > fifth + CONTACT_MS)
    .length;
}

function soundShare(
  { outcomes }: fleetSimulation.FleetSimulation,
): number {
  const sound = outcomes.filter(({ request }) =>
    request.cause === undefined && request.arrivedAt > 12_000
  );
  return sound.filter(({ kind }) => kind === "served").length / sound.length;
}

describe("requests of a simulated fleet that share a crashing part", function () {
  this.timeout(60_000);
  const cases: readonly (readonly [string, DayOptions])[] = [
    ["a subject", {}],
    ["a part that a third of all requests has", {
      crashing: [CRASHING_FIRST_PART],
    }],
    ["a subject of one request in two seconds", { crashingPerSecond: 0.5 }],
    ["a subject of five requests a second", { crashingPerSecond: 5 }],
    ["a subject, while each leader is lost", {
      leadersLostAt: [3_000, 6_000, 9_000, 12_000],
    }],
    ["a subject, before servers of 16 slots", { slots: 16 }],
    ["the narrowest of parts that only come together, in a burst", {
      kinds: [
        {
          name: "solo",
          perSecond: 0,
          parts: [1, 1],
          models: 3,
          shortestMs: 300,
          meanMs: 900,
        },
        ...SMALL_FLEET.kinds,
      ],
      crashing: ["prompt-part solo-1-0"],
      crashingPerSecond: 8,
    }],
  ];
  for (const [name, options] of cases) {
    it(`are found by ${name}, and no sound part is condemned`, () => {
      const { crashing } = { ...SMALL_FLEET, ...options };
      forEachDay(options, (day) => {
        expect(new Set(day.quarantined)).to.deep.equal(new Set(crashing));
        expect(lateRequests(day, crashing[0]!))
          .to.be.at.most(MAX_LATE_REQUESTS);
        expect(soundShare(day)).to.be.above(0.95);
      });
    });
  }

  it("are not assumed where servers end for other reasons", () => {
    const options = {
      crashing: [],
      otherCrashesPerSecond: 0.3,
      outagesAt: [9_000, 15_000],
    };
    forEachDay(options, (day) => expect(day.quarantined).to.deep.equal([]));
  });
});
