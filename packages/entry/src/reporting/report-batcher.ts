import { create } from "@bufbuild/protobuf";
import { LeaseGrantSchema, ReportRequestSchema } from "@waxwingspread/protocol";
import type {
    Announcement,
    EndReport,
    LeaseGrant,
    ReportRequest,
    ReportResponse,
    StartReport,
} from "@waxwingspread/protocol";
import type { Result } from "ts-results-es";
import type { AttemptFailure } from "../calls/leader-client.js";
import type { EntryContext } from "../context.js";
import { EntryMetric } from "../effects.js";
import { AnnouncementDeduplicator } from "./announcement-deduplicator.js";

/** The leader's reply to an announcement. */
export interface AnnouncementReply {
    lease: LeaseGrant | undefined;
    fullListWanted: boolean;
}

/** Receives the reply, or undefined when the leader has not replied in time or refused the message. */
type AnnouncementCallback = (reply: AnnouncementReply | undefined) => void;

interface Waiter {
    incarnation: string;
    deadlineMs: number;
    done: AnnouncementCallback;
}

interface PendingAnnouncement {
    announcement: Announcement;
    receivedAtMs: number;
    waiters: Waiter[];
}

/**
 * An older announcement isn't resent to a new leader: the server may be gone, and the leader treats it as silent
 * after 3 s.
 */
const MAX_RESENT_ANNOUNCEMENT_AGE_MS = 2_000;

interface PendingEnd {
    report: EndReport;
    deadlineMs: number;
    done: (settled: boolean, nowMs: number) => void;
}

interface Batch {
    announcements: PendingAnnouncement[];
    /** Announcements that are sent as heartbeats, in the order of the message. */
    heartbeats: PendingAnnouncement[];
    starts: StartReport[];
    ends: PendingEnd[];
}

const isNewer = (candidate: Announcement, queued: Announcement): boolean =>
    candidate.incarnation !== queued.incarnation || candidate.sequence > queued.sequence;

/** Whether a server waits for the reply, or the announcement is recent enough for the leader. */
const isWanted = ({ waiters, receivedAtMs }: PendingAnnouncement, nowMs: number): boolean =>
    waiters.length > 0 || nowMs - receivedAtMs <= MAX_RESENT_ANNOUNCEMENT_AGE_MS;

const createHeartbeatLease = (
    { backendServerId, incarnation, clockMs }: Announcement,
    response: ReportResponse,
): LeaseGrant =>
    create(LeaseGrantSchema, {
        backendServerId,
        incarnation,
        expiresBackendMs: clockMs + response.heartbeatLeaseMs,
        term: response.term,
    });

/**
 * Batches announcements, start reports and end reports into messages to the leader, of which at most one is in
 * flight. The content of a failed message is queued again and merged with what has arrived since.
 */
export class ReportBatcher {
    readonly #announcements = new Map<string, PendingAnnouncement>();
    readonly #deduplicator = new AnnouncementDeduplicator();
    /** The last announcement of each server, resent to a new leader, which has no announcements yet. */
    readonly #latestAnnouncements = new Map<string, PendingAnnouncement>();
    #starts: StartReport[] = [];
    #ends: PendingEnd[] = [];
    #inFlight: Batch | undefined;
    #lastCallId = 0;
    #lastSendAddress = "";
    #announcementsDueMs = 0;
    #earliestSendMs = 0;

    constructor(readonly context: EntryContext) {}

    /** True when nothing waits to be sent and no message is in flight. */
    get isIdle(): boolean {
        return !this.#inFlight && this.#starts.length + this.#ends.length + this.#announcements.size === 0;
    }

    /** Queues an announcement. Returns false, without calling `done`, when too many are already queued. */
    addAnnouncement(announcement: Announcement, done: AnnouncementCallback, nowMs: number): boolean {
        const queued = this.#announcements.get(announcement.backendServerId);
        const { limits, timing } = this.context.settings;
        if (!queued && this.#announcements.size >= limits.announcements) {
            return false;
        }
        if (this.#announcements.size === 0) {
            this.#announcementsDueMs = Math.max(this.#announcementsDueMs, nowMs);
        }
        const deadlineMs = nowMs + timing.announceTimeoutMs;
        const waiter = { incarnation: announcement.incarnation, deadlineMs, done };
        this.#mergeAnnouncement({ announcement, receivedAtMs: nowMs, waiters: [waiter] });
        this.#latestAnnouncements.set(announcement.backendServerId, { announcement, receivedAtMs: nowMs, waiters: [] });
        this.flush(nowMs);
        return true;
    }

