import { EventKind } from "../state/events.js";
import type { WorkflowEvent } from "../state/events.js";
import type { PressureModel } from "./pressure-model.js";

const RECORD_INTERVAL_MS = 3_000;

/** Proposes the learned pressures, so that the next leader need not learn them at the standing tasks' expense. */
export class PressureRecords {
    readonly #pressure: PressureModel;
    readonly #propose: (event: WorkflowEvent) => void;
    #nextAtMs: number;

    constructor(pressure: PressureModel, propose: (event: WorkflowEvent) => void, nowMs: number) {
        this.#pressure = pressure;
        this.#propose = propose;
        this.#nextAtMs = nowMs + RECORD_INTERVAL_MS;
    }

    /** Proposes the pressures if they are due. */
    run(nowMs: number): void {
        if (nowMs < this.#nextAtMs) {
            return;
        }
        this.#nextAtMs = nowMs + RECORD_INTERVAL_MS;
        const pressures = this.#pressure.toTable();
        if (Object.keys(pressures).length > 0) {
            this.#propose({ kind: EventKind.PressuresLearned, pressures });
        }
    }
}
