import { messageOf } from "@waxwingspread/common";
import { Refusal, refused } from "@waxwingspread/workflow";
import type { CallResult, Respond, Times, WorkflowNode } from "@waxwingspread/workflow";
import type { Logger } from "pino";
import { MessageChannels } from "../transport/message-channel.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { CallKind } from "./call-queue.js";
import { LeaderCalls } from "./leader-calls.js";
import type { NodeDriver } from "./node-driver.js";
import { OperatorOperation } from "./operations.js";
import type { OperatorCall, OperatorRequests, OperatorValues, PassedOnCall } from "./operations.js";

/**
 * Longest time from a call's arrival to its answer or refusal: operators wait 1 s for an answer and call another process
 * after it. Election, queue and commit share this time.
 */
const MAX_WAIT_MS = 800;
/**
 * Longest configuration that a follower passes on to the leader. A longer one is sent there by the operator itself, which
 * takes less time than a further copy.
 */
export const MAX_PASSED_ON_BYTES = 512 * 1024;
/** Longest document that the leader returns to a follower; a longer one might exceed the limit of a message. */
const MAX_RETURNED_CHARACTERS = 1024 * 1024;

type Starter<Operation extends OperatorOperation> = (
    node: WorkflowNode,
    request: OperatorRequests[Operation],
    respond: Respond<OperatorValues[Operation]>,
    times: Times,
) => void;

const STARTERS: { [Operation in OperatorOperation]: Starter<Operation> } = {
    [OperatorOperation.Configure]: (node, { configuration }, respond, times) =>
        node.configure(configuration, respond, times),
    [OperatorOperation.ReadConfiguration]: (node, unusedRequest, respond, times) =>
        node.readConfiguration(respond, times),
    [OperatorOperation.OrderMaintenance]: (node, { order }, respond, times) =>
        node.orderMaintenance(order, respond, times),
    [OperatorOperation.MaintenanceState]: (node, { id }, respond, times) => node.maintenanceState(id, respond, times),
    [OperatorOperation.SetZone]: (node, { availabilityZone, isOutOfService }, respond, times) =>
        node.setZone(availabilityZone, isOutOfService, respond, times),
    [OperatorOperation.Leave]: (node, { serverId }, respond, times) => node.leave(serverId, respond, times),
};

/**
 * Operations that only the leader takes from its callers. A follower that was suspended would pass them on late, and undo a
 * newer order for the zone, or remove a server that has come back under its id. The others have the same effect late or twice.
 */
const LEADER_ONLY: ReadonlySet<OperatorOperation> = new Set([OperatorOperation.SetZone, OperatorOperation.Leave]);

/** Writes the log line of a change. */
type Reporter<Operation extends OperatorOperation> = (
    logger: Logger,
    request: OperatorRequests[Operation],
    result: CallResult<unknown>,
) => void;

const REPORTERS: { [Operation in OperatorOperation]?: Reporter<Operation> } = {
    [OperatorOperation.Configure]: (logger, { configuration: { version } }, result) =>
        logger.info({ version, result }, "configuration received"),
    [OperatorOperation.OrderMaintenance]: (logger, { order: { id, vmIds } }, result) =>
        logger.info({ maintenanceId: id, vms: vmIds.length, result }, "maintenance ordered"),
    [OperatorOperation.SetZone]: (logger, { availabilityZone, isOutOfService: isOut }, result) =>
        logger.info({ availabilityZone, isOut, result }, "availability zone changed"),
};

/** Dependencies of an {@link OperatorService}. */
export interface OperatorServiceOptions {
    /** Host of this replica. */
    host: string;
    /** Port of the listeners for calls that replicas pass on. */
    port: number;
    node: WorkflowNode;
    driver: Pick<NodeDriver, "call">;
    readLeaderHost: () => string | undefined;
    logger: Logger;
}

/**
 * A replica's part in the calls of operators: executes them as the leader, passes them on to it otherwise. Operators that
 * are redirected instead need a new connection to the leader, which waits behind those of servers and entries just when
 * the leader is late.
 */
export class OperatorService {
    readonly #options: OperatorServiceOptions;
    /** Connections of their own, so that a long document doesn't delay heartbeats. */
    readonly #channels = new MessageChannels();
    readonly #calls: LeaderCalls<OperatorCall, unknown>;
    /** Leader to which the calls in progress were passed on. */
    #leaderHost: string | undefined;
    /** Ends the calls in progress. */
    #abort = new AbortController();

