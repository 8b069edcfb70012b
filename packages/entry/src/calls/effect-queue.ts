import type { JournalRecord } from "@waxwingspread/common";
import { EntryEffectKind } from "../effects.js";
import type { EntryEffect, EntryMetric } from "../effects.js";

/** Collects the effects of one entry until the host process takes and executes them. */
export class EffectQueue {
    #effects: EntryEffect[] = [];

    push(effect: EntryEffect): void {
        this.#effects.push(effect);
    }

    journal(record: JournalRecord): void {
        this.push({ kind: EntryEffectKind.JournalEntry, record });
    }

    count(metric: EntryMetric, amount = 1): void {
        this.push({ kind: EntryEffectKind.Count, metric, amount });
    }

    take(): EntryEffect[] {
        const effects = this.#effects;
        this.#effects = [];
        return effects;
    }
}
