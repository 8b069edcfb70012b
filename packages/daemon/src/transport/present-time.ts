import { performance } from "node:perf_hooks";

/** Returns milliseconds since the epoch that never go back while the process runs. */
export const presentTimeMs = (): number => performance.timeOrigin + performance.now();
