import type { Logger } from "pino";
import type { Registry } from "prom-client";
import { HttpListener } from "../http/http-listener.js";
import { sendMetrics } from "../http/send-metrics.js";
import type { ListenAddress } from "../transport/listen-address.js";

const MAX_CONNECTIONS = 20;
const METRICS_PATH = "/metrics";
const STATUS_NOT_FOUND = 404;

/** Creates the listener that serves the metrics of one process. */
export const createMetricsListener = (address: ListenAddress, registry: Registry, logger: Logger): HttpListener =>
    new HttpListener({
        address,
        maxConnections: MAX_CONNECTIONS,
        logger,
        handle: async (request, response) => {
            if (request.method === "GET" && request.url === METRICS_PATH) {
                await sendMetrics(registry, response);
                return;
            }
            response.writeHead(STATUS_NOT_FOUND).end();
        },
        onConnectionRefused: () => logger.warn("metrics connection refused: too many connections"),
    });
