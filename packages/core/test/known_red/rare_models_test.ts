import { expect } from "chai";
import * as archiveFleet from "../gateway/archive_fleet.ts";

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const ARCHIVE: archiveFleet.Archive = {
  servers: 18,
  popular: 10,
  popularPerSecond: 1.3,
  rare: 76,
  rarePerSecond: 0.06,
  storeConcurrency: 12,
  shiftsAt: Infinity,
  untilMs: 48_000,
};
/** Requests, and the time over which they come, from which a model counts. */
const MIN_REQUESTS = 4;
const MIN_SPAN_MS = 8_000;
/** Models that may be left without service: one, and a tenth of all. */
const NEVER_SERVED = 1;
const NEVER_SERVED_SHARE = 0.1;

function play(
  seed: number,
  overrides: Partial<archiveFleet.Archive> = {},
): archiveFleet.ModelOutcome[] {
  const fleet = new archiveFleet.ArchiveFleet(
    { ...ARCHIVE, ...overrides },
    seed,
  );
  fleet.play();
  return [...fleet.outcomes.values()];
}

function isAskedForAlways(
  { requestedAt }: archiveFleet.ModelOutcome,
): boolean {
  const spanMs = (requestedAt.at(-1) ?? 0) - (requestedAt[0] ?? 0);
  return requestedAt.length >= MIN_REQUESTS && spanMs >= MIN_SPAN_MS;
}

describe("rare models that are only in the weight store", () => {
  for (const seed of SEEDS) {
    it(`are served while the store has places, seed ${seed}`, () => {
      const asked = play(seed).filter(isAskedForAlways);
      const never = asked.filter(({ servedAt }) => servedAt.length === 0);
      expect(never.length).to.be.at.most(
        NEVER_SERVED + NEVER_SERVED_SHARE * asked.length,
      );
    });
  }
});
