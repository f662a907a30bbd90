import { expect } from "chai";
import * as archiveFleet from "./archive_fleet.ts";

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
/** A store that half of the servers may load from at full speed. */
const ARCHIVE: archiveFleet.Archive = {
  servers: 18,
  popular: 10,
  popularPerSecond: 1.3,
  rare: 48,
  rarePerSecond: 0.095,
  storeConcurrency: 9,
  shiftsAt: Infinity,
  untilMs: 48_000,
};

/** Each caller is served when it comes back, if not at its first request. */
const MIN_SERVED_SHARE = 1 / 2;

describe("rare models, while half of the servers may load them", () => {
  for (const seed of SEEDS) {
    it(`are hardly ever without any service, seed ${seed}`, () => {
      const { asked, never } = archiveFleet.countNeverServed(ARCHIVE, seed);
      expect(never).to.be.at.most(archiveFleet.mayBeNeverServed(asked));
    });
  }

  for (const seed of SEEDS.slice(0, 3)) {
    it(`leave disks to demand that moves there, seed ${seed}`, () => {
      const archive = { ...ARCHIVE, shiftsAt: 24_000 };
      expect(archiveFleet.shareServedAfterShift(archive, seed))
        .to.be.at.least(MIN_SERVED_SHARE);
    });
  }
});
