import { performance } from "node:perf_hooks";

/** Returns milliseconds since the Unix epoch from a monotonic clock, which ignores changes of the system time. */
export const presentTimeMs = (): number => performance.timeOrigin + performance.now();
