import { StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import type { IncomingMessage } from "node:http";
import type { Http2ServerRequest } from "node:http2";
import { BodyBuffer } from "./body-buffer.js";
import { connectionOf } from "./served-connection.js";
import type { BodyInProgress } from "./served-connection.js";

/**
 * Reads the body of a request. Fails with TOO_LARGE above the limit and with INVALID if the connection breaks. The rest of
 * a body above the limit is read and dropped first: left unread, it would keep the connection from further requests, or
 * its reset would overtake the response.
 */
export const readBody = (request: IncomingMessage | Http2ServerRequest, limitBytes: number): Promise<Uint8Array> =>
    new Promise((resolve, reject) => {
        const peer = request.socket.remoteAddress ?? "";
        const fail = (code: ErrorCode, reason: string): void =>
            reject(new StepError(code, "read request", peer, reason));
        const collected = new BodyBuffer();
        let sizeBytes = 0;
        const handleBreak = (): void => {
            collected.clear();
            fail(ErrorCode.INVALID, "the connection broke during the request");
        };
        const accounting = startAccounting(request, handleBreak);
        request.on("data", (chunk: Buffer) => {
            sizeBytes += chunk.length;
            if (sizeBytes <= limitBytes) {
                collected.append(chunk);
            }
            else {
                collected.clear();
            }
            accounting(chunk.length, collected.capacityBytes);
        });
        request.once("end", () => {
            if (sizeBytes <= limitBytes) {
                resolve(collected.take());
            }
            else {
                fail(ErrorCode.TOO_LARGE, `the body exceeds ${limitBytes} bytes`);
            }
        });
        request.once("error", handleBreak);
        // An HTTP/2 request that breaks reports no error.
        request.once("close", handleBreak);
    });

/** Records bytes that have arrived and the memory that the body takes now. */
type RecordBody = (receivedBytes: number, capacityBytes: number) => void;

/** Counts the body among what its connection holds. */
const startAccounting = (request: IncomingMessage | Http2ServerRequest, fail: () => void): RecordBody => {
    const connection = connectionOf(request);
    if (connection === undefined) {
        return () => undefined;
    }
    const http1Request = request as IncomingMessage;
    const body: BodyInProgress = { remainingBytes: Number(http1Request.headers["content-length"] ?? 0), fail };
    connection.beginBody(http1Request, body);
    let countedBytes = 0;
    return (receivedBytes, capacityBytes) => {
        body.remainingBytes = Math.max(0, body.remainingBytes - receivedBytes);
        if (capacityBytes !== countedBytes) {
            const deltaBytes = capacityBytes - countedBytes;
            countedBytes = capacityBytes;
            connection.addBodyMemory(http1Request, deltaBytes);
        }
    };
};
