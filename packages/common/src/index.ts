export * from "./announcement-digest.js";
export * from "./bounded-json.js";
export * from "./hybrid-clock.js";
export * from "./job-key.js";
export * from "./journal.js";
export * from "./salted-hash.js";
export * from "./seeded-random.js";
export * from "./step-error.js";
