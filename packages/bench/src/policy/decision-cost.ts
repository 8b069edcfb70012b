import { create } from "@bufbuild/protobuf";
import { SeededRandom } from "@waxwingspread/common";
import { ResourcesSchema, WorkKind } from "@waxwingspread/protocol";
import { createPolicies } from "@waxwingspread/scheduler";
import type { PlacedTask, PlacementQuery, PolicySet } from "@waxwingspread/scheduler";
import { serverIdOf } from "./registration.js";

/** Fleet sizes (numbers of servers) at which the time of a placement decision is measured. */
export const DECISION_FLEET_SIZES = [30, 300, 670, 2_000] as const;

const RUNNING_TASKS = 10_500;
/** Share of the slots that are free. */
const FREE_SLOT_RATIO = 0.15;
const CLASSES = 40;
const ZONES = 7;
const MEASURED_DECISIONS = 4_000;
const WARM_UP_DECISIONS = 1_000;
const LATENCY_CRITICAL_RATIO = 0.45;
const TASK_CPU_MILLICORES = 1_000;
const TASK_MEMORY_MEBIBYTES = 1_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

const RESERVED = create(ResourcesSchema, {
    cpuMillicores: TASK_CPU_MILLICORES,
    memoryMebibytes: TASK_MEMORY_MEBIBYTES,
});

const createTask = (key: string, random: SeededRandom): PlacedTask => {
    const isLatencyCritical = random.nextRatio() < LATENCY_CRITICAL_RATIO;
    return {
        taskKey: key,
        customer: "customer",
        classKey: `customer/${isLatencyCritical ? "check" : "trial"}-${random.nextInteger(1, CLASSES / 2)}`,
        workKind: isLatencyCritical ? WorkKind.LATENCY_CRITICAL : WorkKind.BATCH,
        reserved: RESERVED,
        placedAtMs: 0,
        repeatable: false,
        throttled: false,
        stopping: false,
    };
};

const createQuery = (task: PlacedTask): PlacementQuery => ({
    customer: task.customer,
    classKey: task.classKey,
    workKind: task.workKind,
    reserved: task.reserved,
    repeatable: task.repeatable,
    excludedServerIds: [],
    avoidedDomains: [],
    latencyTargetMs: task.workKind === WorkKind.LATENCY_CRITICAL ? 500 : 0,
});

interface TaskLocation {
    serverId: string;
    taskKey: string;
}

const createFilledPolicies = (servers: number, random: SeededRandom, locations: TaskLocation[]): PolicySet => {
    const policies = createPolicies({ random });
    const slots = Math.ceil(RUNNING_TASKS / (servers * (1 - FREE_SLOT_RATIO)));
    for (let index = 0; index < servers; index += 1) {
        policies.placement.upsertServer({
            backendServerId: serverIdOf(index),
            availabilityZone: `zone-${index % ZONES}`,
            rack: `rack-${Math.floor(index / 8)}`,
            capacity: create(ResourcesSchema, {
                cpuMillicores: slots * TASK_CPU_MILLICORES,
                memoryMebibytes: slots * TASK_MEMORY_MEBIBYTES,
            }),
            slots,
            placeable: true,
            slotLimit: slots,
            probing: false,
        });
    }
    for (let index = 0; index < RUNNING_TASKS; index += 1) {
        const task = createTask(`task${index}`, random);
        const serverId = serverIdOf(index % servers);
        policies.placement.occupy(serverId, task);
        locations.push({ serverId, taskKey: task.taskKey });
    }
    return policies;
};

/** Returns the mean time of a placement decision and its index update, in microseconds, with 10,500 tasks running. */
export const measureDecisionMicroseconds = (servers: number): number => {
    const random = new SeededRandom(servers);
    const locations: TaskLocation[] = [];
    const { placement } = createFilledPolicies(servers, random, locations);
    let elapsedMs = 0;
    for (let count = 0; count < WARM_UP_DECISIONS + MEASURED_DECISIONS; count += 1) {
        const task = createTask(`new${count}`, random);
        const query = createQuery(task);
        const replacedIndex = random.nextInteger(0, locations.length - 1);
        const nowMs = count * 10;
        const startedMs = performance.now();
        const choice = placement.choose(query, nowMs);
        if (choice !== undefined) {
            placement.occupy(choice.backendServerId, task);
            const replaced = locations[replacedIndex];
            if (replaced !== undefined) {
                placement.release(replaced.serverId, replaced.taskKey);
                locations[replacedIndex] = { serverId: choice.backendServerId, taskKey: task.taskKey };
            }
        }
        if (count >= WARM_UP_DECISIONS) {
            elapsedMs += performance.now() - startedMs;
        }
    }
    return elapsedMs * MICROSECONDS_PER_MILLISECOND / MEASURED_DECISIONS;
};
