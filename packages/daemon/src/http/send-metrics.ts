import type { ServerResponse } from "node:http";
import type { Registry } from "prom-client";

const STATUS_OK = 200;
const STATUS_ERROR = 500;

/** Responds with all metrics of a registry in the Prometheus text format, or with status 500 if they cannot be read. */
export const sendMetrics = async (registry: Registry, response: ServerResponse): Promise<void> => {
    try {
        const text = await registry.metrics();
        response.writeHead(STATUS_OK, { "content-type": registry.contentType });
        response.end(text);
    }
    catch {
        response.writeHead(STATUS_ERROR).end();
    }
};
