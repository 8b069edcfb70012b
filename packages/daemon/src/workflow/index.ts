export * from "../http/http-listener.js";
export * from "../http/request-body.js";
export * from "../logging/logger.js";
export * from "../transport/present-time.js";
export * from "./control-host.js";
export * from "./leader-client.js";
export * from "./operations.js";
