import { StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import type { IncomingMessage } from "node:http";
import type { Http2ServerRequest } from "node:http2";

/** Reads the body of a request. Fails with TOO_LARGE above the limit and with INVALID if the connection breaks. */
export const readBody = (request: IncomingMessage | Http2ServerRequest, limitBytes: number): Promise<Uint8Array> =>
    new Promise((resolve, reject) => {
        const peer = request.socket.remoteAddress ?? "";
        const chunks: Buffer[] = [];
        let sizeBytes = 0;
        request.on("data", (chunk: Buffer) => {
            sizeBytes += chunk.length;
            if (sizeBytes > limitBytes) {
                // The rest is still read, and dropped: left unread, it would keep the connection from further requests.
                chunks.length = 0;
                reject(
                    new StepError(ErrorCode.TOO_LARGE, "read request", peer, `the body exceeds ${limitBytes} bytes`),
                );
                return;
            }
            chunks.push(chunk);
        });
        request.once("end", () => resolve(Buffer.concat(chunks)));
        const fail = (): void =>
            reject(
                new StepError(ErrorCode.INVALID, "read request", peer, "the connection broke during the request"),
            );
        request.once("error", fail);
        // An HTTP/2 request that breaks reports no error.
        request.once("close", fail);
    });
