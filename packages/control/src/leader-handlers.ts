import { create } from "@bufbuild/protobuf";
import { StepError } from "@waxwingspread/common";
import {
    ErrorCode,
    OperatorQueryResultSchema,
    OperatorResultSchema,
    QueryKind,
    VmViewSchema,
} from "@waxwingspread/protocol";
import type {
    OperatorCommand,
    OperatorQuery,
    OperatorQueryResult,
    OperatorResult,
    VmView,
} from "@waxwingspread/protocol";
import { ControlMethod, errorReply } from "./calls.js";
import type { ControlCall, ControlReply } from "./calls.js";
import type { LeaderSession } from "./leader-session.js";
import { toRequestedChange } from "./membership-commands.js";
import type { ReplicatedLogPort } from "./replicated-log-port.js";

/** Context that is passed to the call handlers. */
export interface HandlerContext {
    session: LeaderSession;
    log: ReplicatedLogPort;
    authorizeOperator: (token: string) => boolean;
    nowMs: number;
}

type HandledMethod = Exclude<ControlMethod, ControlMethod.Poll>;
type CallOf<Method extends ControlMethod> = Extract<ControlCall, { method: Method }>;
type Handlers = { [Method in HandledMethod]: (call: CallOf<Method>, context: HandlerContext) => ControlReply };

const INVALID_TOKEN_MESSAGE = "the operator token is missing or wrong";

const buildVmViews = (context: HandlerContext): VmView[] => [
    ...context.session.entries.all().map(entry =>
        create(VmViewSchema, {
            name: entry.entryId,
            role: "entry",
            address: entry.address,
            operatorsAddress: entry.operatorsAddress,
            availabilityZone: entry.availabilityZone,
            state: entry.leaving ? "leaving" : "in service",
        })
    ),
    ...context.log.membership.members.map(member =>
        create(VmViewSchema, {
            name: member.identity?.name ?? "",
            role: "control",
            address: member.identity?.address ?? "",
            state: member.identity?.address === context.log.leaderAddress ? "leader" : "follower",
        })
    ),
];

const changeMembership = (command: OperatorCommand, context: HandlerContext): OperatorResult | undefined => {
    const change = toRequestedChange(command, context.log.membership);
    if (change === undefined) {
        return undefined;
    }
    const { scheduler } = context.session;
    const recordedResult = scheduler.findCommandResult(command);
    if (recordedResult !== undefined) {
        return recordedResult;
    }
    // If the leader was lost before it recorded the command, the change may be in effect already; that is success too.
    if (!change.isAlreadyApplied) {
        const result = context.log.changeMembership(change.change, context.nowMs);
        if (result.isErr()) {
            return create(OperatorResultSchema, { error: result.error.toDetail() });
        }
        context.session.awaitIndex(result.value);
    }
    return scheduler.recordCommandSuccess(command, context.nowMs);
};

const execute = (command: OperatorCommand, context: HandlerContext): OperatorResult =>
    changeMembership(command, context) ?? context.session.scheduler.execute(command, context.nowMs);

const query = (request: OperatorQuery, context: HandlerContext): OperatorQueryResult => {
    const result = context.session.scheduler.query(request);
    if (request.kind !== QueryKind.VMS) {
        return result;
    }
    return create(OperatorQueryResultSchema, {
        ...result,
        vms: buildVmViews(context),
        membership: context.log.membership,
    });
};

const handlers: Handlers = {
    [ControlMethod.Submit]: (call, { session, nowMs }) => ({
        method: ControlMethod.Submit,
        response: session.scheduler.submit(call.request, nowMs),
    }),
    [ControlMethod.LookUp]: (call, { session }) => ({
        method: ControlMethod.LookUp,
        response: session.scheduler.lookUp(call.request),
    }),
    [ControlMethod.Cancel]: (call, { session, nowMs }) => ({
        method: ControlMethod.Cancel,
        response: session.scheduler.cancel(call.request, nowMs),
    }),
    [ControlMethod.Acknowledge]: (call, { session, nowMs }) => ({
        method: ControlMethod.Acknowledge,
        response: session.scheduler.acknowledge(call.request, nowMs),
    }),
    [ControlMethod.Report]: (call, { session, nowMs }) => ({
        method: ControlMethod.Report,
        response: session.scheduler.report(call.request, nowMs),
    }),
    [ControlMethod.Execute]: (call, context) => ({
        method: ControlMethod.Execute,
        response: execute(call.request, context),
    }),
    [ControlMethod.Query]: (call, context) => ({
        method: ControlMethod.Query,
        response: query(call.request, context),
    }),
};

const operatorTokenOf = (call: ControlCall): string | undefined =>
    call.method === ControlMethod.Execute || call.method === ControlMethod.Query
        ? call.request.operatorToken
        : undefined;

/** Handles a call on the leader, after checking the token of operator calls, and returns the reply. */
export const handleLeaderCall = (
    call: Exclude<ControlCall, { method: ControlMethod.Poll }>,
    context: HandlerContext,
): ControlReply => {
    const token = operatorTokenOf(call);
    if (token !== undefined && !context.authorizeOperator(token)) {
        const error = new StepError(ErrorCode.UNAUTHENTICATED, "authorize operator", "", INVALID_TOKEN_MESSAGE);
        return errorReply(call.method, error.toDetail());
    }
    const handler = handlers[call.method] as (handled: typeof call, context: HandlerContext) => ControlReply;
    return handler(call, context);
};
