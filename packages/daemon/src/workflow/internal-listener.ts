import { messageOf, parseBoundedJson } from "@waxwingspread/common";
import type { IncomingMessage, OutgoingHttpHeaders } from "node:http";
import type { Http2ServerRequest } from "node:http2";
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
    /** Called for each accepted connection. */
    onConnection?: () => void;
}

/** Creates the listener for JSON calls between processes of the system. Builds before HTTP/2 call over HTTP/1.1. */
export const createInternalListener = (
    { address, handlers, logger, onConnection }: InternalListenerOptions,
): HttpListener =>
    new HttpListener({
        address,
        maxConnections: MAX_CONNECTIONS,
        logger,
        onConnection,
        handle: async (request, response) => {
            const { status, content } = await respond(request, handlers, logger);
            response.writeHead(status, headersOf(content)).end(content);
        },
        handleHttp2: (request, response) => {
            void respond(request, handlers, logger).then(({ status, content }) =>
                response.writeHead(status, headersOf(content)).end(content)
            );
        },
        onConnectionRefused: () => logger.warn("internal connection refused: too many connections"),
    });

interface InternalResponse {
    status: number;
    content: Buffer;
}

const NO_CONTENT = Buffer.alloc(0);

const headersOf = (content: Buffer): OutgoingHttpHeaders => ({
    "content-type": "application/json",
    "content-length": content.length,
});

const respond = async (
    request: IncomingMessage | Http2ServerRequest,
    handlers: ReadonlyMap<string, InternalHandler>,
    logger: Logger,
): Promise<InternalResponse> => {
    const path = request.url ?? "";
    const peer = request.socket.remoteAddress;
    const handler = handlers.get(path);
    if (handler === undefined) {
        return { status: 404, content: NO_CONTENT };
    }
    try {
        const body = parseBoundedJson(Buffer.from(await readBody(request, MAX_MESSAGE_BYTES)).toString());
        if (body === undefined) {
            logger.warn({ path, peer }, "internal call can't be read");
            return { status: 400, content: NO_CONTENT };
        }
        return { status: 200, content: Buffer.from(JSON.stringify(await handler(body as never))) };
    }
    catch (error) {
        logger.warn({ path, peer, reason: messageOf(error) }, "internal call failed");
        return { status: 500, content: NO_CONTENT };
    }
};
