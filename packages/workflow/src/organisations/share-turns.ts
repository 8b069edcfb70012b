import { fillProgressively, IndexedHeap } from "@waxwingspread/common";
import { isStandingOverdue } from "../leader/work-queue.js";
import type { Turn, WaitingStep } from "../leader/work-queue.js";
import type { FairShares } from "./fair-shares.js";
import { tasksPerStart } from "./organisation-contracts.js";

/** Parts of a step that are placed one after another while several organisations compete for room. */
const PARTS_OF_STEP = 16;

/** An organisation whose share doesn't cover all of its waiting tasks. */
interface Competitor {
    /** Name of the organisation. */
    readonly id: string;
    readonly turns: Turn[];
    next: number;
}

/**
 * Reorders turns so that organisations get room by their weights. Overdue standing steps come first as before. Within a
 * priority follow, in the order of the turns, the tasks that organisations are entitled to; then the others by progressive
 * filling, those of one organisation in the order of its turns. Jobs beyond the agreed rates of their organisations come
 * last, after all priorities.
 *
 * What an organisation holds is read when each turn is taken, so that the caller must assign tasks in between.
 */
export function* shareTurns(turns: readonly Turn[], shares: FairShares, timeOfDayMs: number): Generator<Turn, void> {
    const isOverdue = ({ waiting }: Turn): boolean => isStandingOverdue(waiting, timeOfDayMs) && !exceedsRate(waiting);
    yield* turns.filter(isOverdue);
    const others = turns.filter(turn => !isOverdue(turn));
    for (const part of [others.filter(turn => !exceedsRate(turn.waiting)), others.filter(isBeyondRate)]) {
        for (const turnsOfPriority of groupByPriority(part)) {
            yield* shareAmong(turnsOfPriority, shares);
        }
    }
}

/** Whether the job of a step was submitted beyond the agreed rate of its organisation. */
export const exceedsRate = ({ job }: WaitingStep): boolean => job.specification.exceedsRate === true;

const isBeyondRate = ({ waiting }: Turn): boolean => exceedsRate(waiting);

const priorityOf = ({ waiting }: Turn): number => waiting.job.queue.priority;

const groupByPriority = (turns: readonly Turn[]): Turn[][] => {
    const groups = new Map<number, Turn[]>();
    for (const turn of turns) {
        const group = groups.get(priorityOf(turn)) ?? [];
        groups.set(priorityOf(turn), group);
        group.push(turn);
    }
    return [...groups.entries()].sort(([a], [b]) => a - b).map(([, group]) => group);
};

/** Yields the turns of one priority. */
function* shareAmong(turns: readonly Turn[], shares: FairShares): Generator<Turn, void> {
    const competitors = new Map<string, Competitor>();
    for (const turn of turns) {
        const { organisation } = turn.waiting.job.specification;
        const maxTasks = organisation === undefined ? Infinity : tasksWithin(organisation, turn, shares);
        if (maxTasks > 0) {
            yield { ...turn, maxTasks: Math.min(turn.maxTasks, maxTasks) };
        }
        if (organisation !== undefined && maxTasks < Math.min(turn.maxTasks, turn.waiting.record.tasks.length)) {
            const competitor = competitors.get(organisation) ?? { id: organisation, turns: [], next: 0 };
            competitors.set(organisation, competitor);
            competitor.turns.push(turn);
        }
    }
    yield* fillShares([...competitors.values()], turns[0] === undefined ? 0 : priorityOf(turns[0]), shares);
}

/** Returns the number of tasks of a turn that the organisation is entitled to. */
const tasksWithin = (organisation: string, turn: Turn, shares: FairShares): number =>
    shares.relativeShareOf(organisation, priorityOf(turn)) >= 1
        ? 0
        : tasksPerStart(turn.waiting.step) * shares.tasksWithinShare(organisation, priorityOf(turn), turn.waiting.step);

/** Yields the remaining turns of the organisations, again and again one of that with the smallest weighted share. */
function* fillShares(competitors: readonly Competitor[], priority: number, shares: FairShares): Generator<Turn, void> {
    const shareOf = ({ id }: Competitor): number => shares.relativeShareOf(id, priority);
    const heap = new IndexedHeap<Competitor>();
    competitors.forEach(competitor => heap.set(competitor, shareOf(competitor)));
    yield* fillProgressively<Competitor, Turn>({
        heap,
        next: ({ turns, next }) => {
            const turn = turns[next];
            return turn === undefined ? undefined : { ...turn, maxTasks: partOf(turn, heap.size > 1) };
        },
        shareAfter: (competitor, turn, shareBefore) => {
            const share = shareOf(competitor);
            // A step of which nothing was placed has no further turn.
            const isOver = share === shareBefore || competitor.turns[competitor.next]?.maxTasks === turn.maxTasks;
            competitor.next += isOver ? 1 : 0;
            return share;
        },
    });
}

const partOf = ({ waiting, maxTasks }: Turn, hasRivals: boolean): number =>
    hasRivals ? Math.min(maxTasks, Math.ceil(waiting.record.tasks.length / PARTS_OF_STEP)) : maxTasks;
