import { WorkKind } from "@waxwingspread/protocol";
import { TokenBucket } from "../../timing/token-bucket.js";
import type { PlacedTask, TaskKey, ZonePolicy } from "../types.js";

const REFILL_MS = 30_000;
const INITIAL_FILL_RATIO = 0.1;
const STOPS_PER_SECOND = 8;

/** Stops latency-critical, then batch, then standing work at a constant rate; refills a returning zone linearly. */
export class BasicZonePolicy implements ZonePolicy {
    readonly #returnedAtMs = new Map<string, number>();
    readonly #stopBucket = new TokenBucket(STOPS_PER_SECOND, STOPS_PER_SECOND);

    startDrain(availabilityZone: string): void {
        this.#returnedAtMs.delete(availabilityZone);
    }

    startRefill(availabilityZone: string, nowMs: number): void {
        this.#returnedAtMs.set(availabilityZone, nowMs);
    }

    selectTasksToStop(tasks: readonly PlacedTask[], nowMs: number): TaskKey[] {
        const order = [WorkKind.LATENCY_CRITICAL, WorkKind.BATCH, WorkKind.STANDING];
        return tasks.filter(task => !task.stopping)
            .sort((a, b) => order.indexOf(a.workKind) - order.indexOf(b.workKind) || a.placedAtMs - b.placedAtMs)
            .filter(() => this.#stopBucket.take(nowMs))
            .map(task => task.taskKey);
    }

    fillRatio(availabilityZone: string, nowMs: number): number {
        const returnedAtMs = this.#returnedAtMs.get(availabilityZone);
        return returnedAtMs === undefined
            ? 1
            : Math.min(1, Math.max(INITIAL_FILL_RATIO, (nowMs - returnedAtMs) / REFILL_MS));
    }

    takeRefilledZones(nowMs: number): string[] {
        const names = [...this.#returnedAtMs].filter(([, atMs]) => nowMs >= atMs + REFILL_MS).map(([name]) => name);
        names.forEach(name => this.#returnedAtMs.delete(name));
        return names;
    }
}
