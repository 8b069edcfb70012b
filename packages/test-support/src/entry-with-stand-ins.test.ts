import { create } from "@bufbuild/protobuf";
import { jobKeyOf, SeededRandom, StepError } from "@waxwingspread/common";
import { bearerTokenOf, createCredential, EntryEffectKind, EntryNode } from "@waxwingspread/entry";
import type { CallControl, ControlResponse, EntryEffect, ReplyToCaller } from "@waxwingspread/entry";
import * as p from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import { StandInBackendServer } from "./stand-in-backend-server.js";
import type { RunSegment } from "./stand-in/observations.js";

const SECRET = "0123456789abcdef";
const CUSTOMERS = ["filters", "archive"];
const CONTROL = ["c1", "c2", "c3"];
const CAPACITY = { cpuMillicores: 4_000, memoryMebibytes: 4_096, accelerators: 0 };
const RESERVED = { cpuMillicores: 1_000, memoryMebibytes: 1_024, accelerators: 0 };
const LEASE_MS = 10_000;

const configuration = create(p.ConfigurationSchema, {
    revision: 1,
    contracts: CUSTOMERS.map(customer => ({ customer, credentials: [createCredential("key", SECRET)] })),
});

interface TrackedJob {
    job: p.Job;
    server: string;
    leaseExpiresMs: number;
    lastOrderMs: number;
}

/** Minimal leader: runs a job's attempts one by one and resolves each as section 6.3 of the design requires. */
class FakeControl {
    readonly jobs = new Map<string, TrackedJob>();
    readonly blobs = new Map<string, Uint8Array>();
    readonly servers = new Map<string, p.Announcement & { receivedAtMs: number }>();
    readonly outboxes = new Map<string, { orders: p.Order[]; lastPollMs: number }>();
    leader = "c1";
    term = 1;
    #sequence = 0;

    changeLeader(address: string): void {
        this.leader = address;
        this.term += 1;
        this.#sequence = 0;
        this.outboxes.clear();
    }

    call({ method, request, target }: CallControl, nowMs: number): ControlResponse {
        if (method === "putBlob") {
            const { reference, data } = request as p.PutBlobRequest;
            this.blobs.set(`${target.address}/${Buffer.from(reference?.sha256 ?? []).toString("hex")}`, data);
            return create(p.PutBlobResponseSchema, { diskId: target.address });
        }
        if (method === "getBlob") {
            const { reference } = request as p.GetBlobRequest;
            const data = this.blobs.get(
                `${target.address}/${Buffer.from(reference?.sha256 ?? []).toString("hex")}`,
            );
            const error = data ? undefined : { code: p.ErrorCode.UNKNOWN_REQUEST };
            return create(p.GetBlobResponseSchema, { data, error });
        }
        if (target.address !== this.leader) {
            const error = { code: p.ErrorCode.NOT_LEADER, leaderAddress: this.leader };
            return create(p.PollResponseSchema, { error });
        }
        return this.#handleLeaderCall(method, request, nowMs);
    }

