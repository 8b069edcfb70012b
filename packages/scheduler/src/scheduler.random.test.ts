import { create, toBinary } from "@bufbuild/protobuf";
import { SeededRandom } from "@waxwingspread/common";
import {
    CancelRequestSchema,
    ClusterSnapshotSchema,
    OperatorCommandSchema,
    OrderKind,
    Outcome,
    PollRequestSchema,
    ReportRequestSchema,
    SubmitRequestSchema,
    ZoneOutSchema,
    ZoneState,
} from "@waxwingspread/protocol";
import type { Event, OperatorCommand, Order } from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import { Scheduler } from "./scheduler.js";
import { defaultSchedulerSettings } from "./settings.js";
import { ClusterState } from "./state/cluster-state.js";
import { fitsWithin, NO_RESOURCES } from "./state/resources.js";
import { contractOf, specificationFor } from "./test-kit/fixtures.js";
import { ModelServer } from "./test-kit/model-server.js";

const SERVERS = 6;
const STEP_MS = 100;
const FAULTY_STEPS = 600;
const RECOVERY_STEPS = 2_000;
const CLASSES = ["check", "trial", "recall", "watch"];
const ZONES = ["a", "b", "c"];

/** Ground truth about one job, as observed at the servers. */
interface GroundTruth {
    workClass: string;
    runningOn: Set<string>;
    /** Number of starts that did not resume from a checkpoint. */
    freshStarts: number;
}

/** Drives a scheduler with servers, a lossy network, leader changes and rollbacks, and checks the invariants. */
class Simulation {
    readonly #random: SeededRandom;
    #state = new ClusterState();
    readonly #replica = new ClusterState();
    readonly #servers: ModelServer[] = [];
    readonly #groundTruths = new Map<string, GroundTruth>();
    /** Time until which a server neither receives nor sends anything. */
    readonly #isolatedUntilMs = new Map<string, number>();
    readonly #reportedNotRun = new Set<string>();
    readonly #network: { atMs: number; run: () => void }[] = [];
    #afterCommit: (() => void)[] = [];
    #scheduler: Scheduler;
    #nowMs = 1_000_000;
    #term = 0;
    #batch = 0;
    #nextJob = 0;
    #injectsFaults = true;

    /** With odd seeds the servers return no tokens, so that only expired leases reveal a restart. */
    constructor(seed: number) {
        this.#random = new SeededRandom(seed);
        const observer = {
            started: (jobId: string, serverId: string, resumed: boolean) => this.#started(jobId, serverId, resumed),
            ended: (jobId: string, serverId: string) => this.#groundTruths.get(jobId)?.runningOn.delete(serverId),
        };
        for (let number = 1; number <= SERVERS; number += 1) {
            const rate = 0.991 + this.#random.nextRatio() * 0.018;
            this.#servers.push(new ModelServer(`s${number}`, rate, seed % 2 === 0, observer));
        }
        this.#scheduler = this.#startLeader();
        this.#poll();
        this.#writeContract(1_000);
        this.#commit(false);
    }

