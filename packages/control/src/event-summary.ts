import type { JournalRecord } from "@waxwingspread/common";
import { AttemptEnd, HealthState, Outcome, Reason, ZoneState } from "@waxwingspread/protocol";
import type { BlobReference, Event } from "@waxwingspread/protocol";

type EventCase = Exclude<Event["kind"]["case"], undefined>;
type EventValue<Case extends EventCase> = Extract<Event["kind"], { case: Case }>["value"];

type Summarizers = { [Case in EventCase]?: (value: EventValue<Case>) => JournalRecord };

const toWords = (name: string | undefined): string => (name ?? "unknown").toLowerCase().replaceAll("_", " ");

const summarizers: Summarizers = {
    contractWritten: value => ({
        name: "contract written",
        customer: value.contract?.customer ?? "",
        detail: `revision ${value.revision}`,
    }),
    contractRemoved: value => ({
        name: "contract removed",
        customer: value.customer,
        detail: `revision ${value.revision}`,
    }),
    zoneChanged: value => ({
        name: "availability zone changed",
        peer: value.availabilityZone?.name ?? "",
        detail: `${toWords(ZoneState[value.availabilityZone?.state ?? 0])}, revision ${value.revision}`,
    }),
    backendServerJoined: value => ({
        name: "backend server joined",
        peer: value.backendServer?.backendServerId ?? "",
        detail: `zone ${value.backendServer?.availabilityZone ?? ""}, rack ${value.backendServer?.rack ?? ""}`,
    }),
    backendServerLeaving: value => ({ name: "backend server leaving", peer: value.backendServerId }),
    backendServerRemoved: value => ({ name: "backend server removed", peer: value.backendServerId }),
    backendServerHealthChanged: value => ({
        name: "backend server health changed",
        peer: value.backendServerId,
        detail: toWords(HealthState[value.health]),
    }),
    jobAccepted: value => ({
        name: "job accepted",
        customer: value.specification?.customer ?? "",
        requestId: value.specification?.requestId ?? "",
        peer: value.entryId,
        detail: value.specification?.workClass ?? "",
    }),
    attemptAssigned: value => ({
        name: "attempt assigned",
        customer: value.customer,
        requestId: value.requestId,
        peer: value.attempt?.backendServerId ?? "",
        detail: `attempt ${value.attempt?.number ?? 0}`,
    }),
    attemptRunning: value => ({
        name: "attempt running",
        customer: value.customer,
        requestId: value.requestId,
        detail: `attempt ${value.attemptNumber}`,
    }),
    attemptStopping: value => ({
        name: "attempt stopping",
        customer: value.customer,
        requestId: value.requestId,
        detail: `attempt ${value.attemptNumber}: ${toWords(Reason[value.reason])}`,
    }),
    attemptEnded: value => ({
        name: "attempt ended",
        customer: value.customer,
        requestId: value.requestId,
        detail: `attempt ${value.attemptNumber}: ${toWords(AttemptEnd[value.end])}`,
    }),
    jobRequeued: value => ({
        name: "job requeued",
        customer: value.customer,
        requestId: value.requestId,
        detail: toWords(Reason[value.reason]),
    }),
    jobEnded: value => ({
        name: "job ended",
        customer: value.customer,
        requestId: value.requestId,
        detail: `${toWords(Outcome[value.outcome])}: ${toWords(Reason[value.reason])}`,
    }),
    cancelRequested: value => ({ name: "cancel requested", customer: value.customer, requestId: value.requestId }),
    termStarted: value => ({ name: "term started", peer: value.leaderId, detail: `term ${value.term}` }),
};

/** Returns the journal's record of an event, or undefined for events that aren't journaled. */
export const summarizeEvent = (event: Event): JournalRecord | undefined => {
    if (event.kind.case === undefined) {
        return undefined;
    }
    const summarize = summarizers[event.kind.case] as ((value: unknown) => JournalRecord) | undefined;
    return summarize?.(event.kind.value);
};

/** Returns whether a blob is stored separately; a small blob is kept inline in its reference. */
export const isStoredSeparately = (reference: BlobReference): boolean => reference.inline.length === 0;

/** Returns the blobs that the state refers to after an event is applied. */
export const referencedBlobsOf = (event: Event): BlobReference[] => {
    switch (event.kind.case) {
        case "jobAccepted":
            return [event.kind.value.specification?.payload].filter(reference => reference !== undefined);
        case "attemptEnded":
            return [event.kind.value.checkpoint].filter(reference => reference !== undefined);
        case "jobEnded":
            return [event.kind.value.answer].filter(reference => reference !== undefined);
        default:
            return [];
    }
};
