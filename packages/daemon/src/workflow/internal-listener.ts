import { messageOf } from "@waxwingspread/common";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Logger } from "pino";
import { HttpListener } from "../http/http-listener.js";
import { readBody } from "../http/request-body.js";
import type { ListenAddress } from "../transport/listen-address.js";

const MAX_CONNECTIONS = 500;
const MAX_MESSAGE_BYTES = 2 * 1024 * 1024;

/** Handles requests to one path: takes the decoded JSON body and returns the value that is encoded as the response. */
export type InternalHandler = (body: never) => unknown;

/** Construction parameters of an internal listener. */
export interface InternalListenerOptions {
    address: ListenAddress;
    handlers: ReadonlyMap<string, InternalHandler>;
    logger: Logger;
}

/** Creates the listener for JSON calls between processes of the system. */
export const createInternalListener = ({ address, handlers, logger }: InternalListenerOptions): HttpListener =>
    new HttpListener({
        address,
        maxConnections: MAX_CONNECTIONS,
        logger,
        handle: (request, response) => handle(request, response, handlers, logger),
        onConnectionRefused: () => logger.warn("internal connection refused: too many connections"),
    });

const handle = async (
    request: IncomingMessage,
    response: ServerResponse,
    handlers: ReadonlyMap<string, InternalHandler>,
    logger: Logger,
): Promise<void> => {
    const path = request.url ?? "";
    const handler = handlers.get(path);
    if (handler === undefined) {
        response.writeHead(404).end();
        return;
    }
    try {
        const body = JSON.parse(Buffer.from(await readBody(request, MAX_MESSAGE_BYTES)).toString()) as never;
        const content = Buffer.from(JSON.stringify(await handler(body)));
        response.writeHead(200, { "content-type": "application/json", "content-length": content.length }).end(content);
    }
    catch (error) {
        logger.warn({ path, peer: request.socket.remoteAddress, reason: messageOf(error) }, "internal call failed");
        response.writeHead(500).end();
    }
};