    run(): void {
        for (let step = 0; step < FAULTY_STEPS; step += 1) {
            this.#step();
        }
        this.#injectsFaults = false;
        this.#writeContract(1_000);
        ZONES.forEach(zone => this.#execute({ case: "bringZoneBack", value: zone }));
        this.#servers.filter(server => server.leaving).forEach(server => server.restart());
        const watches = [...this.#groundTruths].filter(([, truth]) => truth.workClass === "watch").map(([id]) => id);
        for (let step = 0; step < RECOVERY_STEPS && (this.#openJobs() > 0 || this.#network.length > 0); step += 1) {
            this.#cancel(watches);
            this.#step();
        }
        this.#commit(false);
        expect(this.#openJobs()).toBe(0);
        expect([...this.#groundTruths.values()].every(truth => truth.runningOn.size === 0)).toBe(true);
        const bytes = (state: ClusterState) => toBinary(ClusterSnapshotSchema, state.toSnapshot());
        expect(bytes(this.#replica)).toEqual(bytes(this.#state));
        expect(bytes(ClusterState.fromSnapshot(this.#state.toSnapshot()))).toEqual(bytes(this.#state));
        expect(this.#scheduler.rejectedPlacements).toBe(0);
        expect(this.#groundTruths.size).toBeGreaterThan(0);
    }

    #openJobs(): number {
        return this.#state.queuedJobKeys().size + this.#state.activeJobKeys().size;
    }

    #randomBoolean(ratio: number): boolean {
        return this.#injectsFaults && this.#random.nextRatio() < ratio;
    }

    #step(): void {
        this.#nowMs += STEP_MS;
        this.#servers.forEach(server => server.advance(STEP_MS));
        this.#injectFaults();
        this.#deliver();
        this.#poll();
        if (this.#randomBoolean(0.5)) {
            this.#submit();
        }
        this.#servers.forEach((server, position) => {
            const due = Math.round(this.#nowMs / STEP_MS) % 10 === position;
            if (due && !this.#isIsolated(server)) {
                this.#announce(server, ZONES[position % ZONES.length] ?? "a");
            }
        });
        this.#scheduler.tick(this.#nowMs);
        this.#commit(this.#randomBoolean(0.02));
        this.#checkCapacity();
    }

    #injectFaults(): void {
        const server = this.#random.pick(this.#servers);
        if (this.#randomBoolean(0.01)) {
            server.restart();
        }
        if (this.#randomBoolean(0.005)) {
            this.#isolatedUntilMs.set(server.id, this.#nowMs + this.#random.nextInteger(2_000, 25_000));
        }
        if (this.#randomBoolean(0.003)) {
            const pausedMs = this.#random.nextInteger(1_000, 15_000);
            this.#nowMs += pausedMs;
            this.#servers.forEach(other => other.advance(pausedMs));
        }
        if (this.#randomBoolean(0.005)) {
            server.leaving = true;
        }
        if (this.#randomBoolean(0.01)) {
            const value = create(ZoneOutSchema, { availabilityZone: this.#random.pick(ZONES), drainWithinMs: 5_000 });
            this.#execute({ case: "takeZoneOut", value });
        }
        if (this.#randomBoolean(0.02)) {
            this.#execute({ case: "bringZoneBack", value: this.#random.pick(ZONES) });
        }
        if (this.#randomBoolean(0.003)) {
            this.#execute({ case: "removeContract", value: "acme" });
        }
        if (this.#randomBoolean(0.1)) {
            this.#writeContract(this.#random.nextInteger(2, 40));
        }
        if (this.#randomBoolean(0.05) && this.#groundTruths.size > 0) {
            this.#cancel([
                this.#random.pick([...this.#groundTruths.keys()]),
                this.#random.pick([...this.#groundTruths.keys()]),
            ]);
        }
    }

    /** Delivers a message after a delay, possibly never or twice. */
    #send(run: () => void): void {
        const copies = this.#randomBoolean(0.1) ? 0 : this.#randomBoolean(0.15) ? 2 : 1;
        for (let copy = 0; copy < copies; copy += 1) {
            const delayMs = this.#randomBoolean(0.05)
                ? this.#random.nextInteger(0, 12_000)
                : this.#random.nextInteger(0, 300);
            this.#network.push({ atMs: this.#nowMs + delayMs, run });
        }
    }

    #deliver(): void {
        const due = this.#network.filter(message => message.atMs <= this.#nowMs);
        const waiting = this.#network.filter(message => message.atMs > this.#nowMs);
        this.#network.splice(0, this.#network.length, ...waiting);
        due.forEach(message => message.run());
    }

    #isIsolated(server: ModelServer): boolean {
        return this.#nowMs < (this.#isolatedUntilMs.get(server.id) ?? 0);
    }

    #submit(): void {
        const requestId = `r${this.#nextJob}`;
        const workClass = this.#random.pick(CLASSES);
        this.#nextJob += 1;
        this.#groundTruths.set(requestId, { workClass, runningOn: new Set(), freshStarts: 0 });
        this.#send(() => {
            const specification = specificationFor(requestId, workClass);
            const request = create(SubmitRequestSchema, { specification, entryId: "e1" });
            const { order } = this.#scheduler.submit(request, this.#nowMs);
            if (order !== undefined) {
                this.#afterCommit.push(() => this.#send(() => this.#executeOrder(order)));
            }
        });
    }

    #cancel(requestIds: string[]): void {
        this.#scheduler.cancel(create(CancelRequestSchema, { customer: "acme", requestIds }), this.#nowMs);
    }

    #execute(kind: OperatorCommand["kind"]): void {
        const expectedRevision = this.#state.revision;
        const commandId = `c${this.#nowMs}-${this.#random.nextInteger(0, 1_000_000_000)}`;
        this.#scheduler.execute(create(OperatorCommandSchema, { commandId, expectedRevision, kind }), this.#nowMs);
    }

