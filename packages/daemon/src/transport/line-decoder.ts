/** Longest message. */
export const MAX_LINE_BYTES = 4 * 1024 * 1024;
const LINE_END = 0x0a;

/** Splits the chunks of a connection into lines, each of which holds one message. */
export class LineDecoder {
    readonly #onLine: (line: string) => void;
    #chunks: Buffer[] = [];
    #sizeBytes = 0;

    constructor(onLine: (line: string) => void) {
        this.#onLine = onLine;
    }

    /** Returns false if a line is too long; the connection is then to be closed. */
    push(chunk: Buffer): boolean {
        let rest = chunk;
        for (let end = rest.indexOf(LINE_END); end >= 0; end = rest.indexOf(LINE_END)) {
            this.#add(rest.subarray(0, end));
            const line = Buffer.concat(this.#chunks).toString();
            this.#chunks = [];
            this.#sizeBytes = 0;
            this.#onLine(line);
            rest = rest.subarray(end + 1);
        }
        this.#add(rest);
        return this.#sizeBytes <= MAX_LINE_BYTES;
    }

    #add(bytes: Buffer): void {
        if (bytes.length > 0) {
            this.#chunks.push(bytes);
            this.#sizeBytes += bytes.length;
        }
    }
}