    addStart(report: StartReport, nowMs: number): void {
        // A start report may be dropped: a later announcement shows the leader whether the task runs.
        if (this.#starts.length < this.context.settings.limits.reports) {
            this.#starts.push(report);
        }
        this.flush(nowMs);
    }

    /** Queues an end report. Returns false, without calling `done`, when too many are already queued. */
    addEnd(report: EndReport, deadlineMs: number, done: PendingEnd["done"], nowMs: number): boolean {
        if (this.#ends.length >= this.context.settings.limits.reports) {
            return false;
        }
        this.#ends.push({ report, deadlineMs, done });
        this.flush(nowMs);
        return true;
    }

    tick(nowMs: number): void {
        for (const [backendServerId, pending] of this.#announcements) {
            this.#expireWaiters(pending, nowMs);
            if (!isWanted(pending, nowMs)) {
                this.#announcements.delete(backendServerId);
            }
        }
        for (const pending of [...this.#inFlight?.announcements ?? [], ...this.#inFlight?.heartbeats ?? []]) {
            this.#expireWaiters(pending, nowMs);
        }
        const expired = this.#ends.filter(end => end.deadlineMs <= nowMs);
        this.#ends = this.#ends.filter(end => end.deadlineMs > nowMs);
        for (const end of expired) {
            end.done(false, nowMs);
        }
        this.flush(nowMs);
    }

    /**
     * Resends to the new leader what another replica has not acknowledged and the last announcement of each server, so
     * that it can place work without waiting for the next announcements. Reports are idempotent.
     */
    handleNewLeader(nowMs: number): void {
        if (this.#inFlight && this.#lastSendAddress !== this.context.leader.leaderAddress) {
            const batch = this.#inFlight;
            this.context.calls.abandon(this.#lastCallId);
            this.#inFlight = undefined;
            this.#requeueBatch(batch, nowMs);
        }
        for (const [backendServerId, latest] of this.#latestAnnouncements) {
            if (nowMs - latest.receivedAtMs > MAX_RESENT_ANNOUNCEMENT_AGE_MS) {
                this.#latestAnnouncements.delete(backendServerId);
            }
            else if (!this.#announcements.has(backendServerId)) {
                this.#announcements.set(backendServerId, { ...latest, waiters: [] });
            }
        }
        this.#earliestSendMs = nowMs;
        this.#announcementsDueMs = nowMs;
        this.flush(nowMs);
    }

    /** Sends what is queued, unless a message is in flight or only announcements are queued that are not yet due. */
    flush(nowMs: number): void {
        const isUrgent = this.#starts.length + this.#ends.length > 0;
        const areAnnouncementsDue = this.#announcements.size > 0 && nowMs >= this.#announcementsDueMs;
        if (this.#inFlight || nowMs < this.#earliestSendMs || (!isUrgent && !areAnnouncementsDue)) {
            return;
        }
        const { settings, leader, effects } = this.context;
        this.#announcementsDueMs = nowMs + settings.timing.announcementFlushMs;
        const { batch, request } = this.#nextBatch(nowMs);
        this.#inFlight = batch;
        effects.count(EntryMetric.ReportsSent);
        this.#lastSendAddress = leader.leaderAddress;
        this.#lastCallId = leader.attempt("report", request, settings.timing.callTimeoutMs, (result, atMs) => {
            this.#handleResponse(batch, result, atMs);
        }, nowMs);
    }