    #writeContract(concurrentTasks: number): void {
        const contract = contractOf("acme");
        const quota = { ...contract.quota, $typeName: undefined, concurrentTasks };
        this.#execute({ case: "writeContract", value: contractOf("acme", { quota }) });
    }

    #announce(server: ModelServer, zone: string): void {
        const announcement = server.announce(zone);
        const ends = server.unsettledEnds();
        const request = create(ReportRequestSchema, { entryId: "e1", announcements: [announcement], ends });
        this.#send(() => {
            const { leases, settledEnds } = this.#scheduler.report(request, this.#nowMs);
            this.#afterCommit.push(() =>
                this.#send(() => {
                    leases.forEach(lease => server.renew(lease));
                    settledEnds.forEach(position => ends[position] && server.settled(ends[position]));
                })
            );
        });
    }

    #executeOrder(order: Order): void {
        const server = this.#servers.find(({ id }) => id === order.backendServerId);
        if (server === undefined || this.#isIsolated(server)) {
            return;
        }
        if (order.kind === OrderKind.STOP || order.kind === OrderKind.CHECKPOINT_AND_STOP) {
            server.stop(order, this.#random.nextRatio() < 0.7);
        }
        if (order.kind !== OrderKind.START) {
            return;
        }
        const isStanding = this.#groundTruths.get(order.requestId)?.workClass === "watch";
        const runTimeMs = isStanding ? Number.POSITIVE_INFINITY : this.#random.nextInteger(50, 8_000);
        const result = server.start(order, runTimeMs, this.#randomBoolean(0.1));
        const { customer, requestId, attemptNumber } = order;
        const starts = [{ customer, requestId, attemptNumber, result }];
        this.#send(() => this.#scheduler.report(create(ReportRequestSchema, { entryId: "e1", starts }), this.#nowMs));
    }

    #poll(): void {
        this.#scheduler.recordEntryPoll(create(PollRequestSchema, { entryId: "e1" }), this.#nowMs);
    }

    #startLeader(): Scheduler {
        this.#term += 1;
        const scheduler = new Scheduler(this.#state, defaultSchedulerSettings, this.#random);
        scheduler.startTerm(this.#term, "leader", this.#nowMs);
        return scheduler;
    }

    /** Commits the batch and releases its effects, or discards both if the leader is lost. */
    #commit(leaderLost: boolean): void {
        const { events, orders } = this.#scheduler.takeDecision();
        this.#batch += 1;
        this.#state.markBatchEnd(this.#batch);
        const effects = this.#afterCommit;
        this.#afterCommit = [];
        if (leaderLost) {
            this.#state.rollback();
            this.#scheduler = this.#startLeader();
            return;
        }
        this.#state.commitThrough(this.#batch);
        events.forEach(event => this.#committed(event));
        orders.forEach(({ order }) => this.#send(() => this.#executeOrder(order)));
        effects.forEach(effect => effect());
    }

    #committed(event: Event): void {
        this.#replica.apply(event);
        this.#replica.markBatchEnd(this.#batch);
        this.#replica.commitThrough(this.#batch);
        if (event.kind.case !== "jobEnded" || event.kind.value.outcome !== Outcome.NOT_RUN) {
            return;
        }
        const { requestId } = event.kind.value;
        this.#reportedNotRun.add(requestId);
        expect(this.#groundTruths.get(requestId)?.freshStarts, `${requestId} was reported as not run`).toBe(0);
    }

    #started(jobId: string, serverId: string, resumed: boolean): void {
        const truth = this.#groundTruths.get(jobId);
        if (truth === undefined) {
            throw new Error(`unknown job ${jobId} started`);
        }
        expect([...truth.runningOn], `${jobId} runs on two servers`).toEqual([]);
        expect(this.#reportedNotRun.has(jobId), `${jobId} started after it was reported as not run`).toBe(false);
        truth.runningOn.add(serverId);
        truth.freshStarts += resumed ? 0 : 1;
        if (truth.workClass === "recall") {
            expect(truth.freshStarts, `${jobId} was started again`).toBe(1);
        }
        const zone = this.#state.backendServer(serverId)?.availabilityZone ?? "";
        const record = this.#state.zone(zone);
        const outOfServiceMs = record?.state === ZoneState.OUT_OF_SERVICE ? this.#nowMs - record.changedAtMs : 0;
        expect(outOfServiceMs, `${jobId} started in zone ${zone}`).toBeLessThan(3_000);
    }

    #checkCapacity(): void {
        for (const server of this.#state.backendServers()) {
            const use = this.#state.useOfBackendServer(server.backendServerId);
            expect(fitsWithin(use.resources, server.capacity ?? NO_RESOURCES)).toBe(true);
            expect(use.jobKeys.size).toBeLessThanOrEqual(server.slots);
        }
        for (const server of this.#servers) {
            expect(server.runningTasks).toBeLessThanOrEqual(4);
        }
    }
}

const FIRST_SEED = Number(process.env["SCHEDULER_SEED"] ?? 1);
const SEEDS = Number(process.env["SCHEDULER_SEEDS"] ?? 12);

describe("Scheduler under random faults", () => {
    // Guards against double runs, wrong refusals, lost capacity and stuck jobs under any interleaving of reports.
    it.each(Array.from({ length: SEEDS }, (unusedValue, position) => FIRST_SEED + position))(
        "keeps all invariants and ends every job once faults stop (seed %i)",
        seed => {
            new Simulation(seed).run();
        },
    );
});
