// An operator and clients of the platform.
import { send, sendFollowing, sleep } from "./http.mjs";

const RETRY_MS = 200;

/** Sends an operator's call to one node after the other until it is acknowledged or refused. */
export const orderUntilAcknowledged = async ({ addresses, method, path, body, record, limitMs = 20000 }) => {
    const endMs = performance.now() + limitMs;
    for (let position = Math.floor(Math.random() * addresses.length); performance.now() < endMs; position += 1) {
        const address = addresses[position % addresses.length];
        const response = await sendFollowing({ method, url: `http://${address}${path}`, body });
        record("operator", { method, path, node: address, status: response.status });
        if (response.status === 200 || [400, 409, 412, 413, 422].includes(response.status)) {
            return response;
        }
        await sleep(RETRY_MS);
    }
    return { status: 0 };
};

/** Sends a client's request to one entry after the other until it gets an answer that is final. */
export const callEntry = async ({ frontends, method, host, path, body, record, isFinal, limitMs = 15000 }) => {
    const endMs = performance.now() + limitMs;
    let response = { status: 0 };
    for (let position = Math.floor(Math.random() * frontends.length); performance.now() < endMs; position += 1) {
        response = await send({
            method,
            url: `${frontends[position % frontends.length]}${path}`,
            headers: { host, "waxwingspread-deadline-ms": "3000" },
            body,
            timeoutMs: 3000,
        });
        record("client", { method, path, status: response.status, state: response.body?.state });
        if (isFinal(response)) {
            return response;
        }
        await sleep(RETRY_MS);
    }
    return response;
};
