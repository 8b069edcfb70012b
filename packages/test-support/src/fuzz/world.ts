import { SeededRandom } from "@waxwingspread/common";

const START_MS = 1_000_000;

interface TimedTask {
    atMs: number;
    sequence: number;
    run: () => void;
}

const isBefore = (a: TimedTask, b: TimedTask): boolean =>
    a.atMs < b.atMs || a.atMs === b.atMs && a.sequence < b.sequence;

/** Lets all promise continuations that are ready run; nothing in a simulation waits for anything else. */
const settlePromises = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Virtual time: tasks run in the order of their times, and promises settle before time goes on. */
export class World {
    readonly random: SeededRandom;
    nowMs = START_MS;
    /** Events executed so far. */
    events = 0;
    #sequence = 0;
    readonly #heap: TimedTask[] = [];

    constructor(seed: number) {
        this.random = new SeededRandom(seed);
    }

    chance(ratio: number): boolean {
        return ratio > 0 && this.random.nextRatio() < ratio;
    }

    schedule(delayMs: number, run: () => void): void {
        this.#sequence += 1;
        this.#push({ atMs: this.nowMs + Math.max(0, Math.round(delayMs)), sequence: this.#sequence, run });
    }

    /** Runs everything that is due within the given time. */
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
            const above = heap[parent];
            if (above === undefined || isBefore(above, task)) {
                break;
            }
            heap[position] = above;
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

/** A process on a VM: it can be frozen, thawed, killed and restarted at any time. */
export class Host {
    #generation = 0;
    #alive = false;
    #frozen = false;
    #backlog: (() => void)[] = [];

    constructor(readonly world: World, readonly name: string, readonly zone: string) {}

    get alive(): boolean {
        return this.#alive;
    }

    get frozen(): boolean {
        return this.#frozen;
    }

    /** Number of the present process on this host. */
    get generation(): number {
        return this.#generation;
    }

    started(): void {
        this.#generation += 1;
        this.#alive = true;
    }

    stopped(): void {
        this.#generation += 1;
        this.#alive = false;
        this.#frozen = false;
        this.#backlog = [];
    }

    freeze(): void {
        this.#frozen = this.#alive;
    }

    thaw(): void {
        this.#frozen = false;
        const backlog = this.#backlog;
        this.#backlog = [];
        backlog.forEach(task => {
            task();
        });
    }

    /** Returns a task that belongs to the present process: it waits while that is frozen and ends with it. */
    bind(task: () => void): () => void {
        const generation = this.#generation;
        const bound = (): void => {
            if (generation !== this.#generation) {
                return;
            }
            if (this.#frozen) {
                this.#backlog.push(bound);
                return;
            }
            task();
        };
        return bound;
    }

    every(intervalMs: number, task: () => void): void {
        const repeat = this.bind(() => {
            task();
            this.world.schedule(intervalMs, repeat);
        });
        this.world.schedule(this.world.random.nextInteger(1, intervalMs), repeat);
    }
}
