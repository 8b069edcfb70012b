import { expect, it } from "vitest";
import { VmMaintenancePhase } from "../model/maintenance.js";
import { MaintenanceRecord } from "./maintenance-record.js";
import type { MaintenanceContent } from "./maintenance-record.js";

// Guards against an order that never completes, or counts as begun, since the id of a VM is also the name of a property
// that every object has.
it.each(["vm-1", "__proto__", "constructor"])("records the phases of the VM %s, also over a snapshot", vmId => {
    const order = { id: 1, vmIds: [vmId], allowedMs: 1_000, maxConcurrent: 1 };
    const record = new MaintenanceRecord({ order, orderedAtMs: 0, phases: {} });
    expect(record.phaseOf(vmId)).toBeUndefined();
    record.advance(vmId, VmMaintenancePhase.Done);
    expect(record.isCompleted).toBe(true);
    const content = JSON.parse(JSON.stringify(record.toContent())) as MaintenanceContent;
    expect(new MaintenanceRecord(content).isCompleted).toBe(true);
});
