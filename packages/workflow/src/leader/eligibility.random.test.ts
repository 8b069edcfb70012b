import { SeededRandom } from "@waxwingspread/common";
import { expect, it } from "vitest";
import { JobState } from "../model/calls.js";
import type { EligibilityTiming, QueueContract } from "../model/configuration.js";
import type { StartOrder } from "../model/heartbeat.js";
import { configurationOf, jobOf, stepOf } from "../testing/fixtures.js";
import { LeaseFleet } from "../testing/lease-fleet.js";
import { SingleReplica } from "../testing/single-replica.js";
import type { EligibilityQuery, QueryEligibility } from "./eligibility.js";

const FIRST_SEED = Number(process.env.ELIGIBILITY_FIRST_SEED ?? 1);
/** A gang whose servers are approved one by one, each approval having expired when the next one comes. */
const GANG_SEED = 1197;
const SEEDS = [
    GANG_SEED,
    ...Array.from({ length: Number(process.env.ELIGIBILITY_SEEDS ?? 24) }, (unused, index) => FIRST_SEED + index),
];
const CAPACITY = { cpuMillicores: 4_000, memoryMebibytes: 16_000, accelerators: 0 };
const WHOLE_SERVER = { ...CAPACITY, memoryMebibytes: 1_000 };
const RUN_TIME_MS = 500;
/** Time within which all jobs are done, with the slowest service and one approval a query. */
const MAX_DURATION_MS = 240_000;
const LEADER_LOSS_MS = 4_000;

interface OpenQuery {
    query: EligibilityQuery;
    respond: Parameters<QueryEligibility>[1];
    receivedAtMs: number;
    answersAtMs: number;
}

/** Stand-in for the eligibility service and a fleet whose servers reject starts with approvals that are too old. */
class ApprovedFleet {
    readonly replica: SingleReplica;
    readonly fleet: LeaseFleet;
    readonly timing: EligibilityTiming;
    rejectedStarts = 0;
    readonly #random: SeededRandom;
    /** Whether the service counts the validity from the arrival of a query, not from its answer. */
    readonly #countsFromQuery: boolean;
    readonly #open: OpenQuery[] = [];

    constructor(seed: number) {
        this.#random = new SeededRandom(seed);
        this.timing = {
            decisionMs: this.#pick(0, 1_200),
            perServerMs: this.#pick(0, 120),
            validityMs: this.#pick(500, 4_000),
        };
        const { decisionMs, perServerMs, validityMs } = this.timing;
        const isFastEnough = decisionMs + perServerMs <= validityMs / 2;
        this.#countsFromQuery = isFastEnough && this.#pick(0, 1) === 0;
        this.replica = SingleReplica.started({
            queryEligibility: (query, respond) => this.#receive(query, respond),
        });
        const [queue] = configurationOf(2).queues as [QueueContract];
        const queues = [{ ...queue, eligibility: this.timing }];
        this.replica.node.configure(configurationOf(2, { queues }), () => undefined, this.replica.times);
        this.fleet = new LeaseFleet(this.replica, {
            count: this.#pick(2, 6),
            capacity: CAPACITY,
            runTimeMs: () => RUN_TIME_MS,
            rejects: (serverId, order) => this.#rejects(serverId, order),
        });
    }

    submitJobs(): void {
        const serverCount = this.fleet.servers.length;
        for (let number = 0; number < this.#pick(1, 4); number += 1) {
            // A gang needs several approvals at once, which a service that counts from the query may never allow.
            const isGang = !this.#countsFromQuery && this.#pick(0, 2) === 0;
            const taskCount = this.#pick(1, isGang ? serverCount : 8);
            const amounts = this.#pick(0, 1) === 0 ? WHOLE_SERVER : stepOf().amounts;
            this.replica.submit(jobOf(`j${number}`, stepOf({ taskCount, amounts, isGang })));
        }
    }

    advance(durationMs: number): void {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
            this.#answerDue();
            this.fleet.advance(100);
        }
    }

    #receive(query: EligibilityQuery, respond: OpenQuery["respond"]): void {
        const { nowMs } = this.replica.times;
        const beginsAtMs = Math.max(nowMs, this.#open.at(-1)?.answersAtMs ?? 0);
        const decisionMs = query.timing.decisionMs + query.timing.perServerMs * query.serverIds.length;
        this.#open.push({ query, respond, receivedAtMs: nowMs, answersAtMs: beginsAtMs + decisionMs });
    }

    #answerDue(): void {
        const { nowMs } = this.replica.times;
        while ((this.#open[0]?.answersAtMs ?? Infinity) <= nowMs) {
            const [{ query, respond, receivedAtMs, answersAtMs }] = this.#open.splice(0, 1) as [OpenQuery];
            const issuedAtMs = this.#countsFromQuery ? receivedAtMs : answersAtMs;
            respond(
                query.serverIds.map(serverId => ({ serverId, token: `${query.step}/${serverId}/${issuedAtMs}` })),
                nowMs,
            );
        }
    }

    #rejects(serverId: string, { task, eligibilityToken = "" }: StartOrder): boolean {
        const [step, approvedServer, issuedAtMs] = eligibilityToken.split("/");
        const isValid = task.startsWith(`${step}.`)
            && approvedServer === serverId
            && this.replica.times.nowMs <= Number(issuedAtMs) + this.timing.validityMs;
        this.rejectedStarts += isValid ? 0 : 1;
        return !isValid;
    }

    #pick(minimum: number, maximum: number): number {
        return this.#random.nextInteger(minimum, maximum);
    }
}

// Load: a few jobs and gangs on idle servers, with a service of any speed and validity that counts from the query or from the
// answer. Guards against approvals that are never used and against starts that are rejected again and again.
it.each(SEEDS)("completes jobs of a queue with approvals, also after a change of the leader, seed %i", seed => {
    const approved = new ApprovedFleet(seed);
    approved.advance(500);
    approved.submitJobs();
    approved.advance(LEADER_LOSS_MS);
    approved.replica.failOver();
    const jobs = () => [...approved.replica.node.state.jobs.values()];
    for (let elapsedMs = 0; elapsedMs < MAX_DURATION_MS && jobs().some(({ isOver }) => !isOver); elapsedMs += 1_000) {
        approved.advance(1_000);
    }
    expect(jobs().map(({ state }) => state)).toEqual(jobs().map(() => JobState.Completed));
});
