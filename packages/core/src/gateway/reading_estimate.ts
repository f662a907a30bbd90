/** What is known of a service before its first answer: a step of a model. */
const PRIOR_BASE_MS = 20;
/** Likewise, 20 tokens a millisecond: usual for a model on one accelerator. */
const PRIOR_MS_PER_TOKEN = 0.05;
/** Observations that the prior counts as; it yields within a few answers. */
const PRIOR_WEIGHT = 4;
/** Size of a prompt in tokens by which the prior is spread round its mean. */
const PRIOR_TOKENS = 1_000;
/** Weight of an observation after the next one: some 50 are remembered. */
const RETAINED = 0.98;
/** Multiple of the expected time as which anything slower counts. */
const MAX_STRETCH = 3;
/** Bounds of the estimates, which keep noise from turning them around. */
const MIN_BASE_MS = 1;
const MIN_MS_PER_TOKEN = 0.001;

/** Sums of a weighted linear regression of times over tokens. */
type Sums = { n: number; x: number; y: number; xx: number; xy: number };

/** What a server has to do before the first event of a request. */
export type Reading = {
  /** Prompt tokens to read: those before it, and its own. */
  readonly tokens: number;
  /** Requests in flight per slot. */
  readonly utilization: number;
};

/**
 * Learns from a host's own requests how long servers of a service take to the
 * first event: a base, which grows with the requests that run, and a time for
 * each prompt token to read. A server's pace, its time relative to the others,
 * is divided out by the caller.
 *
 * An answer much later than expected counts as three times the expected time, so
 * that one that stalled doesn't change the estimate for all.
 *
 * @example
 * ```ts
 * estimate.record({ tokens: 1_460, utilization: 0.1 }, 94);
 * estimate.expectedMs({ tokens: 400, utilization: 0 });
 * ```
 */
export class ReadingEstimate {
  readonly #sums = createPrior();
  #baseMs = PRIOR_BASE_MS;
  #msPerToken = PRIOR_MS_PER_TOKEN;

  /** Time to read a prompt token, in milliseconds. */
  get msPerToken(): number {
    return this.#msPerToken;
  }

  /** Expected time to the first event at a server of pace 1, in milliseconds. */
  expectedMs({ tokens, utilization }: Reading): number {
    return this.#baseMs * (1 + utilization) + this.#msPerToken * tokens;
  }

  /** Records a time to the first event, in milliseconds at pace 1. */
  record(reading: Reading, ms: number): void {
    const cappedMs = Math.min(ms, MAX_STRETCH * this.expectedMs(reading));
    const { tokens, utilization } = reading;
    const y = Math.max(0, cappedMs - this.#baseMs * utilization);
    const sums = this.#sums;
    const prior = createPrior();
    for (const key of ["n", "x", "y", "xx", "xy"] as const) {
      sums[key] = prior[key] + (sums[key] - prior[key]) * RETAINED;
    }
    sums.n += 1;
    sums.x += tokens;
    sums.y += y;
    sums.xx += tokens * tokens;
    sums.xy += tokens * y;
    this.#fit();
  }

  #fit(): void {
    const { n, x, xx, xy, y } = this.#sums;
    const slope = (n * xy - x * y) / (n * xx - x * x);
    this.#msPerToken = Math.max(MIN_MS_PER_TOKEN, slope);
    this.#baseMs = Math.max(MIN_BASE_MS, (y - this.#msPerToken * x) / n);
  }
}

/** Observations of an empty prompt and of one of twice the usual size. */
function createPrior(): Sums {
  const half = PRIOR_WEIGHT / 2;
  const tokens = 2 * PRIOR_TOKENS;
  const ms = PRIOR_BASE_MS + PRIOR_MS_PER_TOKEN * tokens;
  return {
    n: PRIOR_WEIGHT,
    x: half * tokens,
    y: half * (PRIOR_BASE_MS + ms),
    xx: half * tokens * tokens,
    xy: half * tokens * ms,
  };
}
