export { createLogger } from "./logger.js";
export type { LoggerOptions } from "./logger.js";
