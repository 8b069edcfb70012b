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
    const overdue: Turn[] = [];
    const withinRates = new Map<number, Turn[]>();
    const beyondRates = new Map<number, Turn[]>();
    for (const turn of turns) {
        const exceeds = exceedsRate(turn.waiting);
        if (!exceeds && isStandingOverdue(turn.waiting, timeOfDayMs)) {
            overdue.push(turn);
        }
        else {
            addTo(exceeds ? beyondRates : withinRates, turn);
        }
    }
    yield* overdue;
    for (const turnsByPriority of [withinRates, beyondRates]) {
        for (const [priority, turnsOfPriority] of [...turnsByPriority].sort(([a], [b]) => a - b)) {
            yield* shareAmong(turnsOfPriority, priority, shares);
        }
    }
}

/** Whether the job of a step was submitted beyond the agreed rate of its organisation. */
export const exceedsRate = ({ job }: WaitingStep): boolean => job.specification.exceedsRate === true;

const addTo = (turnsByPriority: Map<number, Turn[]>, turn: Turn): void => {
    const { priority } = turn.waiting.job.queue;
    const turns = turnsByPriority.get(priority);
    if (turns === undefined) {
        turnsByPriority.set(priority, [turn]);
    }
    else {
        turns.push(turn);
    }
};

/** Yields the turns of one priority. */
function* shareAmong(turns: readonly Turn[], priority: number, shares: FairShares): Generator<Turn, void> {
    const competitors = new Map<string, Competitor>();
    for (const turn of turns) {
        const { organisation } = turn.waiting.job.specification;
        const maxTasks = organisation === undefined ? Infinity : tasksWithin(organisation, turn, priority, shares);
        if (maxTasks > 0) {
            yield maxTasks < turn.maxTasks ? { waiting: turn.waiting, maxTasks } : turn;
        }
        if (organisation !== undefined && maxTasks < Math.min(turn.maxTasks, turn.waiting.record.tasks.length)) {
            const competitor = competitors.get(organisation) ?? { id: organisation, turns: [], next: 0 };
            competitors.set(organisation, competitor);
            competitor.turns.push(turn);
        }
    }
    yield* fillShares([...competitors.values()], priority, shares);
}

/** Returns the number of tasks of a turn that the organisation is entitled to. */
const tasksWithin = (organisation: string, { waiting }: Turn, priority: number, shares: FairShares): number =>
    shares.relativeShareOf(organisation, priority) >= 1
        ? 0
        : tasksPerStart(waiting.step) * shares.tasksWithinShare(organisation, priority, waiting.step);

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
