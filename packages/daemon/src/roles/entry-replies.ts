import { errorCodeName } from "@waxwingspread/common";
import type { StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import type { ServerResponse } from "node:http";

const STATUS_TOO_LARGE = 413;
const STATUS_TOO_MANY = 429;
const STATUS_BAD_REQUEST = 400;

const STATUS_BY_CODE: Partial<Record<ErrorCode, number>> = {
    [ErrorCode.TOO_LARGE]: STATUS_TOO_LARGE,
    [ErrorCode.OVERLOADED]: STATUS_TOO_MANY,
};

/** HTTP response of the entry node. The body is `bytes` if present, else the JSON text. */
export interface EntryReply {
    status: number;
    headers: Record<string, string>;
    json?: string;
    bytes?: Uint8Array;
}

/** Writes a reply as the HTTP response. */
export const sendReply = (response: ServerResponse, reply: EntryReply): void => {
    const body = reply.bytes ?? Buffer.from(reply.json ?? "");
    const contentType = reply.bytes === undefined ? "application/json" : "application/octet-stream";
    response.writeHead(reply.status, {
        "content-type": contentType,
        ...reply.headers,
        "content-length": String(body.length),
    });
    response.end(body);
};

/** Rejects a request that has not reached the entry node. Closes the connection, since the body may be unread. */
export const sendError = (response: ServerResponse, error: StepError): void => {
    const { code, step, peer, message } = error;
    sendReply(response, {
        status: STATUS_BY_CODE[code] ?? STATUS_BAD_REQUEST,
        headers: { connection: "close" },
        json: JSON.stringify({ error: { code: errorCodeName(code), step, peer, message } }),
    });
};
