import { create, toJson } from "@bufbuild/protobuf";
import { AnnouncementSchema, TaskStatusSchema } from "@waxwingspread/protocol";
import type { TaskUsage } from "@waxwingspread/protocol";
import { announceReplySchema, readJson, resultReplySchema } from "./messages.js";
import type { StandInOptions, StandInTiming } from "./options.js";
import type { Task } from "./task.js";

const HTTP_OK = 200;
const HTTP_TOO_LARGE = 413;
const ANNOUNCE_RETRY_MS = 100;
/** Spreads out the announcements of servers that were started together. */
const JITTER_RATIO = 0.1;

/** Call that the host process makes: it posts the JSON text to the entry and reports the outcome with `callId`. */
export interface CallEntry {
    callId: number;
    address: string;
    path: "/backend/v1/announce" | "/backend/v1/results";
    body: string;
    timeoutMs: number;
}

interface Reply {
    status: number;
    body: string;
}

/** Sends the announcements and results of a stand-in to entries. Times are readings of its own clock. */
export class EntryLink {
    readonly #deadlines = new Map<number, number>();
    #effects: CallEntry[] = [];
    #entries: string[];
    #selectedPosition: number;
    #nextCallId = 1;
    #sequence = 0;
    #leaseToken = "";
    #announceCallId: number | undefined;
    #nextAnnounceMs: number;
    #consecutiveFailures = 0;
    #isLeavingAnnounced = false;
    #isLeavingKnown = false;

    constructor(readonly options: StandInOptions, readonly timing: StandInTiming, clockMs: number) {
        this.#entries = [...options.entries];
        this.#selectedPosition = this.#entries.length === 0
            ? 0
            : options.random.nextInteger(0, this.#entries.length - 1);
        this.#nextAnnounceMs = clockMs;
    }

    /** True once the leader has accepted an announcement that the server is leaving. */
    get isLeavingKnown(): boolean {
        return this.#isLeavingKnown;
    }

    takeEffects(): CallEntry[] {
        const effects = this.#effects;
        this.#effects = [];
        return effects;
    }

    isAnnouncementDue(clockMs: number): boolean {
        return this.#announceCallId === undefined && clockMs >= this.#nextAnnounceMs;
    }

    /** Makes an announcement due now, even if another one is still in flight. */
    announceNow(clockMs: number): void {
        if (this.#announceCallId !== undefined) {
            this.#deadlines.delete(this.#announceCallId);
            this.#announceCallId = undefined;
        }
        this.#nextAnnounceMs = clockMs;
    }

    announce(tasks: Task[], usage: TaskUsage[], leaving: boolean, clockMs: number): void {
        const { backendServerId, incarnation, address, availabilityZone, rack, capacity, slots } = this.options;
        this.#sequence += 1;
        this.#isLeavingAnnounced = leaving;
        const announcement = create(AnnouncementSchema, {
            backendServerId,
            incarnation,
            address,
            availabilityZone,
            rack,
            capacity,
            slots,
            leaving,
            clockMs,
            tasks: tasks.map(({ start, phase }) => {
                const { customer, requestId, attemptNumber } = start;
                return create(TaskStatusSchema, { customer, requestId, attemptNumber, phase });
            }),
            usage,
            sequence: this.#sequence,
            leaseToken: this.#leaseToken,
        });
        const jitterMs = this.timing.announceIntervalMs * JITTER_RATIO * this.options.random.nextRatio();
        this.#nextAnnounceMs = clockMs + this.timing.announceIntervalMs - jitterMs;
        const body = JSON.stringify(toJson(AnnouncementSchema, announcement));
        const timeoutMs = this.timing.announceTimeoutMs;
        this.#announceCallId = this.#call(
            this.#entryAt(this.#selectedPosition),
            "/backend/v1/announce",
            body,
            timeoutMs,
            clockMs,
        );
    }

