export * from "./policy/create-policies.js";
export * from "./policy/types.js";
