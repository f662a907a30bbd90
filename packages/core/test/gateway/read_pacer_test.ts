import { expect } from "chai";
import { ReadPacer } from "../../src/gateway/mod.ts";

const READ = { chunks: 10_900, tookMs: 12 };

/** Time for which connections are read in ten seconds, in milliseconds. */
function busyMs(connections: number, read: typeof READ): number {
  const pacer = new ReadPacer();
  const readableAt = Array.from({ length: connections }, () => 0);
  let now = 0;
  let busy = 0;
  while (now < 10_000) {
    const next = readableAt.indexOf(Math.min(...readableAt));
    now = Math.max(now, readableAt[next]!) + read.tookMs;
    busy += read.tookMs;
    readableAt[next] = now + pacer.delayMs(read, now);
  }
  return busy;
}

describe("reads of responses in small chunks", () => {
  // They took all of the event loop's time, and other callers waited for seconds.
  for (const connections of [1, 40, 200]) {
    it(`leave most of the time to others, of ${connections} connections`, () => {
      // Each connection is read once before the first delay is over.
      const first = connections * READ.tookMs;
      expect(busyMs(connections, READ)).to.be.within(2_000, 2_600 + first);
    });
  }

  it("take turns", () => {
    const pacer = new ReadPacer();
    const delays = [1, 2, 3].map(() => pacer.delayMs(READ, 1_000));
    expect(delays).to.deep.equal([36, 84, 132]);
    expect(pacer.delayMs(READ, 60_000)).to.equal(36);
  });

  it("don't wait after a suspension as if it had been spent on them", () => {
    const read = { ...READ, tookMs: 6_500 };
    expect(new ReadPacer().delayMs(read, 10_000)).to.equal(150);
  });
});

describe("reads of other responses", () => {
  it("are not delayed, whatever those in small chunks take", () => {
    const pacer = new ReadPacer();
    for (let read = 0; read < 100; read += 1) pacer.delayMs(READ, 0);
    expect(pacer.delayMs({ chunks: 64, tookMs: 12 }, 0)).to.equal(0);
  });
});
