/** A straight line through measured points. */
interface LinearFit {
  readonly intercept: number;
  readonly slope: number;
  /** Largest vertical distance of a point from the line, as a fraction of the largest value. */
  readonly errorShare: number;
}

/**
 * Fits a line by least squares.
 *
 * @param points - pairs of size and figure; at least two different sizes
 * @returns the line and its error
 */
export function linearFit(points: readonly (readonly [number, number])[]): LinearFit {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const distances = points.map(([x, y]) => Math.abs(y - intercept - slope * x));
  const largest = Math.max(...points.map(([, y]) => Math.abs(y)), Number.MIN_VALUE);
  return { intercept, slope, errorShare: Math.max(...distances) / largest };
}
