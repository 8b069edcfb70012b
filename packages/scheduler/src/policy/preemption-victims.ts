import { WorkKind } from "@waxwingspread/protocol";
import { addAmounts, fitsWithin } from "../state/resources.js";
import type { ResourceAmounts } from "../state/resources.js";
import type { ServerRecord } from "./server-record.js";
import type { PlacedTask } from "./types.js";

/** Added cost of evicting a task that cannot be repeated if its checkpoint fails. */
const NON_REPEATABLE_ADDED_COST = 0.5;
/** Age beyond which the cost of evicting a task no longer rises. */
const MAXIMUM_COST_AGE_MS = 120_000;
/** Added cost of evicting a task of that age. */
const MAXIMUM_AGE_ADDED_COST = 0.5;

/** Orders repeatable tasks before others, and then the most recent first. */
const compareByEvictionCost = (left: PlacedTask, right: PlacedTask): number => {
    if (left.repeatable !== right.repeatable) {
        return left.repeatable ? -1 : 1;
    }
    if (left.placedAtMs !== right.placedAtMs) {
        return right.placedAtMs - left.placedAtMs;
    }
    return left.taskKey < right.taskKey ? -1 : 1;
};

/**
 * Selects batch tasks whose eviction makes `required` fit on the server; undefined if it fits without eviction, or does
 * not fit even if all batch tasks are evicted.
 */
export const selectVictims = (server: ServerRecord, required: ResourceAmounts): PlacedTask[] | undefined => {
    const candidates = [...server.tasks.values()]
        .filter(task => task.workKind === WorkKind.BATCH && !task.stopping)
        .sort(compareByEvictionCost);
    const free = server.free();
    let freeSlots = server.freeSlots;
    const victims: PlacedTask[] = [];
    for (const candidate of candidates) {
        if (freeSlots > 0 && fitsWithin(required, free)) {
            break;
        }
        victims.push(candidate);
        addAmounts(free, candidate.reserved);
        freeSlots += 1;
    }
    if (freeSlots <= 0 || !fitsWithin(required, free) || victims.length === 0) {
        return undefined;
    }
    return dropUnneededVictims(victims, required, free, freeSlots);
};

/** Drops victims that are no longer needed because a larger one was selected after them, most expensive first. */
const dropUnneededVictims = (
    victims: PlacedTask[],
    required: ResourceAmounts,
    free: ResourceAmounts,
    slots: number,
): PlacedTask[] => {
    let freeSlots = slots;
    const kept = [...victims];
    for (const victim of [...victims].reverse()) {
        addAmounts(free, victim.reserved, -1);
        if (freeSlots > 1 && fitsWithin(required, free)) {
            freeSlots -= 1;
            kept.splice(kept.indexOf(victim), 1);
        }
        else {
            addAmounts(free, victim.reserved);
        }
    }
    return kept;
};

/** Returns the cost of evicting the tasks; evicting a task that has just started and is repeatable costs 1. */
export const evictionCost = (victims: readonly PlacedTask[], nowMs: number): number => {
    let cost = 0;
    for (const victim of victims) {
        const ageRatio = Math.min(1, Math.max(0, nowMs - victim.placedAtMs) / MAXIMUM_COST_AGE_MS);
        cost += 1 + (victim.repeatable ? 0 : NON_REPEATABLE_ADDED_COST) + MAXIMUM_AGE_ADDED_COST * ageRatio;
    }
    return cost;
};