    #nextBatch(nowMs: number): { batch: Batch; request: ReportRequest } {
        const { settings, leader } = this.context;
        const limit = settings.limits.reportsPerMessage;
        const batch: Batch = {
            announcements: [],
            heartbeats: [],
            starts: this.#starts.splice(0, limit),
            ends: this.#ends.splice(0, limit),
        };
        const request = create(ReportRequestSchema, {
            entryId: settings.entryId,
            starts: batch.starts,
            ends: batch.ends.map(end => end.report),
        });
        for (const pending of this.#announcements.values()) {
            const heldMs = nowMs - pending.receivedAtMs;
            const heartbeat = this.#deduplicator.toHeartbeat(pending.announcement, heldMs, leader.leaderAddress);
            if (heartbeat === undefined) {
                batch.announcements.push(pending);
                request.announcements.push({ ...pending.announcement, heldMs });
            }
            else {
                batch.heartbeats.push(pending);
                request.heartbeats.push(heartbeat);
            }
        }
        this.#announcements.clear();
        return { batch, request };
    }

    #handleResponse(batch: Batch, result: Result<ReportResponse, AttemptFailure>, nowMs: number): void {
        this.#inFlight = undefined;
        if (result.isOk()) {
            this.#completeBatch(batch, result.value, nowMs);
        }
        else if (!result.error.retryable) {
            // Retrying a message that the leader refuses would block all later ones.
            this.context.effects.journal({ name: "report-refused", detail: result.error.error.message });
            this.#failBatch(batch, nowMs);
        }
        else {
            this.#earliestSendMs = nowMs + (result.error.retryNow ? 0 : this.context.settings.timing.retryDelayMs);
            // A new leader starts no task on a server without an announcement, so these are not held back any longer.
            this.#announcementsDueMs = this.#earliestSendMs;
            this.#requeueBatch(batch, nowMs);
        }
        this.flush(nowMs);
    }

    #completeBatch(batch: Batch, response: ReportResponse, nowMs: number): void {
        const leases = new Map(response.leases.map(lease => [lease.backendServerId, lease]));
        const fullListWanted = new Set(response.fullListWanted);
        for (const { announcement, waiters } of batch.announcements) {
            const lease = leases.get(announcement.backendServerId);
            const isFullListWanted = fullListWanted.has(announcement.backendServerId);
            waiters.forEach(waiter => {
                const granted = lease?.incarnation === waiter.incarnation ? lease : undefined;
                waiter.done({ lease: granted, fullListWanted: isFullListWanted });
            });
            if (lease?.incarnation === announcement.incarnation && lease.token === "") {
                this.#deduplicator.recordConfirmed(announcement, this.#lastSendAddress);
            }
        }
        this.#completeHeartbeats(batch, response);
        const settled = new Set(response.settledEnds);
        batch.ends.forEach((end, position) => {
            end.done(settled.has(position), nowMs);
        });
    }

    #completeHeartbeats(batch: Batch, response: ReportResponse): void {
        const unknown = new Set(response.unknownHeartbeats);
        const refused = new Set(response.refusedHeartbeats);
        batch.heartbeats.forEach((pending, position) => {
            const { announcement, waiters } = pending;
            if (unknown.has(position)) {
                this.#deduplicator.recordUnknown(announcement.backendServerId);
                this.#mergeAnnouncement(pending);
                return;
            }
            const lease = refused.has(position) ? undefined : createHeartbeatLease(announcement, response);
            waiters.forEach(waiter => {
                const granted = lease?.incarnation === waiter.incarnation ? lease : undefined;
                waiter.done({ lease: granted, fullListWanted: false });
            });
        });
    }

    #failBatch(batch: Batch, nowMs: number): void {
        for (const waiter of [...batch.announcements, ...batch.heartbeats].flatMap(({ waiters }) => waiters)) {
            waiter.done(undefined);
        }
        for (const end of batch.ends) {
            end.done(false, nowMs);
        }
    }

    #requeueBatch(batch: Batch, nowMs: number): void {
        this.#starts = [...batch.starts, ...this.#starts];
        this.#ends = [...batch.ends, ...this.#ends];
        for (const pending of [...batch.announcements, ...batch.heartbeats]) {
            if (isWanted(pending, nowMs)) {
                this.#mergeAnnouncement(pending);
            }
        }
    }

    /**
     * Queues an announcement. Of two from one server, it keeps the newer one, the waiters of both and, within one
     * incarnation, the usage samples of both.
     */
    #mergeAnnouncement(pending: PendingAnnouncement): void {
        const { backendServerId } = pending.announcement;
        const queued = this.#announcements.get(backendServerId);
        if (!queued) {
            this.#announcements.set(backendServerId, pending);
            return;
        }
        // Of two incarnations, the one received later is kept: their sequence numbers can't be compared.
        const isPendingLater = pending.receivedAtMs >= queued.receivedAtMs;
        const isSameIncarnation = pending.announcement.incarnation === queued.announcement.incarnation;
        const newest = isPendingLater && isNewer(pending.announcement, queued.announcement) ? pending : queued;
        const other = newest === queued ? pending : queued;
        const usage = isSameIncarnation
            ? [...other.announcement.usage, ...newest.announcement.usage]
            : newest.announcement.usage;
        this.#announcements.set(backendServerId, {
            announcement: { ...newest.announcement, usage },
            receivedAtMs: newest.receivedAtMs,
            waiters: [...queued.waiters, ...pending.waiters],
        });
    }

    #expireWaiters(pending: PendingAnnouncement, nowMs: number): void {
        const expired = pending.waiters.filter(waiter => waiter.deadlineMs <= nowMs);
        if (expired.length > 0) {
            pending.waiters = pending.waiters.filter(waiter => waiter.deadlineMs > nowMs);
            expired.forEach(waiter => {
                waiter.done(undefined);
            });
        }
    }
}
