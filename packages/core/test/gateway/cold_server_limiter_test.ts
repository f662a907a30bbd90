import { expect } from "chai";
import {
  ColdServerLimiter,
  SuspensionDetector,
} from "../../src/gateway/mod.ts";

describe("gateway cold server limiter", () => {
  for (const count of [1, 5, 9, 40]) {
    it(`keeps the limit over ${count} hosts in any second`, () => {
      const names = Array.from({ length: count }, (_, at) => `h${at}`);
      const limits = names.map((name) => {
        const limit = new ColdServerLimiter();
        limit.setHosts(names, name);
        return limit;
      });
      const sent: number[] = [];
      for (let now = 0; now < 3_000; now += 10) {
        for (const limit of limits) {
          if (!limit.allows("s1", 12, now)) continue;
          limit.recordRequest("s1", now);
          sent.push(now);
        }
      }
      for (const from of sent) {
        const inSecond = sent.filter((at) => at >= from && at < from + 1_000);
        expect(inSecond.length).to.be.at.most(12);
      }
      expect(sent.length).to.be.at.least(30);
    });
  }
});

describe("gateway suspension detector", () => {
  it("distinguishes a suspension from time that passes", () => {
    const detector = new SuspensionDetector(1_000, 50_000);
    expect(detector.hasClockJumped(1_500, 50_501)).to.equal(false);
    expect(detector.hasClockJumped(1_600, 54_600)).to.equal(true);
    expect(detector.hasClockJumped(1_700, 54_700)).to.equal(false);
    expect(detector.hasClockJumped(1_800, 52_000)).to.equal(true);
  });
});
