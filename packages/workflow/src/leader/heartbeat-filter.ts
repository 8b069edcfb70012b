import type { HeartbeatReport } from "../model/heartbeat.js";
import type { WorkflowState } from "../state/workflow-state.js";
import { KnownServices } from "./known-services.js";
import { ServerEventKind } from "./server-event.js";
import type { ServerEvent } from "./server-event.js";
import type { ServerView } from "./server-view.js";

/** Largest increase of a sequence number between two heartbeats. A server that misses more than a lease is forgotten. */
const MAX_SEQUENCE_STEP = 10_000_000;
/** Largest distance of an end from the last one recorded; a server without answers has few more ends than tasks. */
const MAX_END_STEP = 1_000_000;

/** Finds the heartbeats that another program has sent under the id of a server. */
export class HeartbeatFilter {
    readonly #state: WorkflowState;
    readonly #services: KnownServices;

    constructor(state: WorkflowState) {
        this.#state = state;
        this.#services = new KnownServices(state);
    }

    /** Returns the event of a heartbeat that is to be dropped; undefined if it may be one of the server. */
    check(report: HeartbeatReport, server: ServerView | undefined, nowMs: number): ServerEvent | undefined {
        const isKnownLife = server?.incarnation === report.incarnation;
        if (!isKnownLife && !this.#services.has(report.service, nowMs)) {
            return droppedEventOf(report, ServerEventKind.UnknownService);
        }
        return hasPlausibleSequence(report, server, this.#state.acknowledgedEnd(report))
            ? undefined
            : droppedEventOf(report, ServerEventKind.Implausible);
    }
}

/**
 * Whether a heartbeat's sequence numbers can follow those that the server has reported before. Taken over, a number far
 * beyond them would make all later heartbeats, or ends, of the server count as known.
 */
const hasPlausibleSequence = (
    report: HeartbeatReport,
    server: ServerView | undefined,
    acknowledgedEnd: number,
): boolean => {
    const isKnown = server?.incarnation === report.incarnation;
    if (isKnown && server.sequence !== undefined && report.sequence - server.sequence > MAX_SEQUENCE_STEP) {
        return false;
    }
    const lastEnd = isKnown ? Math.max(server.lastProposedEnd, acknowledgedEnd) : acknowledgedEnd;
    // Without a recorded end, any number may be the first that this cluster hears of.
    return lastEnd === 0 || report.ended.every(ended => ended.sequence - lastEnd <= MAX_END_STEP);
};

const droppedEventOf = (
    { serverId, incarnation, vmId }: HeartbeatReport,
    kind: ServerEventKind,
): ServerEvent => ({ kind, serverId, incarnation, vmId, runs: 0 });
