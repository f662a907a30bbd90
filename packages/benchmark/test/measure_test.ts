import { expect } from "chai";
import { fakeBackend } from "@ebonypath/testing";
import * as figures from "../src/figures.ts";
import * as measure from "../src/measure/mod.ts";
import * as report from "../src/report/mod.ts";

const SEED = 7;

describe("measuring", () => {
  it("keeps percentiles within the digits asked for", () => {
    const latencies = new measure.Latencies();
    for (let ms = 1; ms <= 1_000; ms += 1) latencies.record(ms);
    const { count, p50, p99, max } = latencies.percentiles();
    expect(count).to.equal(1_000);
    expect(p50).to.be.closeTo(500, 1);
    expect(p99).to.be.closeTo(990, 1);
    expect(max).to.be.closeTo(1_000, 1);
  });

  it("gives the same arrivals for the same seed, at the rate", () => {
    const times = () =>
      measure.poisson(100, 100_000, fakeBackend.seededRandom(SEED));
    expect(times()).to.deep.equal(times());
    expect(times().length).to.be.closeTo(10_000, 400);
    expect(times()).to.deep.equal(times().sort((a, b) => a - b));
  });

  it("counts the wait of requests that a stall held back", async () => {
    const plan = [0, 1, 2].map((atMs) => ({ atMs, item: atMs }));
    const ended = await measure.openLoop(plan, (item) => {
      const end = performance.now() + (item === 0 ? 30 : 0);
      while (performance.now() < end);
      return Promise.resolve();
    });
    expect(ended.map(({ latencyMs }) => latencyMs > 25))
      .to.deep.equal([true, true, true]);
  });

  it("fits a line", () => {
    const line = measure.fitLine([[0, 1], [10, 21], [20, 41]]);
    expect(line).to.deep.equal({ slope: 2, base: 1, fit: 1 });
    expect(() => measure.fitLine([[1, 1], [1, 2]])).to.throw(RangeError);
  });

  it("reads the counters of a process", () => {
    expect(measure.parseMetric("ab 2\na 3\n", "a")).to.equal(3);
    expect(measure.parseIo("rchar: 5\nwchar: 7\nsyscr: 9\n")).to.equal(12);
  });

  it("prints figures in one line", () => {
    expect(figures.renderLine({ addedP99Ms: 1.23456, name: "a b" }))
      .to.equal("added_p99_ms=1.235 name=a_b");
  });

  it("draws a report without a browser", () => {
    const page = report.renderPage({
      name: "<x>",
      command: "bench",
      date: "today",
      figures: { a: 1 },
      charts: [{
        title: "T",
        kind: "line",
        x: "x",
        y: "y",
        series: [{ name: "s", points: [[1, 2], [2, 3]] }],
      }],
    });
    expect(page).to.include("<svg").and.include("&lt;x&gt;");
    expect(page).to.not.include("<script");
  });
});
