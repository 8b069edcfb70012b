import type { Refusal } from "../model/calls.js";
import type { JobSpecification } from "../model/specification.js";

/** Refused submissions of one organisation, by reason. */
export type RefusedSubmissions = Partial<Record<Refusal, number>>;

/** Counts the submissions that a leader session has refused, by organisation. */
export class RefusalCounts {
    readonly #counts = new Map<string, RefusedSubmissions>();

    record({ organisation }: JobSpecification, refusal: Refusal): void {
        if (organisation !== undefined) {
            const counts = this.#counts.get(organisation) ?? {};
            this.#counts.set(organisation, counts);
            counts[refusal] = (counts[refusal] ?? 0) + 1;
        }
    }

    get organisations(): Iterable<string> {
        return this.#counts.keys();
    }

    of(organisation: string): RefusedSubmissions {
        return { ...this.#counts.get(organisation) };
    }
}
