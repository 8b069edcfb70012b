import type { Resources } from "@waxwingspread/protocol";
import type { ReservationPolicy } from "../types.js";

/** Uses the declared amounts and run times unchanged. */
export class BasicReservationPolicy implements ReservationPolicy {
    observe(): void {
        return undefined;
    }

    reserve(unusedClassKey: string, declared: Resources): Resources {
        return declared;
    }

    observeRunTime(): void {
        return undefined;
    }

    expectedRunTimeMs(unusedClassKey: string, declaredMs: number): number {
        return declaredMs;
    }
}
