import { ReplicaRole } from "@waxwingspread/consensus";
import type { ReplicaRunner } from "@waxwingspread/consensus";
import { Refusal, refused } from "@waxwingspread/workflow";
import type { CallResult, Respond, Times, WorkflowNode } from "@waxwingspread/workflow";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { CallKind, CallQueue } from "./call-queue.js";
import type { ControlMonitor } from "./control-monitor.js";
import { ControlPhase } from "./workflow-metrics.js";

/** Events that arrive within this time are handled in one decision. */
const BATCH_WINDOW_MS = 5;
/** Longest wait of a call in the queue; entries wait 0.5 s for an answer. */
const MAX_CALL_WAIT_MS = 300;

/** Construction parameters of a {@link NodeDriver}. */
export interface NodeDriverOptions {
    node: WorkflowNode;
    runner: ReplicaRunner;
    monitor: ControlMonitor;
    readTimes: () => Times;
}

/** Passes calls and the present time to a workflow node, so that neither calls nor decisions hold the event loop. */
export class NodeDriver {
    readonly #node: WorkflowNode;
    readonly #runner: ReplicaRunner;
    readonly #monitor: ControlMonitor;
    readonly #readTimes: () => Times;
    readonly #calls: CallQueue;
    #isRunScheduled = false;

    constructor(options: NodeDriverOptions) {
        this.#node = options.node;
        this.#runner = options.runner;
        this.#monitor = options.monitor;
        this.#readTimes = options.readTimes;
        this.#calls = new CallQueue({
            isBlocked: nowMs => this.#isWaitingForQuorum(nowMs),
            readNowMs: monotonicNowMs,
        });
    }

    get queuedCalls(): number {
        return this.#calls.length;
    }

    /** Starts a call when its turn has come and resolves with its result. Rejects with an error that `start` throws. */
    call<Value>(
        start: (respond: Respond<Value>, times: Times) => void,
        kind = CallKind.Request,
        maxWaitMs = MAX_CALL_WAIT_MS,
    ): Promise<CallResult<Value>> {
        return new Promise((resolve, reject) =>
            this.#calls.push({
                kind,
                receivedAtMs: monotonicNowMs(),
                maxWaitMs,
                execute: () => {
                    start(resolve, this.#readTimes());
                    this.scheduleRun();
                },
                refuse: () => resolve(refused(Refusal.NotLeader)),
                fail: reject,
            })
        );
    }

    /** Lets calls wait while connections are accepted; see {@link CallQueue.recordConnection}. */
    recordConnection(): void {
        this.#calls.recordConnection();
    }

    /** Runs what is due. */
    tick(): void {
        this.#run();
        this.#calls.tick(monotonicNowMs());
    }

    /** Schedules one decision for all events of a few milliseconds, which then share a log record and its sync. */
    scheduleRun(): void {
        if (this.#isRunScheduled) {
            return;
        }
        this.#isRunScheduled = true;
        setTimeout(() => {
            this.#isRunScheduled = false;
            this.#run();
        }, BATCH_WINDOW_MS);
    }

    /** Refuses the calls that wait and all later ones. */
    close(): void {
        this.#calls.close();
    }

    #run(): void {
        const times = this.#readTimes();
        const previousSession = this.#node.session;
        this.#node.run(times);
        const nowMs = monotonicNowMs();
        const durationMs = nowMs - times.nowMs;
        if (this.#node.session !== undefined && this.#node.session !== previousSession) {
            this.#monitor.recordSession(durationMs, nowMs);
        }
        else {
            this.#monitor.record(ControlPhase.Decision, durationMs);
        }
    }

    /** Whether this replica leads, but has to hear from a quorum before it can serve. */
    #isWaitingForQuorum(nowMs: number): boolean {
        return this.#runner.replica.role === ReplicaRole.Leader
            && (this.#node.session === undefined || !this.#runner.hasQuorumLease(nowMs));
    }
}