    constructor(options: OperatorServiceOptions) {
        const { host, readLeaderHost } = options;
        this.#options = options;
        this.#calls = new LeaderCalls({
            host,
            maxWaitMs: MAX_WAIT_MS,
            readLeaderHost,
            readNowMs: monotonicNowMs,
            execute: (call, maxWaitMs) => this.#execute(call, maxWaitMs),
            forward: (call, leaderHost, maxWaitMs) => this.#forward(call, leaderHost, maxWaitMs),
        });
    }

    /** Handles an operator's call to this replica. It is refused with NotLeader if it has to go to the leader itself. */
    async call<Operation extends OperatorOperation>(
        operation: Operation,
        request: OperatorRequests[Operation],
    ): Promise<CallResult<OperatorValues[Operation]>> {
        const call = { operation, request };
        const result = LEADER_ONLY.has(operation)
            ? await this.#execute(call, MAX_WAIT_MS)
            : await this.#calls.handle(call, monotonicNowMs());
        return result as CallResult<OperatorValues[Operation]>;
    }

    /**
     * Executes a call that a follower has passed on. The result is NotLeader only if the answer is too long for the way back.
     * What this replica can't answer in time is NotRun: a redirect to it would let the caller wait once more.
     */
    async handlePassedOn({ operatorCall, maxWaitMs }: PassedOnCall): Promise<CallResult<unknown>> {
        const result = await this.#execute(operatorCall, Math.min(maxWaitMs, MAX_WAIT_MS));
        if (result.ok) {
            return lengthOf(result.value) > MAX_RETURNED_CHARACTERS ? refused(Refusal.NotLeader) : result;
        }
        return result.refusal === Refusal.NotLeader ? refused(Refusal.NotRun) : result;
    }

    /** Follows changes of the leader, to which open calls are passed on again. To be called every few tens of milliseconds. */
    tick(nowMs: number): void {
        this.#setLeader(this.#options.readLeaderHost());
        this.#calls.tick(nowMs);
    }

    /** Lets operators call the leader themselves: this replica passes no calls on any more. */
    stopForwarding(): void {
        this.#calls.stopForwarding();
    }

    /** Refuses the calls that wait and all later ones. */
    close(): void {
        this.#calls.close();
        this.#channels.close();
    }

    #setLeader(leaderHost: string | undefined): void {
        if (leaderHost !== this.#leaderHost) {
            this.#leaderHost = leaderHost;
            this.#abort.abort();
            this.#abort = new AbortController();
        }
    }

    /** Executes a call on the node of this replica. A commit that doesn't come in time leaves its effect uncertain. */
    async #execute({ operation, request }: OperatorCall, maxWaitMs: number): Promise<CallResult<unknown>> {
        const { driver, node, logger } = this.#options;
        const start = STARTERS[operation] as Starter<OperatorOperation>;
        const result = await withinTime(
            driver.call<never>(
                (respond, times) => start(node, request, respond as Respond<unknown>, times),
                CallKind.Operator,
                maxWaitMs,
            ),
            maxWaitMs,
        );
        const report = REPORTERS[operation] as Reporter<OperatorOperation> | undefined;
        report?.(logger, request, result);
        return result;
    }

    async #forward(
        operatorCall: OperatorCall,
        leaderHost: string,
        maxWaitMs: number,
    ): Promise<CallResult<unknown>> {
        const { port, logger } = this.#options;
        const body: PassedOnCall = { operatorCall, maxWaitMs };
        this.#setLeader(leaderHost);
        const { signal } = this.#abort;
        try {
            const response = await this.#channels.call({ host: leaderHost, port, body, timeoutMs: maxWaitMs, signal });
            return response as CallResult<unknown>;
        }
        catch (error) {
            const { operation } = operatorCall;
            logger.warn({ operation, leader: leaderHost, reason: messageOf(error) }, "operator call was not passed on");
            return refused(Refusal.Uncertain);
        }
    }
}

const lengthOf = (value: unknown): number => typeof value === "string" ? value.length : 0;

/** Resolves with the result of a call, or with Uncertain if there is none in time. */
const withinTime = <Value>(call: Promise<CallResult<Value>>, limitMs: number): Promise<CallResult<Value>> =>
    new Promise((resolve, reject) => {
        const timer = setTimeout(() => resolve(refused(Refusal.Uncertain)), limitMs);
        call.finally(() => clearTimeout(timer)).then(resolve, reject);
    });
