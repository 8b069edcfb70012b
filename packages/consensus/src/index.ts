export * from "./membership.js";
export * from "./replica.js";
export * from "./types.js";
