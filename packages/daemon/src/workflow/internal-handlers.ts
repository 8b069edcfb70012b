import { Refusal, refused } from "@waxwingspread/workflow";
import type { CallOrigin, CallResult, RefusedCall, Respond, Times, WorkflowNode } from "@waxwingspread/workflow";
import type { InternalHandler } from "./internal-listener.js";
import { ForwardedOperation, forwardedPath, PREVIEW_PATH } from "./operations.js";
import type {
    ForwardedRequests,
    ForwardedResponse,
    JobRequest,
    KeyedRequest,
    PreviewRequest,
    PreviewResponse,
} from "./operations.js";

/** Starts a call to the workflow node and resolves with its result. */
export type NodeCall = <Value>(start: (respond: Respond<Value>, times: Times) => void) => Promise<CallResult<Value>>;

/** Arguments of {@link createForwardedHandlers}. */
export interface ForwardedHandlersOptions {
    node: WorkflowNode;
    call: NodeCall;
    leaderHost: () => string | undefined;
}

type OperationStarter<Operation extends ForwardedOperation> = (
    node: WorkflowNode,
    request: ForwardedRequests[Operation],
    respond: Respond<never>,
    times: Times,
) => void;

const originOf = ({ address, keyDigest }: KeyedRequest): CallOrigin => ({
    ...address,
    keyDigest: keyDigest ?? undefined,
});

const originOfJobRequest = ({ address, keyDigest }: JobRequest): CallOrigin | undefined =>
    address === undefined ? undefined : originOf({ address, keyDigest: keyDigest ?? null });

/** Refusals that entries of former versions don't know; these can't read the keys of requests either. */
const LATER_REFUSALS: ReadonlySet<Refusal> = new Set([Refusal.Unauthenticated, Refusal.QuotaExceeded]);

/** Returns a result that the sender of the request can handle. */
export const resultForSender = <Result extends CallResult<unknown>>(
    result: Result,
    { keyDigest }: Pick<KeyedRequest, "keyDigest">,
): Result | RefusedCall => {
    const isUnknown = keyDigest === undefined && !result.ok && LATER_REFUSALS.has(result.refusal);
    return isUnknown ? refused(Refusal.NotRun) : result;
};

const OPERATION_STARTERS: { [Operation in ForwardedOperation]: OperationStarter<Operation> } = {
    [ForwardedOperation.Submit]: (node, request, respond, times) =>
        node.submit(originOf(request), request.job, respond as Respond<void>, times),
    [ForwardedOperation.Cancel]: (node, request, respond, times) =>
        node.cancel(request.jobId, respond as Respond<void>, times, originOfJobRequest(request)),
    [ForwardedOperation.JobState]: (node, request, respond, times) =>
        node.jobState(request.jobId, respond as Respond<unknown>, times, originOfJobRequest(request)),
    [ForwardedOperation.PendingJobs]: (node, request, respond, times) =>
        node.pendingJobs(originOf(request), respond as Respond<unknown>, times),
};

/** Returns pairs of path and handler for the calls that entries forward to the leader. */
export const createForwardedHandlers = (
    { node, call, leaderHost }: ForwardedHandlersOptions,
): [string, InternalHandler][] =>
    Object.values(ForwardedOperation).map(operation => {
        const start = OPERATION_STARTERS[operation] as OperationStarter<ForwardedOperation>;
        const handle = async (request: ForwardedRequests[typeof operation]): Promise<unknown> => {
            const result = await call<never>((respond, times) => start(node, request, respond, times));
            const answer = resultForSender(result, request);
            return { result: answer, leaderHost: leaderHost() } satisfies ForwardedResponse<typeof operation>;
        };
        return [forwardedPath(operation), handle];
    });

/** Returns the path and the handler of the preview of a submission. */
export const createPreviewHandler = (
    { node, call, leaderHost }: ForwardedHandlersOptions,
): [string, InternalHandler] => [
    PREVIEW_PATH,
    async ({ address, job }: PreviewRequest): Promise<PreviewResponse> => ({
        result: await call((respond, times) => node.previewJob(address, job, respond, times)),
        leaderHost: leaderHost(),
    }),
];
