import { encodeEvents } from "../state/events.js";
import type { ReplicatedLog } from "./replicated-log.js";

/** Delay of the next leader session after one has failed, so that a lasting fault doesn't use up the processor. */
const RESTART_DELAY_MS = 500;

/** The failure of a session. */
interface Failure {
    term: number;
    atMs: number;
    /** Index of a record proposed after the failure; undefined until it is proposed. */
    barrierIndex: number | undefined;
}

/**
 * Decides when a leader session may begin after another one has failed in the same term: only once the records that the
 * failed one has proposed are applied, since the next one takes over what they contain.
 */
export class SessionRestart {
    readonly #log: ReplicatedLog;
    /** The latest failure; undefined after a session has begun. */
    #failure: Failure | undefined;

    constructor(log: ReplicatedLog) {
        this.#log = log;
    }

    recordFailure(nowMs: number): void {
        this.#failure = { term: this.#log.term, atMs: nowMs, barrierIndex: undefined };
    }

    recordBegin(): void {
        this.#failure = undefined;
    }

    /** Whether a session may begin now. Proposes an empty record if one is needed to find out. */
    mayBegin(appliedIndex: number, nowMs: number): boolean {
        const failure = this.#failure;
        if (failure === undefined || failure.term !== this.#log.term) {
            return true;
        }
        if (failure.barrierIndex === undefined) {
            const proposed = this.#log.propose(encodeEvents([]), nowMs);
            failure.barrierIndex = proposed.isOk() ? proposed.value : undefined;
        }
        return nowMs - failure.atMs >= RESTART_DELAY_MS && appliedIndex >= (failure.barrierIndex ?? Infinity);
    }
}
