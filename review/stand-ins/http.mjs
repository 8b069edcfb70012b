// HTTP calls as the platform's clients, workers and operators send them.
import { request } from "node:http";

/** Sends one request. Resolves with status 0 if there is no complete response in time. */
export const send = ({ method, url, headers = {}, body, timeoutMs = 1000 }) =>
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
            agent: false,
            headers: { "content-type": "application/json", "content-length": Buffer.byteLength(text), ...headers },
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", () => finish({ status: 0 }));
            response.on("end", () => {
                let parsed;
                try {
                    parsed = JSON.parse(Buffer.concat(chunks).toString() || "{}");
                }
                catch {
                    parsed = {};
                }
                const bytes = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
                finish({ status: response.statusCode, body: parsed, bytes, location: response.headers.location });
            });
        });
        const timer = setTimeout(() => {
            outgoing.destroy();
            finish({ status: 0 });
        }, timeoutMs);
        outgoing.on("error", () => finish({ status: 0 }));
        outgoing.end(text);
    });

/** Sends a request and follows a redirect (307) twice, as every caller of `control` does. */
export const sendFollowing = async call => {
    const endMs = performance.now() + (call.timeoutMs ?? 1000);
    let response = await send(call);
    for (let hop = 0; hop < 2 && response.status === 307 && response.location !== undefined; hop += 1) {
        const timeoutMs = Math.max(1, endMs - performance.now());
        response = await send({ ...call, url: response.location, timeoutMs });
    }
    return response;
};

export const sleep = durationMs => new Promise(resolve => setTimeout(resolve, durationMs));
