import { StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import type { IncomingMessage } from "node:http";
import type { Http2ServerRequest } from "node:http2";

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
        const chunks: Buffer[] = [];
        let sizeBytes = 0;
        request.on("data", (chunk: Buffer) => {
            sizeBytes += chunk.length;
            if (sizeBytes <= limitBytes) {
                chunks.push(chunk);
            }
            else {
                chunks.length = 0;
            }
        });
        request.once("end", () => {
            if (sizeBytes <= limitBytes) {
                resolve(Buffer.concat(chunks));
            }
            else {
                fail(ErrorCode.TOO_LARGE, `the body exceeds ${limitBytes} bytes`);
            }
        });
        const handleBreak = (): void => fail(ErrorCode.INVALID, "the connection broke during the request");
        request.once("error", handleBreak);
        // An HTTP/2 request that breaks reports no error.
        request.once("close", handleBreak);
    });
