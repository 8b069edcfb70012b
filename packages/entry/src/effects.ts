import type { MessageShape } from "@bufbuild/protobuf";
import type { JournalRecord } from "@waxwingspread/common";
import type { ControlService } from "@waxwingspread/protocol";

type ControlMethods = (typeof ControlService)["method"];

/** Calls that an entry makes to control replicas. */
export type ControlMethod =
    | "submit"
    | "lookUp"
    | "cancel"
    | "acknowledge"
    | "report"
    | "poll"
    | "putBlob"
    | "getBlob";

/** Request message of a control method. */
export type ControlRequest<M extends ControlMethod = ControlMethod> = MessageShape<ControlMethods[M]["input"]>;

/** Response message of a control method. */
export type ControlResponse<M extends ControlMethod = ControlMethod> = MessageShape<ControlMethods[M]["output"]>;

/** Chosen by the shell, unique among the open requests of one process. */
export type RequestHandle = number;

/** An HTTP request whose body was read completely. */
export interface HttpRequest {
    method: string;
    /** With the query string. */
    path: string;
    headers: Record<string, string | string[] | undefined>;
    body: Uint8Array;
}

/** Response of a backend server; `body` is its JSON text. */
export interface BackendServerReply {
    status: number;
    body: string;
}

/** Whom a control call is meant for. The address is always set; the kind serves logs and metrics. */
export interface ControlTarget {
    kind: "leader" | "replica";
    address: string;
}

export enum EntryEffectKind {
    CallControl = "call-control",
    CallBackendServer = "call-backend-server",
    ReplyToCaller = "reply-to-caller",
    ReplyToBackendServer = "reply-to-backend-server",
    JournalEntry = "journal-entry",
    Count = "count",
}

/** Counters of an entry. */
export enum EntryMetric {
    RequestsReceived = "requests-received",
    RequestsRefused = "requests-refused",
    StartsSent = "starts-sent",
    StartsAccepted = "starts-accepted",
    StartsRefused = "starts-refused",
    StartsUnknown = "starts-unknown",
    StartsWithheld = "starts-withheld",
    StopsSent = "stops-sent",
    ResultsReceived = "results-received",
    ResultsSettled = "results-settled",
    AnnouncementsReceived = "announcements-received",
    ReportsSent = "reports-sent",
    ControlCallsFailed = "control-calls-failed",
    WaitsRefused = "waits-refused",
    CorruptBlobs = "corrupt-blobs",
}

/** The shell calls the method of `ControlService` and passes on the outcome with the same `callId`. */
export interface CallControl {
    kind: EntryEffectKind.CallControl;
    callId: number;
    target: ControlTarget;
    method: ControlMethod;
    request: ControlRequest;
    timeoutMs: number;
}

/** The shell sends the JSON text to the backend server and passes on the outcome with the same `callId`. */
export interface CallBackendServer {
    kind: EntryEffectKind.CallBackendServer;
    callId: number;
    address: string;
    method: "POST";
    path: string;
    body: string;
    timeoutMs: number;
}

/** Exactly one of `json` (JSON text) and `bytes` is set. */
export interface ReplyToCaller {
    kind: EntryEffectKind.ReplyToCaller;
    requestHandle: RequestHandle;
    status: number;
    headers: Record<string, string>;
    json?: string;
    bytes?: Uint8Array;
}

export interface ReplyToBackendServer {
    kind: EntryEffectKind.ReplyToBackendServer;
    requestHandle: RequestHandle;
    status: number;
    headers: Record<string, string>;
    /** JSON text. */
    json: string;
}

export interface JournalEntry {
    kind: EntryEffectKind.JournalEntry;
    record: JournalRecord;
}

export interface Count {
    kind: EntryEffectKind.Count;
    metric: EntryMetric;
    amount: number;
}

export type EntryEffect =
    | CallControl
    | CallBackendServer
    | ReplyToCaller
    | ReplyToBackendServer
    | JournalEntry
    | Count;
