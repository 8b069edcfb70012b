import { addAmounts, scaleResources, zeroAmounts } from "@waxwingspread/common";
import type { ResourceAmounts } from "@waxwingspread/common";
import type { ReportedRun } from "../model/heartbeat.js";
import { parseTaskKey, taskKeyOf } from "../model/specification.js";
import type { StepSpecification } from "../model/specification.js";
import { EventKind } from "../state/events.js";
import type { WorkflowEvent } from "../state/events.js";
import type { JobRecord } from "../state/job-record.js";
import { TaskPhase } from "../state/occurrence-records.js";
import type { WorkflowState } from "../state/workflow-state.js";
import { isWithinQuota, tasksPerStart } from "./organisation-contracts.js";
import type { OrganisationContracts } from "./organisation-contracts.js";

/** What an organisation holds on all backend servers. */
export interface Holding {
    readonly amounts: Readonly<ResourceAmounts>;
    readonly tasks: number;
    /** Amounts by the priority of the queue. */
    readonly byPriority: ReadonlyMap<number, Readonly<ResourceAmounts>>;
    /** Increases with each change. */
    readonly revision: number;
}

interface MutableHolding extends Holding {
    amounts: ResourceAmounts;
    tasks: number;
    byPriority: Map<number, ResourceAmounts>;
    revision: number;
}

/** Amounts that a task or an untracked run holds. */
interface Entry {
    organisation: string;
    priority: number;
    amounts: Readonly<ResourceAmounts>;
    /** Whether the assignment is proposed and not yet decided. */
    isProposed: boolean;
}

/**
 * Counts what each organisation holds: its tasks whose assignment is recorded or proposed, and runs that servers report
 * and the leader doesn't track. A task is counted until its end or loss is recorded, so that an organisation never has
 * more at work than is counted.
 */
export class QuotaLedger {
    readonly #state: WorkflowState;
    readonly #contracts: OrganisationContracts;
    /** Counted tasks by key. */
    readonly #tasks = new Map<string, Entry>();
    /** Counted untracked runs by server. */
    readonly #untrackedRuns = new Map<string, readonly Entry[]>();
    readonly #holdings = new Map<string, MutableHolding>();

    constructor(state: WorkflowState, contracts: OrganisationContracts) {
        this.#state = state;
        this.#contracts = contracts;
        for (const job of state.jobs.values()) {
            if (job.specification.organisation !== undefined) {
                for (const { position, step } of job.assignedTasks()) {
                    this.#add(taskKeyOf(position), entryOf(job, step));
                }
            }
        }
    }

    /** What each organisation holds that holds anything. */
    get holdings(): ReadonlyMap<string, Holding> {
        return this.#holdings;
    }

    /** Whether the next start of a step's tasks keeps its organisation within its quota; a gang starts as a whole. */
    allowsStart(job: JobRecord, step: StepSpecification): boolean {
        const { organisation } = job.specification;
        const contract = this.#contracts.find(organisation);
        if (organisation === undefined || contract === undefined) {
            return true;
        }
        const total = scaleResources(step.amounts, tasksPerStart(step));
        addAmounts(total, this.#holdings.get(organisation)?.amounts ?? zeroAmounts());
        return isWithinQuota(total, contract.quota);
    }

    /** Whether the organisation of a job holds more than its quota, which may have been lowered. */
    isOverQuota({ specification: { organisation = "" } }: JobRecord): boolean {
        const contract = this.#contracts.find(organisation);
        const holding = this.#holdings.get(organisation);
        return contract !== undefined && holding !== undefined && !isWithinQuota(holding.amounts, contract.quota);
    }

    /** Counts a task whose assignment is proposed. */
    propose(task: string, job: JobRecord, step: StepSpecification): void {
        this.#remove(task);
        if (job.specification.organisation !== undefined) {
            this.#add(task, { ...entryOf(job, step), isProposed: true });
        }
    }

    /** Withdraws a task whose assignment isn't proposed after all. */
    withdraw(task: string): void {
        this.#remove(task);
    }

    /** Updates the tasks of an event that was applied to the replicated state. */
    handleApplied(event: WorkflowEvent): void {
        switch (event.kind) {
            case EventKind.RunsAssigned:
                event.runs.forEach(({ task }) => this.#recount(task));
                return;
            case EventKind.RunsEnded:
                event.ends.forEach(({ task }) => this.#recountUnlessProposed(task));
                return;
            case EventKind.RunsLost:
                event.runs.forEach(({ task }) => this.#recountUnlessProposed(task));
                return;
            default:
                // The runs of a job that is forgotten are counted until their end or loss is recorded.
                return;
        }
    }

    /** Counts the runs that a server reports and the leader doesn't track, in place of those that it reported before. */
    recordUntracked(serverId: string, runs: readonly Pick<ReportedRun, "task">[]): void {
        this.#untrackedRuns.get(serverId)?.forEach(entry => this.#change(entry, -1));
        this.#untrackedRuns.delete(serverId);
        const entries = runs.map(({ task }) => this.#entryOf(task)).filter(entry => entry !== undefined);
        if (entries.length > 0) {
            entries.forEach(entry => this.#change(entry, 1));
            this.#untrackedRuns.set(serverId, entries);
        }
    }

    #recountUnlessProposed(task: string): void {
        if (this.#tasks.get(task)?.isProposed !== true) {
            this.#recount(task);
        }
    }

    /** Counts a task as the replicated state has it. */
    #recount(task: string): void {
        this.#remove(task);
        const position = parseTaskKey(task);
        const record = position === undefined ? undefined : this.#state.job(position.jobId)?.task(position);
        const entry = record?.phase === TaskPhase.Assigned ? this.#entryOf(task) : undefined;
        if (entry !== undefined) {
            this.#add(task, entry);
        }
    }

    #entryOf(task: string): Entry | undefined {
        const position = parseTaskKey(task);
        const job = this.#state.job(position?.jobId ?? "");
        const step = job?.specification.steps[position?.step ?? -1];
        return job?.specification.organisation === undefined || step === undefined ? undefined : entryOf(job, step);
    }

    #add(task: string, entry: Entry): void {
        this.#tasks.set(task, entry);
        this.#change(entry, 1);
    }

    #remove(task: string): void {
        const entry = this.#tasks.get(task);
        if (entry !== undefined) {
            this.#tasks.delete(task);
            this.#change(entry, -1);
        }
    }

    #change({ organisation, priority, amounts }: Entry, sign: 1 | -1): void {
        const holding = this.#holdings.get(organisation)
            ?? { amounts: zeroAmounts(), tasks: 0, byPriority: new Map<number, ResourceAmounts>(), revision: 0 };
        holding.tasks += sign;
        holding.revision += 1;
        if (holding.tasks === 0) {
            this.#holdings.delete(organisation);
            return;
        }
        this.#holdings.set(organisation, holding);
        addAmounts(holding.amounts, amounts, sign);
        const ofPriority = holding.byPriority.get(priority) ?? zeroAmounts();
        holding.byPriority.set(priority, ofPriority);
        addAmounts(ofPriority, amounts, sign);
    }
}

const entryOf = (
    { specification: { organisation = "" }, queue }: JobRecord,
    { amounts }: StepSpecification,
): Entry => ({
    organisation,
    priority: queue.priority,
    amounts,
    isProposed: false,
});
