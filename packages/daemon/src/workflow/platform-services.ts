import type { EligibilityQuery, EligibleServer, MaintenanceCall, MaintenanceOutcome } from "@waxwingspread/workflow";

/** Services of the platform that a leader calls. */
export interface PlatformServices {
    /** Returns the backend servers that may run a step. Rejects without an answer. */
    checkEligibility(query: EligibilityQuery): Promise<readonly EligibleServer[]>;
    /** Has a VM maintained. Never rejects; a call without an answer may be repeated. */
    beginMaintenance(call: MaintenanceCall): Promise<MaintenanceOutcome>;
}
