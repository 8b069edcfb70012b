import { create } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import {
    AcknowledgeResponseSchema,
    CancelResponseSchema,
    LookUpResponseSchema,
    OperatorQueryResultSchema,
    OperatorResultSchema,
    PollResponseSchema,
    ReportResponseSchema,
    SubmitResponseSchema,
} from "@waxwingspread/protocol";
import type {
    AcknowledgeRequest,
    AcknowledgeResponse,
    CancelRequest,
    CancelResponse,
    ErrorDetail,
    LookUpRequest,
    LookUpResponse,
    OperatorCommand,
    OperatorQuery,
    OperatorQueryResult,
    OperatorResult,
    PollRequest,
    PollResponse,
    ReportRequest,
    ReportResponse,
    SubmitRequest,
    SubmitResponse,
} from "@waxwingspread/protocol";

/** Calls that only the leader answers. */
export enum ControlMethod {
    Submit = "submit",
    LookUp = "lookUp",
    Cancel = "cancel",
    Acknowledge = "acknowledge",
    Report = "report",
    Poll = "poll",
    Execute = "execute",
    Query = "query",
}

/** Request type of each method. */
export interface ControlRequests {
    [ControlMethod.Submit]: SubmitRequest;
    [ControlMethod.LookUp]: LookUpRequest;
    [ControlMethod.Cancel]: CancelRequest;
    [ControlMethod.Acknowledge]: AcknowledgeRequest;
    [ControlMethod.Report]: ReportRequest;
    [ControlMethod.Poll]: PollRequest;
    [ControlMethod.Execute]: OperatorCommand;
    [ControlMethod.Query]: OperatorQuery;
}

/** Response type of each method. */
export interface ControlResponses {
    [ControlMethod.Submit]: SubmitResponse;
    [ControlMethod.LookUp]: LookUpResponse;
    [ControlMethod.Cancel]: CancelResponse;
    [ControlMethod.Acknowledge]: AcknowledgeResponse;
    [ControlMethod.Report]: ReportResponse;
    [ControlMethod.Poll]: PollResponse;
    [ControlMethod.Execute]: OperatorResult;
    [ControlMethod.Query]: OperatorQueryResult;
}

/** One call with its method, as a union over all methods. */
export type ControlCall = {
    [Method in ControlMethod]: { method: Method; request: ControlRequests[Method] };
}[ControlMethod];

/** One response with its method, as a union over all methods. */
export type ControlReply = {
    [Method in ControlMethod]: { method: Method; response: ControlResponses[Method] };
}[ControlMethod];

const toErrorResult = (error: ErrorDetail): MessageInitShape<typeof LookUpResponseSchema> => ({
    result: { case: "error", value: error },
});

const errorReplies: Record<ControlMethod, (error: ErrorDetail) => ControlReply> = {
    [ControlMethod.Submit]: error => ({
        method: ControlMethod.Submit,
        response: create(SubmitResponseSchema, { result: { case: "error", value: error } }),
    }),
    [ControlMethod.LookUp]: error => ({
        method: ControlMethod.LookUp,
        response: create(LookUpResponseSchema, toErrorResult(error)),
    }),
    [ControlMethod.Cancel]: error => ({
        method: ControlMethod.Cancel,
        response: create(CancelResponseSchema, { error }),
    }),
    [ControlMethod.Acknowledge]: error => ({
        method: ControlMethod.Acknowledge,
        response: create(AcknowledgeResponseSchema, { error }),
    }),
    [ControlMethod.Report]: error => ({
        method: ControlMethod.Report,
        response: create(ReportResponseSchema, { error }),
    }),
    [ControlMethod.Poll]: error => ({
        method: ControlMethod.Poll,
        response: create(PollResponseSchema, { error }),
    }),
    [ControlMethod.Execute]: error => ({
        method: ControlMethod.Execute,
        response: create(OperatorResultSchema, { error }),
    }),
    [ControlMethod.Query]: error => ({
        method: ControlMethod.Query,
        response: create(OperatorQueryResultSchema, { error }),
    }),
};

/** Wraps an error in the response type of a method. */
export const errorReply = (method: ControlMethod, error: ErrorDetail): ControlReply => errorReplies[method](error);
