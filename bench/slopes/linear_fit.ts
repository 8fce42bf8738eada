/** Linear fits of measured costs over sizes. */

/** One kind of cost, measured at several sizes, with the line fitted to it. */
export interface ISlope {
  readonly name: string;
  /** Unit of the slope, such as "bytes per program". */
  readonly unit: string;
  readonly sizes: readonly number[];
  readonly values: readonly number[];
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination (R²) of the line. */
  readonly fit: number;
}

/** Fits a line by least squares. */
export function fitSlope(
  name: string,
  opts: { unit: string; sizes: readonly number[]; values: readonly number[] },
): ISlope {
  const { sizes, values } = opts;
  const mean = (numbers: readonly number[]) =>
    numbers.reduce((sum, number) => sum + number, 0) / numbers.length;
  const meanSize = mean(sizes);
  const meanValue = mean(values);
  const covariance = mean(sizes.map((size, index) => (size - meanSize) * (values[index] - meanValue)));
  const variance = mean(sizes.map((size) => (size - meanSize) ** 2));
  const slope = covariance / variance;
  const intercept = meanValue - slope * meanSize;
  const residual = mean(values.map((value, index) => (value - intercept - slope * sizes[index]) ** 2));
  const total = mean(values.map((value) => (value - meanValue) ** 2));
  return { name, ...opts, slope, intercept, fit: total === 0 ? 1 : 1 - residual / total };
}
