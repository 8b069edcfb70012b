import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Logger } from "pino";
import type { Registry } from "prom-client";
import type { ListenAddress } from "../transport/listen-address.js";
import { HttpListener } from "./http-listener.js";
import { sendMetrics } from "./send-metrics.js";

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;

/** Endpoints and limits of the listener for operators. */
export interface OperatorsListenerOptions {
    address: ListenAddress;
    maxConnections: number;
    registry: Registry;
    isLive: () => boolean;
    isReady: () => boolean;
    isLeader: () => boolean;
    routes: (router: ConnectRouter) => void;
    logger: Logger;
    onConnectionRefused: () => void;
}

/** Creates the listener for metrics, health checks and the journal. Connect calls are POST requests. */
export const createOperatorsListener = (options: OperatorsListenerOptions): HttpListener => {
    const adapter = connectNodeAdapter({ routes: options.routes });
    const createHealthHandler = (check: () => boolean) => (response: ServerResponse): void => {
        const isHealthy = check();
        response.writeHead(isHealthy ? STATUS_OK : STATUS_UNAVAILABLE, { "content-type": "text/plain" });
        response.end(isHealthy ? "ok\n" : "not ok\n");
    };
    const handlers = new Map<string, (response: ServerResponse) => Promise<void> | void>([
        ["/livez", createHealthHandler(options.isLive)],
        ["/readyz", createHealthHandler(options.isReady)],
        ["/leaderz", createHealthHandler(options.isLeader)],
        ["/metrics", response => sendMetrics(options.registry, response)],
    ]);
    const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const handler = request.method === "GET" ? handlers.get(request.url ?? "") : undefined;
        if (handler !== undefined) {
            await handler(response);
            return;
        }
        if (request.method === "POST") {
            adapter(request, response);
            return;
        }
        response.writeHead(STATUS_NOT_FOUND).end();
    };
    return new HttpListener({
        address: options.address,
        maxConnections: options.maxConnections,
        handle,
        logger: options.logger,
        handleHttp2: adapter,
        onConnectionRefused: options.onConnectionRefused,
    });
};
