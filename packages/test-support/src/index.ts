export * from "./silent-relay.js";
export * from "./stand-in-backend-server-process.js";
export * from "./stand-in-backend-server.js";
export * from "./stand-in-caller.js";
export type { CallEntry } from "./stand-in/entry-link.js";
export type { AttemptIdentity, StartMessage, TaskPayload } from "./stand-in/messages.js";
export type { Observations, RunSegment, StopReason } from "./stand-in/observations.js";
export * from "./stand-in/options.js";
export type { ResultMessage } from "./stand-in/task.js";
