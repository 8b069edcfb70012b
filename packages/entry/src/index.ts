export { bearerTokenOf, checkCredential, createCredential, generateSecret } from "./configuration/credentials.js";
export * from "./effects.js";
export { EntryNode } from "./entry-node.js";
export { parseBackendServerRequest } from "./http/parse-backend-server-request.js";
export type { BackendServerRequest, TaskResult } from "./http/parse-backend-server-request.js";
export { parseCallerRequest } from "./http/parse-caller-request.js";
export type { CallerRequest, Submission } from "./http/parse-caller-request.js";
export * from "./settings.js";
