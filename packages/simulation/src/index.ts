export * from "./model/deployment.js";
export type { ServerRun } from "./model/server-run.js";
export type { ServerObserver, ServerOptions, SimulatedServer } from "./model/simulated-server.js";
