import { DecayedQuantile } from "@waxwingspread/common";
import { RunEnd } from "../../model/heartbeat.js";
import type { RunView } from "../server-view.js";

/** Quantile of the observed run times that counts: a step ends with the last of its tasks. */
const QUANTILE = 0.8;
/** Observations after which the ratio is computed, for the first time and again. */
const UPDATE_OBSERVATIONS = 16;
/** Bounds on the ratio, beyond which it is a sign of faulty servers rather than of an estimate. */
const MIN_RATIO = 0.5;
const MAX_RATIO = 3;
/** Queues that are followed at once, which bounds the memory. */
const MAX_QUEUES = 500;

interface LearnedRatio {
    observations: DecayedQuantile;
    /** Cached, since the order of the waiting steps reads it for each of them. */
    ratio: number;
    observationsUntilUpdate: number;
}

/** Learns, by the address of the queue, how long runs take, from the choice of a server on, as a multiple of the callers' estimates. */
export class RunTimeRatios {
    readonly #ratiosByQueue = new Map<string, LearnedRatio>();

    /** Records the end of a run. Only first runs that are done show the whole time; later ones may resume. */
    recordEnd(queue: string, { run, step, assignedAtMs }: RunView, end: RunEnd, nowMs: number): void {
        if (end !== RunEnd.Done || run !== 1 || step.isStanding || step.estimatedRunTimeMs <= 0) {
            return;
        }
        const learned = this.#ratiosByQueue.get(queue)
            ?? { observations: new DecayedQuantile(), ratio: 1, observationsUntilUpdate: UPDATE_OBSERVATIONS };
        if (this.#ratiosByQueue.size >= MAX_QUEUES && !this.#ratiosByQueue.has(queue)) {
            return;
        }
        this.#ratiosByQueue.set(queue, learned);
        learned.observations.add((nowMs - assignedAtMs) / step.estimatedRunTimeMs);
        learned.observationsUntilUpdate -= 1;
        if (learned.observationsUntilUpdate <= 0) {
            learned.observationsUntilUpdate = UPDATE_OBSERVATIONS;
            learned.ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, learned.observations.quantile(QUANTILE)));
        }
    }

    /** Returns the time that most runs of a queue take as a multiple of the estimate; 1 as long as too few have ended. */
    ratioOf(queue: string): number {
        return this.#ratiosByQueue.get(queue)?.ratio ?? 1;
    }

    /** Returns the ratios by queue. */
    toTable(): Record<string, number> {
        return Object.fromEntries([...this.#ratiosByQueue.keys()].map(queue => [queue, this.ratioOf(queue)]));
    }
}
