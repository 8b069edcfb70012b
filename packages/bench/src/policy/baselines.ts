import { WorkKind } from "@waxwingspread/protocol";
import type { Resources } from "@waxwingspread/protocol";
import type {
    PlacedTask,
    Placement,
    PlacementPolicy,
    PlacementQuery,
    Preemption,
    ServerView,
} from "@waxwingspread/scheduler";

interface ServerState {
    view: ServerView;
    tasks: Map<string, PlacedTask>;
}

/** Returns whether tasks of a kind of work may be placed on a server. */
export type ServerFilter = (backendServerId: string, workKind: WorkKind) => boolean;

/**
 * Baseline that places on the permitted server with the most free slots and preempts the most recently placed batch
 * task. It does not distinguish work classes.
 */
export class LeastLoadedPlacement implements PlacementPolicy {
    readonly #servers = new Map<string, ServerState>();
    readonly #permits: ServerFilter;
    readonly #reservedSlotRatio: number;

    /** `reservedSlotRatio` is the share of all slots that batch tasks must leave free for latency-critical work. */
    constructor(permits: ServerFilter, reservedSlotRatio: number) {
        this.#permits = permits;
        this.#reservedSlotRatio = reservedSlotRatio;
    }

    upsertServer(view: ServerView): void {
        const known = this.#servers.get(view.backendServerId);
        this.#servers.set(view.backendServerId, { view, tasks: known?.tasks ?? new Map() });
    }

    removeServer(backendServerId: string): void {
        this.#servers.delete(backendServerId);
    }

    occupy(backendServerId: string, task: PlacedTask): void {
        this.#servers.get(backendServerId)?.tasks.set(task.taskKey, task);
    }

    release(backendServerId: string, taskKey: string): void {
        this.#servers.get(backendServerId)?.tasks.delete(taskKey);
    }

    choose(query: PlacementQuery): Placement | undefined {
        if (query.workKind === WorkKind.BATCH && !this.#hasUnreservedSlots()) {
            return undefined;
        }
        let best: ServerState | undefined;
        let bestFree = 0;
        for (const server of this.#servers.values()) {
            const free = countFreeSlots(server);
            if (free > bestFree && this.#isPermitted(server, query) && fitsOn(server, query.reserved, [])) {
                best = server;
                bestFree = free;
            }
        }
        return best === undefined
            ? undefined
            : { backendServerId: best.view.backendServerId, explanation: "most free slots" };
    }

    choosePreemption(query: PlacementQuery): Preemption | undefined {
        let best: ServerState | undefined;
        let newest: PlacedTask | undefined;
        for (const server of this.#servers.values()) {
            if (!this.#isPermitted(server, query)) {
                continue;
            }
            for (const task of server.tasks.values()) {
                const isNewer = newest === undefined || task.placedAtMs > newest.placedAtMs;
                const isEvictable = task.workKind === WorkKind.BATCH && !task.stopping;
                if (isEvictable && isNewer && fitsOn(server, query.reserved, [task])) {
                    best = server;
                    newest = task;
                }
            }
        }
        if (best === undefined || newest === undefined) {
            return undefined;
        }
        return {
            backendServerId: best.view.backendServerId,
            victims: [newest.taskKey],
            explanation: "youngest batch task",
        };
    }

    couldEverFit(): boolean {
        return true;
    }

    #hasUnreservedSlots(): boolean {
        let free = 0;
        let total = 0;
        for (const server of this.#servers.values()) {
            if (server.view.placeable) {
                free += Math.max(0, countFreeSlots(server));
                total += server.view.slots;
            }
        }
        return free > total * this.#reservedSlotRatio;
    }

    #isPermitted(server: ServerState, query: PlacementQuery): boolean {
        return server.view.placeable && this.#permits(server.view.backendServerId, query.workKind);
    }
}

const countFreeSlots = (server: ServerState): number =>
    Math.min(server.view.slots, server.view.slotLimit) - server.tasks.size;

const fitsOn = (server: ServerState, required: Resources, evicted: readonly PlacedTask[]): boolean => {
    let cpu = server.view.capacity.cpuMillicores;
    let memory = server.view.capacity.memoryMebibytes;
    for (const task of server.tasks.values()) {
        if (!evicted.includes(task)) {
            cpu -= task.reserved.cpuMillicores;
            memory -= task.reserved.memoryMebibytes;
        }
    }
    return countFreeSlots(server) + evicted.length > 0 && required.cpuMillicores <= cpu
        && required.memoryMebibytes <= memory;
};
