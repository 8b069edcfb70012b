export * from "./bootstrap.js";
export * from "./data-folder.js";
export * from "./file-system.js";
export * from "./membership.js";
export * from "./replica-runner.js";
export * from "./replica-store.js";
export * from "./replica.js";
export * from "./types.js";
