import type { InterferencePolicy } from "../types.js";

/** Ignores interference: expects no slowdown and never mitigates. */
export class BasicInterferencePolicy implements InterferencePolicy {
    taskPlaced(): void {
        return undefined;
    }

    taskReleased(): void {
        return undefined;
    }

    observe(): void {
        return undefined;
    }

    expectedSlowdown(): { mean: number; uncertainty: number } {
        return { mean: 1, uncertainty: 0 };
    }

    evaluate(): [] {
        return [];
    }
}
