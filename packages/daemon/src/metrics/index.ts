export { OTHER_LABEL } from "./bounded.js";
export type { BoundedCounter, BoundedDuration, BoundedGauge } from "./bounded.js";
export { enumLabel, LABELS, OK_LABEL } from "./label-sets.js";
export { createMetrics, setReplicaRole } from "./metrics.js";
export type { DaemonMetrics } from "./metrics.js";
