/** Seeded arrival times for open-loop load. */

/** A random source in [0, 1). */
export type Random = () => number;

/**
 * Times in milliseconds of a Poisson process of `ratePerSecond` over
 * `durationMs`.
 *
 * @example
 * ```ts
 * const times = poisson(100, 5_000, seededRandom(1));
 * ```
 */
export function poisson(
  ratePerSecond: number,
  durationMs: number,
  random: Random,
): number[] {
  const times: number[] = [];
  const meanMs = 1_000 / ratePerSecond;
  let time = 0;
  while (true) {
    time -= Math.log(1 - random()) * meanMs;
    if (time >= durationMs) return times;
    times.push(time);
  }
}

/** Chooses an index with the probability of its weight. */
export function choose(weights: readonly number[], random: Random): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let rest = random() * total;
  for (const [index, weight] of weights.entries()) {
    rest -= weight;
    if (rest < 0) return index;
  }
  return weights.length - 1;
}

/** Weights of a Zipf distribution over `count` items. */
export function zipf(count: number, exponent = 1): number[] {
  return Array.from(
    { length: count },
    (_, index) => 1 / (index + 1) ** exponent,
  );
}
