/** A straight line through measured points. */
export interface Line {
  readonly slope: number;
  readonly base: number;
  /** Part of the variance that the line explains, from 0 to 1. */
  readonly fit: number;
}

/**
 * Fits a line by least squares.
 *
 * @example
 * ```ts
 * fitLine([[1, 3], [2, 5]]); // { slope: 2, base: 1, fit: 1 }
 * ```
 */
export function fitLine(points: readonly (readonly [number, number])[]): Line {
  const count = points.length;
  if (count < 2) throw new RangeError("a line needs two points");
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  let [covariance, varianceX, varianceY] = [0, 0, 0];
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    varianceX += (x - meanX) ** 2;
    varianceY += (y - meanY) ** 2;
  }
  if (varianceX === 0) throw new RangeError("all points have the same x");
  const slope = covariance / varianceX;
  const explained = varianceY === 0
    ? 1
    : covariance ** 2 / (varianceX * varianceY);
  return { slope, base: meanY - slope * meanX, fit: explained };
}
