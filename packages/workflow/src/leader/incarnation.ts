/**
 * Difference between the clocks of a backend server and of the leader that is still taken for a wrong clock. Beyond it,
 * a start time in the future is taken for an error of the report.
 */
const MAX_CLOCK_DIFFERENCE_MS = 24 * 60 * 60 * 1_000;

/**
 * Whether one incarnation of a backend server follows another. One that began in the leader's distant future precedes
 * all others: as the latest, it would exclude the real server for as long as that time has not come.
 */
export const isLaterIncarnation = (candidate: number, known: number, timeOfDayMs: number): boolean => {
    const isCandidatePlausible = isPlausible(candidate, timeOfDayMs);
    return isCandidatePlausible === isPlausible(known, timeOfDayMs) ? candidate > known : isCandidatePlausible;
};

const isPlausible = (incarnation: number, timeOfDayMs: number): boolean =>
    incarnation <= timeOfDayMs + MAX_CLOCK_DIFFERENCE_MS;
