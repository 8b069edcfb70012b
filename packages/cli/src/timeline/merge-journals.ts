import { compareHybridTimes } from "@waxwingspread/common";
import type { JournalEvent } from "@waxwingspread/protocol";

/** Journal of one process, possibly incomplete. */
export interface JournalPart {
    readonly process: string;
    readonly address: string;
    readonly events: readonly JournalEvent[];
    /** Events that the bounded journal had dropped before it was read. */
    readonly dropped: number;
    /** Whether the process may have more events than were requested. */
    readonly limited: boolean;
}

/** A process whose journal could not be read. */
export interface UnreachableProcess {
    /** Name of the VM; undefined if only an address was given. */
    readonly process: string | undefined;
    readonly address: string;
    readonly message: string;
}

/** Request whose events a timeline is limited to; without a filter, it contains all events. */
export interface RequestFilter {
    readonly customer: string;
    readonly requestId: string;
}

/** Events of all processes in causal order, and the processes whose events may be missing. */
export interface Timeline {
    readonly request: RequestFilter | undefined;
    readonly processes: readonly string[];
    readonly events: readonly JournalEvent[];
    readonly unreachable: readonly UnreachableProcess[];
    readonly dropped: readonly { readonly process: string; readonly events: number }[];
    readonly limited: readonly string[];
}

const compareEvents = (a: JournalEvent, b: JournalEvent): number =>
    compareHybridTimes(a, b) || a.process.localeCompare(b.process);

const eventKey = (event: JournalEvent): string => `${event.process} ${event.wallMs} ${event.logical}`;

/** Merges journals by hybrid logical clock. A process that was read at two addresses counts once. */
export const mergeJournals = (
    parts: readonly JournalPart[],
    unreachable: readonly UnreachableProcess[],
    request?: RequestFilter,
): Timeline => {
    const partsByProcess = new Map(parts.map(part => [part.process, part]));
    const uniqueEvents = new Map(parts.flatMap(part => part.events).map(event => [eventKey(event), event]));
    const matchingEvents = [...uniqueEvents.values()].filter(event =>
        request === undefined || (event.customer === request.customer && event.requestId === request.requestId)
    );
    const sortedParts = [...partsByProcess.values()].sort((a, b) => a.process.localeCompare(b.process));
    return {
        request,
        processes: sortedParts.map(part => part.process),
        events: matchingEvents.sort(compareEvents),
        unreachable,
        dropped: sortedParts.filter(part => part.dropped > 0).map(part => ({
            process: part.process,
            events: part.dropped,
        })),
        limited: sortedParts.filter(part => part.limited).map(part => part.process),
    };
};
