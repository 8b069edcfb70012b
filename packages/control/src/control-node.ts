import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { messageOf, StepError } from "@waxwingspread/common";
import type { SeededRandom } from "@waxwingspread/common";
import { ClusterSnapshotSchema, ErrorCode, EventBatchSchema } from "@waxwingspread/protocol";
import type { BlobReference, Event, EventBatch, LogEntry } from "@waxwingspread/protocol";
import { ClusterState, Scheduler } from "@waxwingspread/scheduler";
import type { SchedulerSettings } from "@waxwingspread/scheduler";
import { ControlMethod, errorReply } from "./calls.js";
import type { ControlCall } from "./calls.js";
import { ControlEffectKind } from "./control-effects.js";
import type { ControlEffect } from "./control-effects.js";
import type { ControlSettings } from "./control-settings.js";
import { isStoredSeparately, referencedBlobsOf, summarizeEvent } from "./event-summary.js";
import { handleLeaderCall } from "./leader-handlers.js";
import { LeaderSession } from "./leader-session.js";
import type { ReplicatedLogPort } from "./replicated-log-port.js";

/** Dependencies and settings of a control node. */
export interface ControlNodeOptions {
    name: string;
    log: ReplicatedLogPort;
    settings: ControlSettings;
    schedulerSettings: SchedulerSettings;
    random: SeededRandom;
    /** Returns whether a token is a valid operator token. */
    authorizeOperator: (token: string) => boolean;
}

/** One control replica: applies the committed log and, while it is leader, runs the scheduler and answers calls. */
export class ControlNode {
    readonly #options: ControlNodeOptions;
    #state = new ClusterState();
    #session: LeaderSession | undefined;
    #appliedIndex = 0;
    #lastSessionTerm = 0;
    #effects: ControlEffect[] = [];

    constructor(options: ControlNodeOptions) {
        this.#options = options;
    }

    get state(): ClusterState {
        return this.#state;
    }

    get appliedIndex(): number {
        return this.#appliedIndex;
    }

    /** True while this node answers calls. */
    get isServing(): boolean {
        return this.#session !== undefined;
    }

    get session(): LeaderSession | undefined {
        return this.#session;
    }

    /** Handles a call; the reply is emitted as an effect with the same `callId`. */
    call(callId: number, call: ControlCall, nowMs: number): void {
        const session = this.#session;
        if (session === undefined) {
            this.#replyNotLeader(callId, call.method);
            return;
        }
        if (call.method === ControlMethod.Poll) {
            session.scheduler.recordEntryPoll(call.request, nowMs);
            session.holdPoll(callId, call.request, nowMs);
            return;
        }
        const reply = handleLeaderCall(call, {
            session,
            log: this.#options.log,
            authorizeOperator: this.#options.authorizeOperator,
            nowMs,
        });
        session.reply(callId, reply);
    }

    /** Proposes the decisions of all calls since the last flush and releases the effects that are committed. */
    flush(nowMs: number): void {
        const session = this.#session;
        if (session === undefined) {
            return;
        }
        if (!session.propose(nowMs)) {
            this.#stepDown();
            return;
        }
        session.releaseCommitted(nowMs);
    }

    /** Runs the timers of the scheduler and of the leader session. */
    tick(nowMs: number): void {
        const session = this.#session;
        if (session === undefined) {
            return;
        }
        session.scheduler.tick(nowMs);
        this.flush(nowMs);
        this.#session?.tick(nowMs);
    }

    /** Applies entries that the log has committed. */
    applyCommitted(entries: readonly LogEntry[], nowMs: number): void {
        for (const entry of entries) {
            this.#applyEntry(entry, nowMs);
        }
        this.#session?.releaseCommitted(nowMs);
    }

    /** Replaces the state with a snapshot's. */
    restoreSnapshot(bytes: Uint8Array, lastIndex: number): void {
        this.#stepDown();
        this.#state = ClusterState.fromSnapshot(fromBinary(ClusterSnapshotSchema, bytes));
        this.#appliedIndex = lastIndex;
        this.#emit({ kind: ControlEffectKind.BlobsReferenced, references: this.referencedBlobs() });
    }

    /** Ends the leader session, because the replica is no longer leader. */
    handleLeadershipLost(): void {
        this.#stepDown();
    }

