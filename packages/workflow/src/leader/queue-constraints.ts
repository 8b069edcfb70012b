import type { QueueContract } from "../model/configuration.js";
import { TaskKind } from "../model/specification.js";
import type { WorkflowState } from "../state/workflow-state.js";
import type { Eligibility } from "./eligibility.js";
import { serversWithCapacity } from "./placement.js";
import type { PlacementConstraints } from "./placement.js";
import type { ServerDirectory } from "./server-directory.js";
import type { ServerView } from "./server-view.js";
import { stepKeyOf } from "./work-queue.js";
import type { WaitingStep } from "./work-queue.js";

/** Dependencies of {@link QueueConstraints}. */
export interface QueueConstraintsOptions {
    state: WorkflowState;
    directory: ServerDirectory;
    eligibility: Eligibility;
    /** Returns the size of the finite tasks for which a queue's service has too little room; 0 if it has enough. */
    scarceTaskMillicores: (queue: QueueContract, nowMs: number) => number;
}

/** Derives the constraints on the placement of a step from the present contract of its queue. */
export class QueueConstraints {
    readonly #options: QueueConstraintsOptions;

    constructor(options: QueueConstraintsOptions) {
        this.#options = options;
    }

    /** Returns the constraints on the tasks of a step, of which placed ones may determine the rack. */
    constraintsFor(waiting: WaitingStep, rackOfStep: string, nowMs: number): PlacementConstraints {
        const { state, eligibility: approvals, scarceTaskMillicores } = this.#options;
        const queue = this.#queueOf(waiting);
        const step = stepKeyOf(waiting);
        return {
            service: queue.service,
            scarceTaskMillicores: waiting.kind === TaskKind.Standing ? scarceTaskMillicores(queue, nowMs) : 0,
            zonesOutOfService: state.zonesOutOfService,
            rackOfStep,
            eligibilityExclusionOf: queue.eligibility === undefined
                ? undefined
                : server => approvals.exclusionOf(step, server, nowMs),
            isIsolated: false,
            crashes: [],
        };
    }

    /** Returns the constraints that steps share, other than their amounts. An approval is given to one step only. */
    keyFor(waiting: WaitingStep): string {
        const { kind, step } = waiting;
        const { service, eligibility } = this.#queueOf(waiting);
        const approvedStep = eligibility === undefined ? "" : stepKeyOf(waiting);
        return `${kind} ${service} ${step.image} ${step.requiredLabel} ${approvedStep}`;
    }

    /** Whether finite work has too little room in the service of a queue. */
    isRoomScarce(queue: QueueContract, nowMs: number): boolean {
        return this.#options.scarceTaskMillicores(queue, nowMs) > 0;
    }

    /** Returns the approval of a server under which a run of a step may be planned; undefined without one. */
    tokenFor(waiting: WaitingStep, server: ServerView, nowMs: number): string | undefined {
        return this.#options.eligibility.tokenFor(stepKeyOf(waiting), server, nowMs);
    }

    /** Queries on which further servers with capacity the step may run, if its queue requires approvals. */
    queryEligibility(waiting: WaitingStep, constraints: PlacementConstraints, nowMs: number): void {
        const { directory, eligibility } = this.#options;
        const timing = this.#queueOf(waiting).eligibility;
        if (timing === undefined) {
            return;
        }
        const candidates = (): ServerView[] => serversWithCapacity(waiting, directory.servers, constraints, nowMs);
        const tasks = waiting.record.tasks.length - waiting.record.doneCount;
        const demand = { tasks, tasksTogether: waiting.step.isGang ? tasks : 1 };
        eligibility.queryCandidates(stepKeyOf(waiting), candidates, demand, timing, nowMs);
    }

    #queueOf({ job }: WaitingStep): QueueContract {
        return this.#options.state.currentQueueOf(job);
    }
}
