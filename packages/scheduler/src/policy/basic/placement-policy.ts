import { WorkKind } from "@waxwingspread/protocol";
import type { Resources } from "@waxwingspread/protocol";
import { addResources, fitsWithin, NO_RESOURCES } from "../../state/resources.js";
import type { ResourceAmounts } from "../../state/resources.js";
import type {
    PlacedTask,
    Placement,
    PlacementPolicy,
    PlacementQuery,
    Preemption,
    ServerView,
    TaskKey,
} from "../types.js";

/** Order in which {@link createBasicPolicies} prefers servers with enough free capacity. */
export enum BasicPlacement {
    FirstFit = "first-fit",
    LeastLoaded = "least-loaded",
}

interface ServerLoad {
    view: ServerView;
    tasks: Map<TaskKey, PlacedTask>;
    used: ResourceAmounts;
}

/** Scans all servers for each decision, so that its cost grows with the fleet. Only a baseline and for tests. */
export class BasicPlacementPolicy implements PlacementPolicy {
    readonly #servers = new Map<string, ServerLoad>();
    readonly #order: BasicPlacement;

    constructor(order: BasicPlacement) {
        this.#order = order;
    }

    upsertServer(server: ServerView): void {
        const known = this.#servers.get(server.backendServerId);
        if (known === undefined) {
            this.#servers.set(server.backendServerId, { view: server, tasks: new Map(), used: NO_RESOURCES });
            return;
        }
        known.view = server;
    }

    removeServer(backendServerId: string): void {
        this.#servers.delete(backendServerId);
    }

    occupy(backendServerId: string, task: PlacedTask): void {
        const server = this.#servers.get(backendServerId);
        if (server !== undefined) {
            this.release(backendServerId, task.taskKey);
            server.tasks.set(task.taskKey, task);
            server.used = addResources(server.used, task.reserved);
        }
    }

    release(backendServerId: string, taskKey: TaskKey): void {
        const server = this.#servers.get(backendServerId);
        const task = server?.tasks.get(taskKey);
        if (server !== undefined && task !== undefined) {
            server.tasks.delete(taskKey);
            server.used = addResources(server.used, task.reserved, -1);
        }
    }

    choose(query: PlacementQuery): Placement | undefined {
        let best: ServerLoad | undefined;
        for (const server of this.#servers.values()) {
            if (
                this.#isEligible(server, query)
                && isWithinCapacity(server, query.reserved, server.used, server.tasks.size)
            ) {
                best = best === undefined || this.#precedes(server, best, query) ? server : best;
            }
        }
        return best && {
            backendServerId: best.view.backendServerId,
            explanation: `${this.#order} among those with room`,
        };
    }

    choosePreemption(query: PlacementQuery): Preemption | undefined {
        let best: Preemption | undefined;
        for (const server of this.#servers.values()) {
            const victims = this.#isEligible(server, query) ? selectVictims(server, query.reserved) : undefined;
            if (victims !== undefined && (best === undefined || victims.length < best.victims.length)) {
                const { backendServerId } = server.view;
                best = { backendServerId, victims, explanation: "fewest batch tasks to evict" };
            }
        }
        return best;
    }

    couldEverFit(reserved: Resources): boolean {
        return [...this.#servers.values()].some(({ view }) => fitsWithin(reserved, view.capacity));
    }

    #isEligible({ view, tasks }: ServerLoad, query: PlacementQuery): boolean {
        const isProbeAllowed = !view.probing || query.repeatable && tasks.size === 0;
        return view.placeable && isProbeAllowed && !query.excludedServerIds.includes(view.backendServerId);
    }

    #precedes(a: ServerLoad, b: ServerLoad, query: PlacementQuery): boolean {
        const spreadDifference = spreadRank(a, query) - spreadRank(b, query);
        const loadDifference = this.#order === BasicPlacement.LeastLoaded ? loadRatio(a) - loadRatio(b) : 0;
        return spreadDifference < 0 || spreadDifference === 0
                && (loadDifference < 0 || loadDifference === 0 && a.view.backendServerId < b.view.backendServerId);
    }
}

const loadRatio = ({ view, used }: ServerLoad): number =>
    Math.max(used.cpuMillicores / view.capacity.cpuMillicores, used.memoryMebibytes / view.capacity.memoryMebibytes);

const spreadRank = ({ view }: ServerLoad, { avoidedDomains }: PlacementQuery): number =>
    Number(avoidedDomains.includes(view.availabilityZone)) + Number(avoidedDomains.includes(view.rack));

const isWithinCapacity = ({ view }: ServerLoad, reserved: Resources, used: ResourceAmounts, tasks: number): boolean =>
    tasks < view.slotLimit && fitsWithin(addResources(used, reserved), view.capacity);

/**
 * Selects batch tasks to evict, repeatable ones first, then the most recent; undefined if all are not enough.
 * Capacity of tasks that are already stopping counts as free.
 */
const selectVictims = (server: ServerLoad, reserved: Resources): TaskKey[] | undefined => {
    const stopping = [...server.tasks.values()].filter(task => task.stopping);
    let used = stopping.reduce((total, task) => addResources(total, task.reserved, -1), server.used);
    let tasks = server.tasks.size - stopping.length;
    const candidates = [...server.tasks.values()]
        .filter(task => task.workKind === WorkKind.BATCH && !task.stopping)
        .sort((a, b) => Number(b.repeatable) - Number(a.repeatable) || b.placedAtMs - a.placedAtMs);
    const victims: TaskKey[] = [];
    for (const task of candidates) {
        if (isWithinCapacity(server, reserved, used, tasks)) {
            break;
        }
        used = addResources(used, task.reserved, -1);
        tasks -= 1;
        victims.push(task.taskKey);
    }
    return isWithinCapacity(server, reserved, used, tasks) ? victims : undefined;
};