    /** Handles the reply to an announcement. Returns false if the call is not the current announcement or failed. */
    handleAnnounceReply(callId: number, reply: Reply, clockMs: number): boolean {
        if (callId !== this.#announceCallId) {
            return false;
        }
        const parsed = reply.status === HTTP_OK ? readJson(announceReplySchema, reply.body) : undefined;
        if (!parsed) {
            this.#handleAnnounceFailure(clockMs);
            return false;
        }
        this.#announceCallId = undefined;
        this.#deadlines.delete(callId);
        this.#consecutiveFailures = 0;
        this.#updateEntries(parsed.entries ?? []);
        this.#leaseToken = parsed.lease?.token ?? this.#leaseToken;
        this.#isLeavingKnown ||= this.#isLeavingAnnounced && parsed.lease !== undefined;
        if (!parsed.lease) {
            // The entry cannot reach the leader; the next announcement goes to another entry.
            this.#selectedPosition += 1;
        }
        return true;
    }

    /** Sends a task's result, unless it is in flight or its retry is not due yet. */
    sendResultIfDue(task: Task, clockMs: number): void {
        const { result, delivery, start } = task;
        if (!result || delivery.callId !== undefined || clockMs < delivery.nextMs) {
            return;
        }
        const address = delivery.attempts === 0
            ? start.replyTo
            : this.#entryAt(this.#selectedPosition + delivery.attempts - 1);
        delivery.attempts += 1;
        const timeoutMs = this.timing.resultTimeoutMs;
        delivery.callId = this.#call(address, "/backend/v1/results", JSON.stringify(result), timeoutMs, clockMs);
    }

    /** Handles the reply to a result. Returns the task if its result is settled. */
    handleResultReply(callId: number, reply: Reply, tasks: Iterable<Task>, clockMs: number): Task | undefined {
        const task = [...tasks].find(candidate => candidate.delivery.callId === callId);
        if (!task) {
            return undefined;
        }
        this.#deadlines.delete(callId);
        task.delivery.callId = undefined;
        task.delivery.nextMs = clockMs + this.timing.resultRetryMs;
        if (reply.status === HTTP_TOO_LARGE && task.result?.answer !== undefined) {
            task.result = { ...task.result, answer: undefined, answerTooLarge: true };
        }
        const isSettled = reply.status === HTTP_OK && readJson(resultReplySchema, reply.body)?.settled === true;
        return isSettled ? task : undefined;
    }

    /** Handles the failure of a call. */
    handleCallFailure(callId: number, tasks: Iterable<Task>, clockMs: number): void {
        if (callId === this.#announceCallId) {
            this.#handleAnnounceFailure(clockMs);
            return;
        }
        this.#deadlines.delete(callId);
        for (const { delivery } of tasks) {
            if (delivery.callId === callId) {
                delivery.callId = undefined;
                delivery.nextMs = clockMs + this.timing.resultRetryMs;
            }
        }
    }

    /** Fails the calls whose deadline has passed without a reply. */
    expireCalls(tasks: Iterable<Task>, clockMs: number): void {
        const heldTasks = [...tasks];
        for (const [callId, deadlineMs] of [...this.#deadlines]) {
            if (deadlineMs <= clockMs) {
                this.handleCallFailure(callId, heldTasks, clockMs);
            }
        }
    }

    #handleAnnounceFailure(clockMs: number): void {
        if (this.#announceCallId !== undefined) {
            this.#deadlines.delete(this.#announceCallId);
        }
        this.#announceCallId = undefined;
        this.#selectedPosition += 1;
        this.#nextAnnounceMs = clockMs + ANNOUNCE_RETRY_MS;
        this.#consecutiveFailures += 1;
        if (this.#consecutiveFailures >= this.#entries.length) {
            // None of the entries named by the last reply answers; the configured ones may be available again.
            this.#entries = [...new Set([...this.#entries, ...this.options.entries])];
        }
    }

    /** Replaces the entries with those in contact with the leader; keeps the selected one if it is among them. */
    #updateEntries(entries: string[]): void {
        if (entries.length > 0) {
            const selected = this.#entryAt(this.#selectedPosition);
            this.#entries = entries;
            this.#selectedPosition = Math.max(0, this.#entries.indexOf(selected));
        }
    }

    #entryAt(position: number): string {
        return this.#entries[position % this.#entries.length] ?? "";
    }

    #call(address: string, path: CallEntry["path"], body: string, timeoutMs: number, clockMs: number): number {
        const callId = this.#nextCallId;
        this.#nextCallId += 1;
        this.#deadlines.set(callId, clockMs + timeoutMs);
        this.#effects.push({ callId, address, path, body, timeoutMs });
        return callId;
    }
}