    #handleLeaderCall(method: string, request: CallControl["request"], nowMs: number): ControlResponse {
        if (method === "submit") {
            return this.#submit(request as p.SubmitRequest, nowMs);
        }
        if (method === "lookUp") {
            const job = this.jobs.get(jobKeyOf(request as p.LookUpRequest))?.job;
            return create(p.LookUpResponseSchema, {
                result: job
                    ? { case: "job", value: job }
                    : { case: "error", value: create(p.ErrorDetailSchema, { code: p.ErrorCode.UNKNOWN_REQUEST }) },
            });
        }
        return method === "report"
            ? this.#report(request as p.ReportRequest, nowMs)
            : this.#poll(request as p.PollRequest, nowMs);
    }

    #submit({ specification, entryId }: p.SubmitRequest, nowMs: number): p.SubmitResponse {
        const key = jobKeyOf(specification ?? { customer: "", requestId: "" });
        const existingJob = this.jobs.get(key)?.job;
        const job = existingJob
            ?? create(p.JobSchema, { specification, state: p.JobState.QUEUED, entryId, acceptedAtMs: nowMs });
        if (!existingJob) {
            this.jobs.set(key, { job, server: "", leaseExpiresMs: 0, lastOrderMs: 0 });
        }
        return create(p.SubmitResponseSchema, { result: { case: "job", value: { ...job } } });
    }

    #poll(request: p.PollRequest, nowMs: number): p.PollResponse {
        const outbox = this.outboxes.get(request.entryId) ?? { orders: [], lastPollMs: nowMs };
        outbox.lastPollMs = nowMs;
        const acknowledged = request.sequenceTerm === this.term ? request.acknowledgedSequence : 0;
        outbox.orders = outbox.orders.filter(order => order.sequence > acknowledged);
        this.outboxes.set(request.entryId, outbox);
        return create(p.PollResponseSchema, {
            term: this.term,
            revision: 1,
            configuration: request.knownRevision === 1 ? undefined : configuration,
            configurationLeaseMs: 1_200,
            orders: outbox.orders,
            controlAddresses: CONTROL,
            entryAddresses: [...this.outboxes].filter(([, { lastPollMs }]) => lastPollMs + 1_500 > nowMs).map(([id]) =>
                id
            ),
        });
    }

    #report(request: p.ReportRequest, nowMs: number): p.ReportResponse {
        request.starts.forEach(start => {
            const tracked = this.#findActive(start);
            if (start.result === p.StartResult.REFUSED && tracked) {
                this.#requeue(tracked);
            }
        });
        request.ends.forEach(end => {
            const tracked = this.#findActive(end);
            if (tracked) {
                Object.assign(tracked.job, {
                    state: p.JobState.ENDED,
                    outcome: end.end === p.AttemptEnd.COMPLETED ? p.Outcome.COMPLETED : p.Outcome.FAILED,
                    answer: end.answer,
                    endedAtMs: nowMs,
                });
                this.#enqueueOrder(tracked.job.entryId, { kind: p.OrderKind.OUTCOME, job: { ...tracked.job } }, nowMs);
            }
        });
        const leases = request.announcements.map(announcement => this.#handleAnnouncement(announcement, nowMs));
        return create(p.ReportResponseSchema, { leases, settledEnds: request.ends.map((_end, position) => position) });
    }

    #handleAnnouncement(announcement: p.Announcement, nowMs: number): p.LeaseGrant {
        const { backendServerId, incarnation, clockMs, tasks } = announcement;
        const previousAnnouncement = this.servers.get(backendServerId);
        if (!previousAnnouncement || announcement.sequence > previousAnnouncement.sequence) {
            this.servers.set(backendServerId, { ...announcement, receivedAtMs: nowMs });
            for (const tracked of this.jobs.values()) {
                const { attempt, state } = tracked.job;
                const isListed = tasks.some(task => this.#findActive(task) === tracked);
                const isOnServer = state === p.JobState.ACTIVE && tracked.server === backendServerId;
                if (isOnServer && !isListed && clockMs > (attempt?.startDeadlineBackendMs ?? 0)) {
                    this.#requeue(tracked);
                }
            }
        }
        const expiresBackendMs = clockMs + LEASE_MS;
        return create(p.LeaseGrantSchema, { backendServerId, incarnation, expiresBackendMs, term: this.term });
    }

    #findActive(attempt: { customer: string; requestId: string; attemptNumber: number }): TrackedJob | undefined {
        const tracked = this.jobs.get(jobKeyOf(attempt));
        const isActive = tracked?.job.state === p.JobState.ACTIVE
            && tracked.job.attempt?.number === attempt.attemptNumber;
        return isActive ? tracked : undefined;
    }

    #requeue(tracked: TrackedJob): void {
        tracked.job.state = p.JobState.QUEUED;
        tracked.server = "";
    }

    #enqueueOrder(preferredEntryId: string, order: Partial<p.Order>, nowMs: number): void {
        const liveOutboxes = [...this.outboxes].filter(([, outbox]) => outbox.lastPollMs + 1_500 > nowMs);
        const selected = liveOutboxes.find(([entryId]) => entryId === preferredEntryId) ?? liveOutboxes[0];
        this.#sequence += 1;
        selected?.[1].orders.push(create(p.OrderSchema, { ...order, sequence: this.#sequence } as p.Order));
    }

    tick(nowMs: number): void {
        for (const tracked of this.jobs.values()) {
            if (tracked.job.state === p.JobState.QUEUED) {
                this.#place(tracked, nowMs);
            }
            const { job } = tracked;
            if (job.state === p.JobState.ACTIVE && tracked.lastOrderMs + 300 <= nowMs) {
                tracked.lastOrderMs = nowMs;
                const server = this.servers.get(tracked.server);
                this.#enqueueOrder(job.entryId, {
                    kind: p.OrderKind.START,
                    customer: job.specification?.customer,
                    requestId: job.specification?.requestId,
                    attemptNumber: job.attempt?.number,
                    backendServerId: tracked.server,
                    incarnation: server?.incarnation,
                    backendServerAddress: server?.address,
                    term: this.term,
                    startDeadlineBackendMs: job.attempt?.startDeadlineBackendMs,
                    leaseExpiresBackendMs: tracked.leaseExpiresMs,
                    specification: job.specification,
                    reserved: create(p.ResourcesSchema, RESERVED),
                    workKind: p.WorkKind.BATCH,
                }, nowMs);
            }
        }
    }

    #place(tracked: TrackedJob, nowMs: number): void {
        for (const [id, server] of this.servers) {
            const activeJobs = [...this.jobs.values()].filter(other =>
                other.server === id
                && other.job.state === p.JobState.ACTIVE
            );
            if (activeJobs.length < 4) {
                const clockLowerBoundMs = server.clockMs + (nowMs - server.receivedAtMs) * 0.99;
                tracked.server = id;
                tracked.leaseExpiresMs = server.clockMs + LEASE_MS;
                tracked.lastOrderMs = 0;
                tracked.job.attemptsMade += 1;
                tracked.job.state = p.JobState.ACTIVE;
                tracked.job.attempt = create(p.AttemptSchema, {
                    number: tracked.job.attemptsMade,
                    startDeadlineBackendMs: clockLowerBoundMs + 1_000,
                });
                return;
            }
        }
    }
}

