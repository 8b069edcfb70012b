export * from "./logging/index.js";
export * from "./metrics/index.js";
export * from "./settings/index.js";
