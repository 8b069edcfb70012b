import { WorkKind } from "@waxwingspread/protocol";
import type { Order, Resources } from "@waxwingspread/protocol";

const WORK_KIND_NAMES: Record<WorkKind, string> = {
    [WorkKind.UNSPECIFIED]: "unspecified",
    [WorkKind.LATENCY_CRITICAL]: "latency-critical",
    [WorkKind.BATCH]: "batch",
    [WorkKind.STANDING]: "standing",
};

const resourcesOf = (resources: Resources | undefined) => ({
    cpuMillicores: resources?.cpuMillicores ?? 0,
    memoryMebibytes: resources?.memoryMebibytes ?? 0,
    accelerators: resources?.accelerators ?? 0,
});

const textOf = (bytes: Uint8Array): string => Buffer.from(bytes).toString("utf8");

/** Returns the JSON body of a start request. The stored texts of payload and checkpoint are inserted unchanged. */
export const startBodyOf = (
    order: Order,
    payload: Uint8Array,
    checkpoint: Uint8Array | undefined,
    replyTo: string,
): string => {
    const fields = JSON.stringify({
        incarnation: order.incarnation,
        customer: order.customer,
        requestId: order.requestId,
        attemptNumber: order.attemptNumber,
        term: order.term,
        startDeadlineMs: order.startDeadlineBackendMs,
        leaseExpiresMs: order.leaseExpiresBackendMs,
        workClass: order.specification?.workClass ?? "",
        workKind: WORK_KIND_NAMES[order.workKind],
        resources: resourcesOf(order.reserved),
        replyTo,
    });
    const checkpointMember = checkpoint ? `,"checkpoint":${textOf(checkpoint)}` : "";
    return `${fields.slice(0, -1)},"payload":${textOf(payload)}${checkpointMember}}`;
};
