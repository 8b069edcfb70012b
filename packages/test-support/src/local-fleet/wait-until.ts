const POLL_INTERVAL_MS = 20;

/** Polls `condition` until it returns a value, and returns that value; throws an error after `timeoutMs`. */
export const waitUntil = async <T>(
    description: string,
    timeoutMs: number,
    condition: () => Promise<T | undefined> | T | undefined,
): Promise<T> => {
    const deadlineMs = performance.now() + timeoutMs;
    for (;;) {
        const value = await condition();
        if (value !== undefined) {
            return value;
        }
        if (performance.now() > deadlineMs) {
            throw new Error(`timed out after ${timeoutMs} ms: ${description}`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
};
