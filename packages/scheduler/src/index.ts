export * from "./policy/types.js";
