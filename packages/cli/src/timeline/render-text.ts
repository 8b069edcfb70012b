import type { JournalEvent } from "@waxwingspread/protocol";
import { formatTable } from "../output/table.js";
import type { Timeline, UnreachableProcess } from "./merge-journals.js";

const OFFSET_DECIMALS = 3;

/** Returns the time since the first event in milliseconds, such as `+12.500`. */
export const formatOffset = (event: JournalEvent, first: JournalEvent | undefined): string =>
    `+${(event.wallMs - (first?.wallMs ?? event.wallMs)).toFixed(OFFSET_DECIMALS)}`;

/** Returns the subject of a timeline and its numbers of events and processes. */
export const timelineTitle = ({ request, events, processes }: Timeline): string => {
    const subject = request === undefined ? "all requests" : `${request.customer}/${request.requestId}`;
    return `${subject}: ${events.length} events, ${processes.length} processes read`;
};

const unreachableText = ({ process, address, message }: UnreachableProcess): string => {
    const subject = process === undefined ? address : `${process} (${address || "no address"})`;
    return `not reached: ${subject}: ${message}`;
};

/** Lists what may be missing from a timeline, one line for each process. */
export const timelineGaps = ({ unreachable, dropped, limited }: Timeline): string[] => [
    ...unreachable.map(unreachableText),
    ...dropped.map(({ process, events }) => `dropped: ${process} dropped ${events} older events`),
    ...limited.map(process => `limited: ${process} may have more events; raise --limit`),
];

/** Renders a timeline as a table, followed by its gaps. */
export const renderText = (timeline: Timeline): string => {
    const first = timeline.events[0];
    const rows = timeline.events.map(event => [
        new Date(event.wallMs).toISOString(),
        formatOffset(event, first),
        event.process,
        event.name,
        ...(timeline.request === undefined ? [[event.customer, event.requestId].filter(Boolean).join("/")] : []),
        event.peer,
        event.detail,
    ]);
    const request = timeline.request === undefined ? ["REQUEST"] : [];
    const table = formatTable(["TIME", "OFFSET-MS", "PROCESS", "EVENT", ...request, "PEER", "DETAIL"], rows);
    const gaps = timelineGaps(timeline).map(line => `${line}\n`).join("");
    return `${timelineTitle(timeline)}\n${table}${gaps}`;
};
