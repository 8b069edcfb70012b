export * from "./calls.js";
export * from "./control-effects.js";
export * from "./control-node.js";
export * from "./control-settings.js";
export * from "./entry-directory.js";
export * from "./replicated-log-adapter.js";
export * from "./replicated-log-port.js";
