import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { messageOf, StepError } from "@waxwingspread/common";
import { ControlMethod } from "@waxwingspread/control";
import type { ControlReply, ControlRequests, ControlResponses } from "@waxwingspread/control";
import {
    ControlService,
    ErrorCode,
    GetBlobResponseSchema,
    OperatorResultSchema,
    PutBlobResponseSchema,
    ReplicaAckSchema,
    ReplicaService,
} from "@waxwingspread/protocol";
import type {
    DescribeResponse,
    GetBlobRequest,
    GetBlobResponse,
    OperatorCommand,
    OperatorResult,
    PutBlobRequest,
    PutBlobResponse,
    ReplicaMessage,
} from "@waxwingspread/protocol";

/** Operations of a control replica that its routes call. */
export interface ControlRouteTarget {
    readonly name: string;
    readonly diskId: string;
    call<Method extends ControlMethod>(method: Method, request: ControlRequests[Method]): Promise<ControlReply>;
    /** Handles messages of one peer and returns the replies to it that are available immediately. */
    receive(messages: readonly ReplicaMessage[]): ReplicaMessage[];
    describe(): DescribeResponse;
    putBlob(request: PutBlobRequest): Promise<void>;
    getBlob(request: GetBlobRequest): Promise<Uint8Array | undefined>;
    /** Returns the reason why a learner cannot be promoted yet, or undefined if it can. */
    obstacleToPromotion(diskId: string): Promise<string | undefined>;
}

/** Registers the replica and control services, which call `target`. */
export const controlRoutes = (target: ControlRouteTarget) => (router: ConnectRouter): void => {
    router.service(ReplicaService, {
        send: envelope => create(ReplicaAckSchema, { messages: target.receive(envelope.messages) }),
        describe: () => target.describe(),
    });
    router.service(ControlService, {
        submit: request => respond(target, ControlMethod.Submit, request),
        lookUp: request => respond(target, ControlMethod.LookUp, request),
        cancel: request => respond(target, ControlMethod.Cancel, request),
        acknowledge: request => respond(target, ControlMethod.Acknowledge, request),
        report: request => respond(target, ControlMethod.Report, request),
        poll: request => respond(target, ControlMethod.Poll, request),
        execute: request => execute(target, request),
        query: request => respond(target, ControlMethod.Query, request),
        putBlob: request => putBlob(target, request),
        getBlob: request => getBlob(target, request),
    });
};

const respond = async <Method extends ControlMethod>(
    target: ControlRouteTarget,
    method: Method,
    request: ControlRequests[Method],
): Promise<ControlResponses[Method]> => {
    const reply = await target.call(method, request);
    return reply.response as ControlResponses[Method];
};

const execute = async (target: ControlRouteTarget, command: OperatorCommand): Promise<OperatorResult> => {
    if (command.kind.case === "promoteReplicaDiskId") {
        const obstacle = await target.obstacleToPromotion(command.kind.value);
        if (obstacle !== undefined) {
            const error = new StepError(ErrorCode.UNAVAILABLE, "promote replica", command.kind.value, obstacle);
            return create(OperatorResultSchema, { error: error.toDetail() });
        }
    }
    return respond(target, ControlMethod.Execute, command);
};

const putBlob = async (target: ControlRouteTarget, request: PutBlobRequest): Promise<PutBlobResponse> => {
    try {
        await target.putBlob(request);
        return create(PutBlobResponseSchema, { diskId: target.diskId });
    }
    catch (error) {
        return create(PutBlobResponseSchema, { error: toStepError(error, "store blob", target.name).toDetail() });
    }
};

const getBlob = async (target: ControlRouteTarget, request: GetBlobRequest): Promise<GetBlobResponse> => {
    try {
        const data = await target.getBlob(request);
        if (data !== undefined) {
            return create(GetBlobResponseSchema, { data });
        }
        const missing = new StepError(ErrorCode.UNKNOWN_REQUEST, "read blob", target.name, "the blob is not here");
        return create(GetBlobResponseSchema, { error: missing.toDetail() });
    }
    catch (error) {
        return create(GetBlobResponseSchema, { error: toStepError(error, "read blob", target.name).toDetail() });
    }
};

const toStepError = (error: unknown, step: string, peer: string): StepError =>
    error instanceof StepError ? error : new StepError(ErrorCode.DISK_FAILED, step, peer, messageOf(error));
