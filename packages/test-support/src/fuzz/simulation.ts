import { SeededRandom } from "@waxwingspread/common";

const START_MS = 1_000_000;

interface TimedTask {
    atMs: number;
    sequence: number;
    run: () => void;
}

const isBefore = (a: TimedTask, b: TimedTask): boolean =>
    a.atMs < b.atMs || a.atMs === b.atMs && a.sequence < b.sequence;

/** Runs all promise continuations that are ready. Nothing in a simulation waits for real timers or I/O. */
const settlePromises = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/**
 * Discrete-event simulation with virtual time and seeded random numbers. Tasks run in the order of their times, and all
 * promises settle before the time advances.
 */
export class Simulation {
    readonly random: SeededRandom;
    nowMs = START_MS;
    /** Number of tasks executed so far. */
    events = 0;
    #sequence = 0;
    readonly #heap: TimedTask[] = [];

    constructor(seed: number) {
        this.random = new SeededRandom(seed);
    }

    /** Returns true with the given probability. A probability of 0 consumes no random number. */
    randomBoolean(probability: number): boolean {
        return probability > 0 && this.random.nextRatio() < probability;
    }

    /** Runs a task after a delay, which is rounded to whole milliseconds. */
    schedule(delayMs: number, run: () => void): void {
        this.#sequence += 1;
        this.#push({ atMs: this.nowMs + Math.max(0, Math.round(delayMs)), sequence: this.#sequence, run });
    }

    /** Advances the time by a duration and runs all tasks that become due. */
    async advance(durationMs: number): Promise<void> {
        const endMs = this.nowMs + durationMs;
        for (let next = this.#heap[0]; next !== undefined && next.atMs <= endMs; next = this.#heap[0]) {
            this.nowMs = next.atMs;
            while (this.#heap[0] !== undefined && this.#heap[0].atMs <= this.nowMs) {
                this.events += 1;
                this.#pop()?.run();
            }
            await settlePromises();
        }
        this.nowMs = endMs;
    }

    #push(task: TimedTask): void {
        const heap = this.#heap;
        let position = heap.length;
        heap.push(task);
        while (position > 0) {
            const parent = (position - 1) >> 1;
            const parentTask = heap[parent];
            if (parentTask === undefined || isBefore(parentTask, task)) {
                break;
            }
            heap[position] = parentTask;
            position = parent;
        }
        heap[position] = task;
    }

    #pop(): TimedTask | undefined {
        const heap = this.#heap;
        const first = heap[0];
        const last = heap.pop();
        if (last === undefined || heap.length === 0) {
            return first;
        }
        let position = 0;
        for (;;) {
            const left = heap[2 * position + 1];
            const right = heap[2 * position + 2];
            const useRight = left !== undefined && right !== undefined && isBefore(right, left);
            const child = useRight ? right : left;
            if (child === undefined || isBefore(last, child)) {
                break;
            }
            heap[position] = child;
            position = 2 * position + (useRight ? 2 : 1);
        }
        heap[position] = last;
        return first;
    }
}

/** A VM that runs at most one process, which can be frozen, thawed, killed and restarted at any time. */
export class Host {
    #generation = 0;
    #isAlive = false;
    #isFrozen = false;
    #backlog: (() => void)[] = [];

    constructor(readonly simulation: Simulation, readonly name: string, readonly zone: string) {}

    get isAlive(): boolean {
        return this.#isAlive;
    }

    get isFrozen(): boolean {
        return this.#isFrozen;
    }

    /** Identifies the current process on this host; changes with each start and each stop. */
    get generation(): number {
        return this.#generation;
    }

    /** Begins a new process. */
    beginProcess(): void {
        this.#generation += 1;
        this.#isAlive = true;
    }

    /** Ends the process and drops its bound tasks. */
    endProcess(): void {
        this.#generation += 1;
        this.#isAlive = false;
        this.#isFrozen = false;
        this.#backlog = [];
    }

    freeze(): void {
        this.#isFrozen = this.#isAlive;
    }

    /** Resumes a frozen process, which first runs the tasks that became due while it was frozen. */
    thaw(): void {
        this.#isFrozen = false;
        const backlog = this.#backlog;
        this.#backlog = [];
        backlog.forEach(task => {
            task();
        });
    }

    /** Binds a task to the current process: it is deferred while the process is frozen and dropped after its end. */
    bind(task: () => void): () => void {
        const generation = this.#generation;
        const bound = (): void => {
            if (generation !== this.#generation) {
                return;
            }
            if (this.#isFrozen) {
                this.#backlog.push(bound);
                return;
            }
            task();
        };
        return bound;
    }

    /** Runs a task of the current process periodically, beginning at a random time within the first interval. */
    scheduleEvery(intervalMs: number, task: () => void): void {
        const repeat = this.bind(() => {
            task();
            this.simulation.schedule(intervalMs, repeat);
        });
        this.simulation.schedule(this.simulation.random.nextInteger(1, intervalMs), repeat);
    }
}
