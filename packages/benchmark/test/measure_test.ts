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
    expect(ended.map(({ lateMs }) => lateMs > 25))
      .to.deep.equal([false, true, true]);
  });

  it("fits a line", () => {
    const line = measure.fitLine([[0, 1], [10, 21], [20, 41]]);
    expect(line).to.deep.equal({ slope: 2, base: 1, fit: 1 });
    expect(() => measure.fitLine([[1, 1], [1, 2]])).to.throw(RangeError);
  });

  it("reads the processor time and the collections of a host", () => {
    const text = "process_cpu_seconds_total 2\n" +
      'nodejs_gc_duration_seconds_sum{kind="minor"} 0.5\n' +
      'nodejs_gc_duration_seconds_count{kind="minor"} 9\n' +
      'nodejs_gc_duration_seconds_sum{kind="major"} 0.25\n';
    expect(measure.parseWork(text))
      .to.deep.equal({ cpuMs: 2_000, collectionMs: 750 });
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

describe("limits in measurements", () => {
  const limit = { rate: 10, burst: 20 };

  it("finds tokens taken beyond burst and rate in any window", () => {
    const taken = [0, 0, 1_000].map((atMs) => ({ atMs, tokens: 10 }));
    expect(measure.overUse(taken, limit)).to.equal(0);
    expect(measure.overUse([...taken, { atMs: 1_000, tokens: 7 }], limit))
      .to.equal(7);
  });

  it("lets requests wait for their tokens no longer than told", () => {
    const bucket = new measure.Bucket(10, 20, 1_000);
    const waits = [20, 5, 5, 1].map((tokens) => bucket.take(0, tokens));
    expect(waits).to.deep.equal([0, 500, 1_000, null]);
  });

  it("starts loads of an ideal store at its rate and concurrency", () => {
    const store = new measure.IdealStore(2_000);
    const waits = [1, 2, 3, 4, 5].map(() => store.load(0));
    expect(waits).to.deep.equal([2_000, 2_250, 2_500, 2_750, 4_000]);
  });
});
