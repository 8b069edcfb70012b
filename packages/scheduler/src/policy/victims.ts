import { WorkKind } from "@waxwingspread/protocol";
import { addTo, fitsInto } from "./amounts.js";
import type { Amounts } from "./amounts.js";
import type { ServerRecord } from "./server-record.js";
import type { PlacedTask } from "./types.js";

/** Cost of a victim that can't be repeated if its checkpoint fails, relative to one that can. */
const NOT_REPEATABLE_COST = 0.5;
/** Age from which on an older victim costs no more. */
const MAXIMUM_AGE_MS = 120_000;
const AGE_COST = 0.5;

/** Repeatable ones first, then the youngest. */
const compareVictims = (left: PlacedTask, right: PlacedTask): number => {
    if (left.repeatable !== right.repeatable) {
        return left.repeatable ? -1 : 1;
    }
    if (left.placedAtMs !== right.placedAtMs) {
        return right.placedAtMs - left.placedAtMs;
    }
    return left.taskKey < right.taskKey ? -1 : 1;
};

/** Batch tasks whose stop makes room for the need; undefined where all of them would not suffice. */
export const cheapestVictims = (server: ServerRecord, need: Amounts): PlacedTask[] | undefined => {
    const candidates = [...server.tasks.values()]
        .filter(task => task.workKind === WorkKind.BATCH && !task.stopping)
        .sort(compareVictims);
    const free = server.free();
    let freeSlots = server.freeSlots;
    const victims: PlacedTask[] = [];
    for (const candidate of candidates) {
        if (freeSlots > 0 && fitsInto(need, free)) {
            break;
        }
        victims.push(candidate);
        addTo(free, candidate.reserved);
        freeSlots += 1;
    }
    if (freeSlots <= 0 || !fitsInto(need, free) || victims.length === 0) {
        return undefined;
    }
    return withoutNeedless(victims, need, free, freeSlots);
};

/** Drops victims that a later, larger one made needless; the dearest are dropped first. */
const withoutNeedless = (victims: PlacedTask[], need: Amounts, free: Amounts, slots: number): PlacedTask[] => {
    let freeSlots = slots;
    const kept = [...victims];
    for (const victim of [...victims].reverse()) {
        addTo(free, victim.reserved, -1);
        if (freeSlots > 1 && fitsInto(need, free)) {
            freeSlots -= 1;
            kept.splice(kept.indexOf(victim), 1);
        }
        else {
            addTo(free, victim.reserved);
        }
    }
    return kept;
};

/** Cost of stopping the victims, in stops of a young, repeatable task. */
export const victimsCost = (victims: readonly PlacedTask[], nowMs: number): number => {
    let cost = 0;
    for (const victim of victims) {
        const ageRatio = Math.min(1, Math.max(0, nowMs - victim.placedAtMs) / MAXIMUM_AGE_MS);
        cost += 1 + (victim.repeatable ? 0 : NOT_REPEATABLE_COST) + AGE_COST * ageRatio;
    }
    return cost;
};
