import type { MessageShape } from "@bufbuild/protobuf";
import type { JournalRecord } from "@waxwingspread/common";
import type { ControlService } from "@waxwingspread/protocol";

type ControlMethods = (typeof ControlService)["method"];

/** Methods of `ControlService` that an entry calls. */
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

/** Identifies an open request. Assigned by the host process, unique among its open requests. */
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

/** Recipient of a control call. The call goes to `address`; `kind` is informational, for logs and metrics. */
export interface ControlTarget {
    kind: "leader" | "replica";
    address: string;
}

/** Discriminates the effects of an entry. */
export enum EntryEffectKind {
    CallControl = "call-control",
    CallBackendServer = "call-backend-server",
    ReplyToCaller = "reply-to-caller",
    ReplyToBackendServer = "reply-to-backend-server",
    JournalEntry = "journal-entry",
    Count = "count",
}

/** Events that an entry counts. */
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

/** The host calls the method of `ControlService` and passes the outcome back with the same `callId`. */
export interface CallControl {
    kind: EntryEffectKind.CallControl;
    callId: number;
    target: ControlTarget;
    method: ControlMethod;
    request: ControlRequest;
    timeoutMs: number;
}

/** The host sends the JSON text to the backend server and passes the outcome back with the same `callId`. */
export interface CallBackendServer {
    kind: EntryEffectKind.CallBackendServer;
    callId: number;
    address: string;
    method: "POST";
    path: string;
    body: string;
    timeoutMs: number;
}

/** Reply to a caller's request. Exactly one of `json` (JSON text) and `bytes` is set. */
export interface ReplyToCaller {
    kind: EntryEffectKind.ReplyToCaller;
    requestHandle: RequestHandle;
    status: number;
    headers: Record<string, string>;
    json?: string;
    bytes?: Uint8Array;
}

/** Reply to a backend server's request. */
export interface ReplyToBackendServer {
    kind: EntryEffectKind.ReplyToBackendServer;
    requestHandle: RequestHandle;
    status: number;
    headers: Record<string, string>;
    /** JSON text. */
    json: string;
}

/** The host adds the record to the journal of the process. */
export interface JournalEntry {
    kind: EntryEffectKind.JournalEntry;
    record: JournalRecord;
}

/** The host increases a counter by `amount`. */
export interface Count {
    kind: EntryEffectKind.Count;
    metric: EntryMetric;
    amount: number;
}

/** An action that an entry requests from its host. */
export type EntryEffect =
    | CallControl
    | CallBackendServer
    | ReplyToCaller
    | ReplyToBackendServer
    | JournalEntry
    | Count;
