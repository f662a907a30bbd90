import * as hdr from "hdr-histogram-js";

/** Longest latency that is told apart, in microseconds (two minutes). */
const HIGHEST_US = 120_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Percentiles in milliseconds. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Latencies of one kind of request. */
export class Latencies {
  readonly #histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  get count(): number {
    return this.#histogram.totalCount;
  }

  /** Records a latency in milliseconds. */
  record(ms: number): void {
    const us = Math.round(ms * 1_000);
    this.#histogram.recordValue(Math.min(Math.max(us, 1), HIGHEST_US));
  }

  /** The latency in milliseconds that `percent` of the requests reach. */
  at(percent: number): number {
    return this.#histogram.getValueAtPercentile(percent) / 1_000;
  }

  percentiles(): Percentiles {
    return {
      count: this.count,
      p50: this.at(50),
      p99: this.at(99),
      p999: this.at(99.9),
      max: this.at(100),
    };
  }

  /** Points of the distribution, as percent and milliseconds. */
  curve(): [number, number][] {
    const percents = [1, 5, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 100];
    return percents.map((percent) => [percent, this.at(percent)]);
  }
}
