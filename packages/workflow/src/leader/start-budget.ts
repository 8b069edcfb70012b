import type { StartOrder } from "../model/heartbeat.js";

/** Bytes of a start order beside its texts: numbers, quotes and separators. */
const ROW_BYTES = 32;

/** Bounds the start orders in one answer to a heartbeat by their encoded size. The rest follow in the next answers. */
export class StartBudget {
    readonly #maxBytes: number;
    #usedBytes = 0;
    #hasDeferred = false;

    constructor(maxBytes: number) {
        this.#maxBytes = maxBytes;
    }

    /** Whether an order had to be left for a later answer. */
    get hasDeferred(): boolean {
        return this.#hasDeferred;
    }

    /** Whether a further order has room. The first one always has, whatever its size. */
    get hasRoom(): boolean {
        return this.#usedBytes === 0 || this.#usedBytes < this.#maxBytes;
    }

    /** Records that an order has to wait for a later answer. */
    defer(): void {
        this.#hasDeferred = true;
    }

    /** Takes the bytes of an order, of which the payload is already measured. */
    take({ task, checkpoint, eligibilityToken = "" }: StartOrder, payloadBytes: number): void {
        this.#usedBytes += ROW_BYTES + task.length + payloadBytes + encodedBytesOf(checkpoint)
            + encodedBytesOf(eligibilityToken);
    }
}

/** Returns the number of bytes of a text in JSON, in which some characters take several. */
export const encodedBytesOf = (text: string): number => Buffer.byteLength(JSON.stringify(text));