interface Request {
    customer: string;
    requestId: string;
    reply: ReplyToCaller | undefined;
    retryAtMs: number;
}

/** Entries, stand-ins and the fake leader on a network that delays and loses messages. */
class Simulation {
    readonly control = new FakeControl();
    readonly servers: StandInBackendServer[];
    readonly entries: (EntryNode | undefined)[];
    readonly requests: Request[] = [];
    readonly #random: SeededRandom;
    readonly #requestsByHandle = new Map<number, Request>();
    readonly #serverCallsByHandle = new Map<number, { server: StandInBackendServer; callId: number }>();
    #scheduledDeliveries: { atMs: number; run: (nowMs: number) => void }[] = [];
    #nextHandle = 1;
    nowMs = 0;

    constructor(seed: number, readonly lossRatio: number) {
        this.#random = new SeededRandom(seed);
        this.entries = ["e1", "e2"].map(address =>
            new EntryNode({
                entryId: address,
                incarnation: "1",
                address,
                availabilityZone: "a",
                controlAddresses: CONTROL,
                limits: { inlineBlobBytes: 0 },
            }, 0)
        );
        this.servers = ["s1", "s2"].map((address, position) =>
            new StandInBackendServer({
                backendServerId: address,
                incarnation: "1",
                address,
                availabilityZone: "a",
                rack: "r",
                capacity: CAPACITY,
                slots: 4,
                entries: ["e1", "e2"],
                random: this.#random,
                clockStartMs: 5_000 * position,
                clockRateRatio: 1.005 - position * 0.01,
            }, 0)
        );
    }

    runUntil(endMs: number): void {
        while (this.nowMs < endMs) {
            this.nowMs += 5;
            const due = this.#scheduledDeliveries.filter(item => item.atMs <= this.nowMs);
            this.#scheduledDeliveries = this.#scheduledDeliveries.filter(item => item.atMs > this.nowMs);
            due.forEach(item => {
                item.run(this.nowMs);
            });
            this.control.tick(this.nowMs);
            this.servers.forEach(server => {
                server.tick(this.nowMs);
                this.#executeServer(server);
            });
            this.entries.forEach((entry, position) => {
                entry?.tick(this.nowMs);
                entry?.takeEffects().forEach(effect => {
                    this.#executeEntry(position, effect);
                });
            });
            this.requests.filter(request => !request.reply && request.retryAtMs <= this.nowMs).forEach(request => {
                this.#submit(request);
            });
        }
    }

