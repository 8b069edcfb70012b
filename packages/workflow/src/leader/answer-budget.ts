/** Bytes of an order beside its texts: numbers, quotes and separators. */
const ROW_BYTES = 32;

/** Bounds the orders in one answer to a heartbeat by their encoded size. The others follow in the next answers. */
export class AnswerBudget {
    readonly #maxBytes: number;
    #usedBytes = 0;
    #hasDeferred = false;

    constructor(maxBytes: number) {
        this.#maxBytes = maxBytes;
    }

    /** Whether an order has been left for a later answer. */
    get hasDeferred(): boolean {
        return this.#hasDeferred;
    }

    /** Takes the room for an order with texts of this size. The first order always has room, whatever its size. */
    tryTake(textBytes: number): boolean {
        if (this.#usedBytes > 0 && this.#usedBytes + ROW_BYTES + textBytes > this.#maxBytes) {
            this.#hasDeferred = true;
            return false;
        }
        this.#usedBytes += ROW_BYTES + textBytes;
        return true;
    }
}

/** Returns the number of bytes of a text in JSON, in which some characters take several. */
export const encodedBytesOf = (text: string): number => Buffer.byteLength(JSON.stringify(text));
