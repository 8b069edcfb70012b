// HTTP client of the stand-ins: one request, or one that follows redirects as callers of `control` do.
import { request } from "node:http";

const MAX_REDIRECTS = 2;

/** Sends one request. The status is 0 if there is no complete response in time. */
export const send = ({ method, url, host, body, headers = {}, timeoutMs = 1_000, agent }) =>
    new Promise(resolve => {
        const text = body === undefined ? "" : JSON.stringify(body);
        let isDone = false;
        const finish = result => {
            if (!isDone) {
                isDone = true;
                clearTimeout(timer);
                resolve(result);
            }
        };
        const outgoing = request(url, {
            method,
            agent,
            headers: {
                ...body === undefined ? {} : { "content-type": "application/json" },
                "content-length": Buffer.byteLength(text),
                ...host === undefined ? {} : { host },
                ...headers,
            },
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", () => finish({ status: 0 }));
            response.on("end", () => {
                const received = Buffer.concat(chunks).toString();
                let decoded;
                try {
                    decoded = JSON.parse(received || "{}");
                }
                catch {
                    decoded = undefined;
                }
                finish({
                    status: response.statusCode,
                    location: response.headers.location,
                    retryAfter: response.headers["retry-after"],
                    body: decoded,
                    text: received,
                });
            });
        });
        const timer = setTimeout(() => {
            finish({ status: 0, isTimeout: true });
            outgoing.destroy();
        }, timeoutMs);
        outgoing.on("error", () => finish({ status: 0 }));
        outgoing.end(text);
    });

/** Sends a request and follows up to two redirects. */
export const sendFollowing = async call => {
    let response = await send(call);
    for (let hop = 0; hop < MAX_REDIRECTS && response.status === 307; hop += 1) {
        response = await send({ ...call, url: response.location });
    }
    return response;
};
