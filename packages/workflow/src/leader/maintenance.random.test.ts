import { SeededRandom } from "@waxwingspread/common";
import { expect, it } from "vitest";
import { MaintenanceOutcome, MaintenanceState } from "../model/maintenance.js";
import { jobOf, standingStepOf } from "../testing/fixtures.js";
import { LeaseFleet } from "../testing/lease-fleet.js";
import type { FleetRun } from "../testing/lease-fleet.js";
import { LEADER_SETTINGS, SingleReplica } from "../testing/single-replica.js";

const FIRST_SEED = Number(process.env.MAINTENANCE_FIRST_SEED ?? 1);
const SEEDS = Array.from(
    { length: Number(process.env.MAINTENANCE_SEEDS ?? 16) },
    (unused, index) => FIRST_SEED + index,
);
const SERVER_COUNT = 8;
const JOB_COUNT = 3;
/** Time from the start of a standing task until it is at work. */
const STARTUP_MS = 300;
/** Time after which a task that isn't at work counts as away, whatever the cause. */
const NOTICE_MS = 4_500;
/** Time within which all orders are completed once the disruptions have ended. */
const COMPLETION_MS = 120_000;

/** Standing jobs with bounds on a fleet whose VMs are maintained, beside crashes, cuts and changes of the leader. */
class MaintainedFleet {
    readonly replica: SingleReplica;
    readonly fleet: LeaseFleet;
    readonly violations: string[] = [];
    readonly #random: SeededRandom;
    readonly #bounds = new Map<string, number>();
    /** Time since which a task isn't at work, and whether an order has ended it, by task. */
    readonly #away = new Map<string, { sinceMs: number; byOrder: boolean }>();
    #orders = 0;

    constructor(seed: number) {
        this.#random = new SeededRandom(seed);
        this.replica = SingleReplica.started({
            beginMaintenance: ({ vmId }, respond) => {
                this.#goDown(vmId);
                respond(MaintenanceOutcome.Begun, this.replica.times.nowMs);
            },
        });
        this.fleet = new LeaseFleet(this.replica, {
            count: SERVER_COUNT,
            capacity: { cpuMillicores: 6_000, memoryMebibytes: 64_000, accelerators: 0 },
            runTimeMs: () => Infinity,
            progressOf: ({ startedAtMs }, nowMs) => nowMs - startedAtMs >= STARTUP_MS ? 100 : 0,
            onStop: run => this.#checkStop(run),
        });
    }

    submitJobs(): void {
        for (let number = 0; number < JOB_COUNT; number += 1) {
            const taskCount = this.#pick(2, 6);
            const maxUnavailable = this.#pick(1, 2);
            this.#bounds.set(`j${number}`, maxUnavailable);
            const step = standingStepOf({ taskCount, maxUnavailable, savesCheckpoints: this.#pick(0, 1) === 0 });
            this.replica.submit(jobOf(`j${number}`, step));
            for (let index = 0; index < taskCount; index += 1) {
                this.#away.set(`j${number}.0.0.${index}`, { sinceMs: this.replica.times.nowMs, byOrder: false });
            }
        }
    }

    disrupt(): void {
        const { servers } = this.fleet;
        const server = servers[this.#pick(0, SERVER_COUNT - 1)];
        const actions = [
            () => this.#order(),
            () => this.#order(),
            () => this.replica.failOver(),
            () => server?.crash(this.replica.times.nowMs + this.#pick(500, 4_000)),
            () => {
                if (server !== undefined) {
                    server.isCutOff = !server.isCutOff;
                }
            },
        ];
        actions[this.#pick(0, actions.length - 1)]?.();
    }

    heal(): void {
        this.fleet.servers.forEach(server => {
            server.isCutOff = false;
        });
    }

    advance(durationMs: number): void {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
            this.fleet.advance(100);
            this.#updateAway();
        }
    }

    openOrders(): number[] {
        const states = Array.from({ length: this.#orders }, (unused, index) => {
            const results: unknown[] = [];
            const respond = (result: { ok: boolean; value?: unknown }): void => void results.push(result.value);
            this.replica.node.maintenanceState(index + 1, respond, this.replica.times);
            this.replica.settle();
            return results[0];
        });
        return states.flatMap((state, index) => state === MaintenanceState.Completed ? [] : [index + 1]);
    }

    #order(): void {
        this.#orders += 1;
        const vmIds = this.fleet.servers.filter(() => this.#pick(0, 3) === 0).map(({ id }) => `vm-${id}`);
        const order = { id: this.#orders, vmIds, allowedMs: 20_000, maxConcurrent: this.#pick(1, 2) };
        this.replica.node.orderMaintenance(order, () => undefined, this.replica.times);
        this.replica.settle();
    }

    #goDown(vmId: string): void {
        const server = this.fleet.servers.find(({ id }) => vmId === `vm-${id}`);
        server?.runs.forEach(run => this.#checkStop(run));
        server?.crash(this.replica.times.nowMs + LEADER_SETTINGS.maintenanceMs);
    }

    /** Checks an order that ends a run: it must not be at work while as many others as may be missing are away. */
    #checkStop({ task, startedAtMs }: FleetRun): void {
        this.#updateAway();
        const { nowMs } = this.replica.times;
        const [job = ""] = task.split(".");
        const others = [...this.#away].filter(([other, { sinceMs, byOrder }]) =>
            other !== task && other.startsWith(`${job}.`) && (byOrder || nowMs - sinceMs >= NOTICE_MS)
        );
        const isAtWork = nowMs - startedAtMs >= STARTUP_MS && !this.#away.has(task);
        if (isAtWork && others.length >= (this.#bounds.get(job) ?? Infinity)) {
            this.violations.push(`${task} stopped at ${nowMs} ms beside ${others.map(([other]) => other).join()}`);
        }
        this.#away.set(task, { sinceMs: nowMs, byOrder: true });
    }

    #updateAway(): void {
        const { nowMs } = this.replica.times;
        const atWork = new Set(
            this.fleet.servers.flatMap(({ runs }) => runs)
                .filter(({ startedAtMs }) => nowMs - startedAtMs >= STARTUP_MS)
                .map(({ task }) => task),
        );
        for (const job of this.replica.node.state.jobs.values()) {
            const taskCount = job.specification.steps[0]?.taskCount ?? 0;
            for (let index = 0; index < taskCount; index += 1) {
                const task = `${job.id}.0.0.${index}`;
                if (atWork.has(task)) {
                    this.#away.delete(task);
                }
                else if (!this.#away.has(task)) {
                    this.#away.set(task, { sinceMs: nowMs, byOrder: false });
                }
            }
        }
    }

    #pick(minimum: number, maximum: number): number {
        return this.#random.nextInteger(minimum, maximum);
    }
}

// Load: standing jobs with and without checkpoints while VMs are maintained by overlapping orders, servers crash or are cut off
// and leaders change. Guards against stops beyond the bound of a step, and against orders that never end.
it.each(SEEDS)("keeps the bounds of standing steps and completes all orders for maintenance, seed %i", seed => {
    const maintained = new MaintainedFleet(seed);
    maintained.advance(1_000);
    maintained.submitJobs();
    maintained.advance(3_000);
    for (let round = 0; round < 20; round += 1) {
        maintained.disrupt();
        maintained.advance(1_000);
    }
    maintained.heal();
    for (let elapsedMs = 0; elapsedMs < COMPLETION_MS && maintained.openOrders().length > 0; elapsedMs += 1_000) {
        maintained.advance(1_000);
    }
    expect(maintained.violations).toEqual([]);
    expect(maintained.openOrders()).toEqual([]);
});
