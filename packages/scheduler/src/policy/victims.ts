import { WorkKind } from "@waxwingspread/protocol";
import { addAmounts, fitsWithin } from "./amounts.js";
import type { Amounts } from "./amounts.js";
import type { ServerRecord } from "./server-record.js";
import type { PlacedTask } from "./types.js";

/** Added cost of evicting a task that cannot be repeated if its checkpoint fails. */
const NOT_REPEATABLE_COST = 0.5;
/** Age beyond which the cost of evicting a task no longer rises. */
const MAXIMUM_AGE_MS = 120_000;
/** Added cost of evicting a task of that age. */
const AGE_COST = 0.5;

/** Orders repeatable tasks before others, and then the youngest first. */
const compareVictims = (left: PlacedTask, right: PlacedTask): number => {
    if (left.repeatable !== right.repeatable) {
        return left.repeatable ? -1 : 1;
    }
    if (left.placedAtMs !== right.placedAtMs) {
        return right.placedAtMs - left.placedAtMs;
    }
    return left.taskKey < right.taskKey ? -1 : 1;
};

/**
 * Selects batch tasks whose eviction makes `need` fit on the server; undefined if it fits without eviction, or does not
 * fit even if all batch tasks are evicted.
 */
export const cheapestVictims = (server: ServerRecord, need: Amounts): PlacedTask[] | undefined => {
    const candidates = [...server.tasks.values()]
        .filter(task => task.workKind === WorkKind.BATCH && !task.stopping)
        .sort(compareVictims);
    const free = server.free();
    let freeSlots = server.freeSlots;
    const victims: PlacedTask[] = [];
    for (const candidate of candidates) {
        if (freeSlots > 0 && fitsWithin(need, free)) {
            break;
        }
        victims.push(candidate);
        addAmounts(free, candidate.reserved);
        freeSlots += 1;
    }
    if (freeSlots <= 0 || !fitsWithin(need, free) || victims.length === 0) {
        return undefined;
    }
    return withoutNeedless(victims, need, free, freeSlots);
};

/** Drops victims that are no longer needed because a larger one was selected after them, most expensive first. */
const withoutNeedless = (victims: PlacedTask[], need: Amounts, free: Amounts, slots: number): PlacedTask[] => {
    let freeSlots = slots;
    const kept = [...victims];
    for (const victim of [...victims].reverse()) {
        addAmounts(free, victim.reserved, -1);
        if (freeSlots > 1 && fitsWithin(need, free)) {
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
export const victimsCost = (victims: readonly PlacedTask[], nowMs: number): number => {
    let cost = 0;
    for (const victim of victims) {
        const ageRatio = Math.min(1, Math.max(0, nowMs - victim.placedAtMs) / MAXIMUM_AGE_MS);
        cost += 1 + (victim.repeatable ? 0 : NOT_REPEATABLE_COST) + AGE_COST * ageRatio;
    }
    return cost;
};