    /** Returns the encoded committed state and the index of the last entry that it includes. */
    snapshot(): { bytes: Uint8Array; lastIndex: number } {
        return { bytes: toBinary(ClusterSnapshotSchema, this.#state.toSnapshot()), lastIndex: this.#appliedIndex };
    }

    /** Returns every separately stored blob that the state refers to. */
    referencedBlobs(): BlobReference[] {
        const references: BlobReference[] = [];
        for (const job of this.#state.jobs()) {
            for (const reference of [job.specification?.payload, job.checkpoint, job.answer]) {
                if (reference !== undefined && isStoredSeparately(reference)) {
                    references.push(reference);
                }
            }
        }
        return references;
    }

    /** Returns the effects since the last call. */
    takeEffects(): ControlEffect[] {
        const effects = this.#effects;
        this.#effects = [];
        return effects;
    }

    #applyEntry(entry: LogEntry, nowMs: number): void {
        const proposedEvents = entry.term === this.#session?.term ? this.#session.takeProposed(entry.index) : undefined;
        if (proposedEvents !== undefined) {
            this.#onCommitted(proposedEvents, entry.index);
        }
        else if (entry.body.case === "data") {
            this.#applyBatch(this.#decodeBatch(entry.body.value, entry.index), entry.index);
        }
        this.#appliedIndex = entry.index;
        const { log } = this.#options;
        // A handover ends the session while the replica still leads; its last entries must not start a second one.
        const isNewTerm = entry.term === log.term && entry.term > this.#lastSessionTerm;
        if (this.#session === undefined && isNewTerm && log.isLeader) {
            this.#startSession(nowMs);
        }
    }

    #applyBatch(batch: EventBatch, index: number): void {
        for (const event of batch.events) {
            this.#state.apply(event);
        }
        this.#state.markBatchEnd(index);
        this.#onCommitted(batch.events, index);
    }

    #onCommitted(events: readonly Event[], index: number): void {
        this.#state.commitThrough(index);
        for (const event of events) {
            this.#emitEventEffects(event);
        }
    }

    #emitEventEffects(event: Event): void {
        const record = summarizeEvent(event);
        // Followers apply the same events; only the leader journals them, so that a timeline shows each event once.
        if (record !== undefined && this.#options.log.isLeader) {
            this.#emit({ kind: ControlEffectKind.Journal, record });
        }
        const references = referencedBlobsOf(event).filter(isStoredSeparately);
        if (references.length > 0) {
            this.#emit({ kind: ControlEffectKind.BlobsReferenced, references });
        }
    }

    #decodeBatch(bytes: Uint8Array, index: number): EventBatch {
        try {
            return fromBinary(EventBatchSchema, bytes);
        }
        catch (error) {
            throw new StepError(
                ErrorCode.CORRUPT,
                "apply",
                this.#options.name,
                `log record ${index} cannot be decoded: ${messageOf(error)}`,
                { cause: error },
            );
        }
    }

    #startSession(nowMs: number): void {
        const { log, settings, schedulerSettings, random } = this.#options;
        this.#lastSessionTerm = log.term;
        const scheduler = new Scheduler(this.#state, schedulerSettings, random);
        scheduler.startTerm(log.term, this.#options.name, nowMs);
        this.#session = new LeaderSession(scheduler, log.term, {
            log,
            state: this.#state,
            settings,
            emit: effect => this.#emit(effect),
        });
        this.#emit({
            kind: ControlEffectKind.Journal,
            record: { name: "leader serving", detail: `term ${log.term}` },
        });
    }

    #stepDown(): void {
        const session = this.#session;
        if (session === undefined) {
            return;
        }
        this.#session = undefined;
        session.close();
        this.#state.observe(undefined);
        this.#state.rollback();
        this.#emit({ kind: ControlEffectKind.Journal, record: { name: "leader stepped down" } });
    }

    #replyNotLeader(callId: number, method: ControlMethod): void {
        const error = new StepError(
            ErrorCode.NOT_LEADER,
            method,
            this.#options.name,
            "this replica is not the leader",
            { leaderAddress: this.#options.log.leaderAddress },
        );
        this.#emit({ kind: ControlEffectKind.Reply, callId, reply: errorReply(method, error.toDetail()) });
    }

    #emit(effect: ControlEffect): void {
        this.#effects.push(effect);
    }
}
