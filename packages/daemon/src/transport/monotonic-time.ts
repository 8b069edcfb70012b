import { performance } from "node:perf_hooks";

/**
 * Returns the milliseconds since the Unix epoch at process start plus the monotonic time since then. The value never
 * decreases and ignores changes of the system clock.
 */
export const monotonicNowMs = (): number => performance.timeOrigin + performance.now();
