const POLL_INTERVAL_MS = 20;

/** Polls `condition` until it returns a value, and returns it. Fails with `what` in the message after `timeoutMs`. */
export const waitUntil = async <T>(
    what: string,
    timeoutMs: number,
    condition: () => Promise<T | undefined> | T | undefined,
): Promise<T> => {
    const deadline = performance.now() + timeoutMs;
    for (;;) {
        const value = await condition();
        if (value !== undefined) {
            return value;
        }
        if (performance.now() > deadline) {
            throw new Error(`timed out after ${timeoutMs} ms: ${what}`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
};
