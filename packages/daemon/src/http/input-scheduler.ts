/** Time for which the input of connections that send much is parsed in one iteration of the event loop. */
const MAX_PARSE_MS_PER_ITERATION = 5;
/** Inputs that are resumed in one iteration. Those for which no time is left wait again. */
const MAX_RESUMED = 32;

/** Input of a connection that waits to be parsed. */
export interface WaitingInput {
    /** Time that parsing the connection's present request has taken so far. */
    readonly parseMs: number;
    /** Goes on with the input. */
    resume: () => void;
}

/**
 * Shares the processor between connections that send more than fits into one piece. Each iteration of the event loop
 * parses them for a few milliseconds only, and those first that have taken least, so that the requests of other clients
 * are read in between.
 */
export class InputScheduler {
    readonly #waiting = new Set<WaitingInput>();
    readonly #runInNextIteration: (callback: () => void) => void;
    #parsedMs = 0;
    #isScheduled = false;

    /** `runInNextIteration` calls back in the next iteration of the event loop. */
    constructor(runInNextIteration: (callback: () => void) => void = callback => void setImmediate(callback)) {
        this.#runInNextIteration = runInNextIteration;
    }

    /** Whether this iteration has time left. */
    get hasTime(): boolean {
        return this.#parsedMs < MAX_PARSE_MS_PER_ITERATION;
    }

    /** Records time that was spent in this iteration. */
    recordParsing(durationMs: number): void {
        this.#parsedMs += durationMs;
        this.#schedule();
    }

    /** Resumes the input in a later iteration. */
    wait(input: WaitingInput): void {
        this.#waiting.add(input);
        this.#schedule();
    }

    /** Forgets an input whose connection has closed. */
    remove(input: WaitingInput): void {
        this.#waiting.delete(input);
    }

    #schedule(): void {
        if (!this.#isScheduled) {
            this.#isScheduled = true;
            this.#runInNextIteration(() => this.#beginIteration());
        }
    }

    #beginIteration(): void {
        this.#isScheduled = false;
        this.#parsedMs = 0;
        for (const input of this.#leastServed()) {
            this.#waiting.delete(input);
            input.resume();
        }
        if (this.#waiting.size > 0) {
            this.#schedule();
        }
    }

    #leastServed(): readonly WaitingInput[] {
        return [...this.#waiting].sort((left, right) => left.parseMs - right.parseMs).slice(0, MAX_RESUMED);
    }
}
