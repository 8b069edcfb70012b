import type { EligibilityQuery, EligibleServer, MaintenanceCall, MaintenanceOutcome } from "@waxwingspread/workflow";

/** Services of the surrounding platform that the leader calls. */
export interface PlatformServices {
    /** Returns the backend servers that may run a step. Rejects if the service does not respond. */
    checkEligibility(query: EligibilityQuery): Promise<readonly EligibleServer[]>;
    /** Requests the maintenance of a VM. Never rejects. A call without a response may be repeated. */
    beginMaintenance(call: MaintenanceCall): Promise<MaintenanceOutcome>;
}