    #submit(request: Request): void {
        const liveEntries = this.entries.filter(entry => entry !== undefined);
        const handle = this.#nextHandle;
        this.#nextHandle += 1;
        this.#requestsByHandle.set(handle, request);
        request.retryAtMs = this.nowMs + 6_000;
        const body = { workClass: "trial", payload: { runMs: 300, echo: `${request.customer}/${request.requestId}` } };
        this.#random.pick(liveEntries).handleCallerRequest(handle, {
            method: "PUT",
            path: `/v1/jobs/${request.requestId}?waitMs=5000`,
            headers: { authorization: `Bearer ${bearerTokenOf(request.customer, "key", SECRET)}` },
            body: Buffer.from(JSON.stringify(body)),
        }, this.nowMs);
    }

    #deliverLater(run: (nowMs: number) => void): void {
        if (this.#random.nextRatio() >= this.lossRatio) {
            this.#scheduledDeliveries.push({ atMs: this.nowMs + this.#random.nextInteger(1, 15), run });
        }
    }

    #executeServer(server: StandInBackendServer): void {
        for (const { callId, address, path, body } of server.takeEffects()) {
            const handle = this.#nextHandle;
            this.#nextHandle += 1;
            this.#serverCallsByHandle.set(handle, { server, callId });
            const entry = this.entries[address === "e1" ? 0 : 1];
            this.#deliverLater(nowMs => {
                entry?.handleBackendServerRequest(
                    handle,
                    { method: "POST", path, headers: {}, body: Buffer.from(body) },
                    nowMs,
                );
            });
        }
    }

    #executeEntry(position: number, effect: EntryEffect): void {
        const entry = this.entries[position];
        if (effect.kind === EntryEffectKind.CallControl) {
            this.#deliverLater(nowMs => {
                const response = this.control.call(effect, nowMs);
                this.#deliverLater(atMs => entry?.handleControlResponse(effect.callId, response, atMs));
            });
        }
        else if (effect.kind === EntryEffectKind.CallBackendServer) {
            const server = this.servers.find(candidate => candidate.backendServerId === effect.address);
            this.#deliverLater(nowMs => {
                const reply = server?.handle(effect, nowMs);
                this.#deliverLater(atMs =>
                    reply
                        ? entry?.handleBackendServerReply(effect.callId, reply, atMs)
                        : entry?.handleCallFailure(effect.callId, new StepError(p.ErrorCode.TIMEOUT, "", "", ""), atMs)
                );
            });
        }
        else if (effect.kind === EntryEffectKind.ReplyToBackendServer) {
            const call = this.#serverCallsByHandle.get(effect.requestHandle);
            this.#deliverLater(nowMs =>
                call?.server.handleEntryReply(call.callId, { ...effect, body: effect.json }, nowMs)
            );
        }
        else if (effect.kind === EntryEffectKind.ReplyToCaller) {
            const request = this.#requestsByHandle.get(effect.requestHandle);
            if (request && effect.status === 200) {
                request.reply = effect;
            }
            else if (request) {
                request.retryAtMs = this.nowMs + 100;
            }
        }
    }
}

const overlaps = (a: RunSegment, b: RunSegment): boolean =>
    a.startedAtMs < (b.stoppedAtMs ?? Infinity) && b.startedAtMs < (a.stoppedAtMs ?? Infinity);

describe("entries with stand-in backend servers", () => {
    it.each([
        { seed: 1, lossRatio: 0 },
        { seed: 2, lossRatio: 0.03 },
        { seed: 3, lossRatio: 0.08 },
    ])(
        "return to each caller its own answer and run each job once despite lost messages, a new leader and a lost entry (seed $seed)",
        ({ seed, lossRatio }) => {
            const simulation = new Simulation(seed, lossRatio);
            simulation.runUntil(1_000);
            for (let number = 0; number < 20; number += 1) {
                // Both customers use the same request ids, so that the test detects a mix-up of their jobs.
                CUSTOMERS.forEach(customer => {
                    const retryAtMs = 1_000 + number * 100;
                    simulation.requests.push({ customer, requestId: `r${number}`, reply: undefined, retryAtMs });
                });
            }
            simulation.runUntil(1_800);
            simulation.control.changeLeader("c2");
            simulation.runUntil(2_500);
            simulation.entries[0] = undefined;
            simulation.runUntil(40_000);

            for (const { customer, requestId, reply } of simulation.requests) {
                const job = JSON.parse(reply?.json ?? "{}") as { outcome?: string; answer?: { echo: string } };
                expect([requestId, job.outcome, job.answer?.echo]).toEqual([
                    requestId,
                    "completed",
                    `${customer}/${requestId}`,
                ]);
            }
            const segments = simulation.servers.flatMap(server => server.observations.segments);
            expect(segments).toHaveLength(simulation.requests.length);
            const overlapping = segments.flatMap((run, position) =>
                segments.slice(position + 1).filter(other => jobKeyOf(other) === jobKeyOf(run) && overlaps(run, other))
            );
            expect(overlapping).toEqual([]);
            for (const { observations } of simulation.servers) {
                expect(observations.peakUsed.cpuMillicores).toBeLessThanOrEqual(CAPACITY.cpuMillicores);
            }
            const settledCount = simulation.servers.reduce(
                (sum, server) => sum + server.observations.resultsSettled,
                0,
            );
            expect(settledCount).toBe(segments.length);
        },
    );
});
