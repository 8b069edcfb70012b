import { measureAll } from "./measurements.js";
import type { Measurement } from "./measurements.js";

const DIGITS = 4;

const formatNumber = (value: number): string => Number(value.toPrecision(DIGITS)).toString();

const describe = ({ name, unit, per, points, fit }: Measurement): string => {
    const pointsText = points.map(point => `${point.size}: ${formatNumber(point.value)}`).join(", ");
    const fitText = `${formatNumber(fit.offset)} + ${formatNumber(fit.perUnit)} per ${per}`;
    const errorText = `worst deviation ${(fit.worstErrorRatio * 100).toFixed(1)}%`;
    return `${name} [${unit}]\n    measured at ${pointsText}\n    fit ${fitText}; ${errorText}`;
};

const measurements = measureAll();
for (const measurement of measurements) {
    process.stdout.write(`${describe(measurement)}\n`);
}
const summary = Object.fromEntries(
    measurements.map(({ name, unit, points, fit }) => [name, {
        unit,
        perUnit: fit.perUnit,
        offset: fit.offset,
        worstErrorRatio: fit.worstErrorRatio,
        atLargest: points.at(-1)?.value,
    }]),
);
process.stdout.write(`${JSON.stringify(summary)}\n`);
