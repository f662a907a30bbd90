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
describe("rare models that are only in the weight store", () => {
  for (const seed of SEEDS) {
    it(`are served while the store has places, seed ${seed}`, () => {
      const { asked, never } = archiveFleet.countNeverServed(ARCHIVE, seed);
      expect(never).to.be.at.most(archiveFleet.mayBeNeverServed(asked));
    });
  }
});
