/** A value measured at one size, such as a number of servers or tasks. */
export interface DataPoint {
    size: number;
    value: number;
}

/** Straight line fitted to measurements: value = offset + perUnit * size. */
export interface LinearFit {
    perUnit: number;
    offset: number;
    /** Largest deviation of a measurement from the line, relative to the largest absolute measurement. */
    worstErrorRatio: number;
}

/** Fits a straight line by ordinary least squares. If all sizes are equal, the line is constant. */
export const fitLine = (points: readonly DataPoint[]): LinearFit => {
    const count = points.length;
    const meanSize = points.reduce((sum, point) => sum + point.size, 0) / count;
    const meanValue = points.reduce((sum, point) => sum + point.value, 0) / count;
    const covariance = points.reduce((sum, point) => sum + (point.size - meanSize) * (point.value - meanValue), 0);
    const variance = points.reduce((sum, point) => sum + (point.size - meanSize) ** 2, 0);
    const perUnit = variance === 0 ? 0 : covariance / variance;
    const offset = meanValue - perUnit * meanSize;
    const largest = Math.max(...points.map(point => Math.abs(point.value)));
    const errors = points.map(point => Math.abs(point.value - offset - perUnit * point.size));
    return { perUnit, offset, worstErrorRatio: largest === 0 ? 0 : Math.max(...errors) / largest };
};
