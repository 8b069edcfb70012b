import { create, toJson } from "@bufbuild/protobuf";
import { AnnouncementSchema, TaskStatusSchema } from "@waxwingspread/protocol";
import type { TaskUsage } from "@waxwingspread/protocol";
import { announceReplySchema, readJson, resultReplySchema } from "./messages.js";
import type { StandInOptions, StandInTiming } from "./options.js";
import type { Task } from "./task.js";

const HTTP_OK = 200;
const HTTP_TOO_LARGE = 413;
const ANNOUNCE_RETRY_MS = 100;
/** Announcements of many servers that were started together are spread out. */
const JITTER_RATIO = 0.1;

/** The shell posts the JSON text to the entry and passes on the outcome with the same `callId`. */
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

/** Announcements and results of a stand-in. Times are readings of its own clock. */
export class EntryLink {
    readonly #deadlines = new Map<number, number>();
    #effects: CallEntry[] = [];
    #entries: string[];
    #selected: number;
    #nextCallId = 1;
    #sequence = 0;
    #leaseToken = "";
    #announceCallId: number | undefined;
    #nextAnnounceMs: number;
    #failuresInRow = 0;
    #saysLeaving = false;
    #leavingKnown = false;

    constructor(readonly options: StandInOptions, readonly timing: StandInTiming, clockMs: number) {
        this.#entries = [...options.entries];
        this.#selected = this.#entries.length === 0 ? 0 : options.random.nextInteger(0, this.#entries.length - 1);
        this.#nextAnnounceMs = clockMs;
    }

    /** True once the leader has taken an announcement that the server leaves. */
    get leavingKnown(): boolean {
        return this.#leavingKnown;
    }

    takeEffects(): CallEntry[] {
        const effects = this.#effects;
        this.#effects = [];
        return effects;
    }

    isAnnouncementDue(clockMs: number): boolean {
        return this.#announceCallId === undefined && clockMs >= this.#nextAnnounceMs;
    }

    /** Makes an announcement due now, even if another one has no reply yet. */
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
        this.#saysLeaving = leaving;
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
            this.#entry(this.#selected),
            "/backend/v1/announce",
            body,
            timeoutMs,
            clockMs,
        );
    }

    /** Takes the reply to an announcement. Returns false when the call was none or failed. */
    announceAnswered(callId: number, reply: Reply, clockMs: number): boolean {
        if (callId !== this.#announceCallId) {
            return false;
        }
        const parsed = reply.status === HTTP_OK ? readJson(announceReplySchema, reply.body) : undefined;
        if (!parsed) {
            this.#announceFailed(clockMs);
            return false;
        }
        this.#announceCallId = undefined;
        this.#deadlines.delete(callId);
        this.#failuresInRow = 0;
        this.#takeEntries(parsed.entries ?? []);
        this.#leaseToken = parsed.lease?.token ?? this.#leaseToken;
        this.#leavingKnown ||= this.#saysLeaving && parsed.lease !== undefined;
        if (!parsed.lease) {
            // The entry doesn't reach the leader; the next announcement goes to another one.
            this.#selected += 1;
        }
        return true;
    }

    /** Sends a task's result unless it is under way or was sent just now. */
    sendResultIfDue(task: Task, clockMs: number): void {
        const { result, sending, start } = task;
        if (!result || sending.callId !== undefined || clockMs < sending.nextMs) {
            return;
        }
        const address = sending.attempts === 0 ? start.replyTo : this.#entry(this.#selected + sending.attempts - 1);
        sending.attempts += 1;
        const timeoutMs = this.timing.resultTimeoutMs;
        sending.callId = this.#call(address, "/backend/v1/results", JSON.stringify(result), timeoutMs, clockMs);
    }

    /** Takes the reply to a result. Returns the task if its result is settled. */
    resultAnswered(callId: number, reply: Reply, tasks: Iterable<Task>, clockMs: number): Task | undefined {
        const task = [...tasks].find(candidate => candidate.sending.callId === callId);
        if (!task) {
            return undefined;
        }
        this.#deadlines.delete(callId);
        task.sending.callId = undefined;
        task.sending.nextMs = clockMs + this.timing.resultRetryMs;
        if (reply.status === HTTP_TOO_LARGE && task.result?.answer !== undefined) {
            task.result = { ...task.result, answer: undefined, answerTooLarge: true };
        }
        const settled = reply.status === HTTP_OK && readJson(resultReplySchema, reply.body)?.settled === true;
        return settled ? task : undefined;
    }

    /** Takes the failure of a call. */
    failed(callId: number, tasks: Iterable<Task>, clockMs: number): void {
        if (callId === this.#announceCallId) {
            this.#announceFailed(clockMs);
            return;
        }
        this.#deadlines.delete(callId);
        for (const { sending } of tasks) {
            if (sending.callId === callId) {
                sending.callId = undefined;
                sending.nextMs = clockMs + this.timing.resultRetryMs;
            }
        }
    }

    /** Ends calls without a reply at their deadline. */
    expireCalls(tasks: Iterable<Task>, clockMs: number): void {
        const held = [...tasks];
        for (const [callId, deadlineMs] of [...this.#deadlines]) {
            if (deadlineMs <= clockMs) {
                this.failed(callId, held, clockMs);
            }
        }
    }

    #announceFailed(clockMs: number): void {
        if (this.#announceCallId !== undefined) {
            this.#deadlines.delete(this.#announceCallId);
        }
        this.#announceCallId = undefined;
        this.#selected += 1;
        this.#nextAnnounceMs = clockMs + ANNOUNCE_RETRY_MS;
        this.#failuresInRow += 1;
        if (this.#failuresInRow >= this.#entries.length) {
            // None of the entries that were heard of last answers: those of the settings may have come back.
            this.#entries = [...new Set([...this.#entries, ...this.options.entries])];
        }
    }

    /** Takes over the entries that the leader hears from, and stays with the selected one if it is among them. */
    #takeEntries(entries: string[]): void {
        if (entries.length > 0) {
            const selected = this.#entry(this.#selected);
            this.#entries = entries;
            this.#selected = Math.max(0, this.#entries.indexOf(selected));
        }
    }

    #entry(position: number): string {
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
