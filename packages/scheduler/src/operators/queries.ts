import { create } from "@bufbuild/protobuf";
import { jobKeyOf, StepError } from "@waxwingspread/common";
import {
    ErrorCode,
    JobState,
    OperatorQueryResultSchema,
    Outcome,
    QueryKind,
    QuotaUseSchema,
    Reason,
    VmViewSchema,
    WorkKind,
    ZoneProgressSchema,
} from "@waxwingspread/protocol";
import type { Job, OperatorQuery, OperatorQueryResult, QuotaUse, ZoneProgress } from "@waxwingspread/protocol";
import { specificationOf } from "../decision.js";
import type { Decision } from "../decision.js";
import type { EntryRegistry } from "../orders/entry-registry.js";
import { toResources } from "../state/resources.js";
import { heldAttempt } from "../state/usage.js";
import type { WorkView } from "../work-view.js";
import type { ZoneOperations } from "../zones/zone-operations.js";
import type { Explanations } from "./explanations.js";

const DEFAULT_LIMIT = 1_000;

const reasonText = (reason: Reason): string => Reason[reason].toLowerCase().replaceAll("_", " ");

type ResultFields = Partial<Omit<OperatorQueryResult, "$typeName" | "$unknown">>;

/** Answers operators' queries; does not change the state. */
export class OperatorQueries {
    readonly #decision: Decision;
    readonly #view: WorkView;
    readonly #zones: ZoneOperations;
    readonly #entries: EntryRegistry;
    readonly #explanations: Explanations;
    readonly #handlers: ReadonlyMap<QueryKind, (query: OperatorQuery) => ResultFields>;

    constructor(
        decision: Decision,
        view: WorkView,
        zones: ZoneOperations,
        entries: EntryRegistry,
        explanations: Explanations,
    ) {
        this.#decision = decision;
        this.#view = view;
        this.#zones = zones;
        this.#entries = entries;
        this.#explanations = explanations;
        const { state } = decision;
        this.#handlers = new Map<QueryKind, (query: OperatorQuery) => ResultFields>([
            [QueryKind.CONFIGURATION, () => ({ configuration: state.configuration })],
            [QueryKind.BACKEND_SERVERS, () => ({ backendServers: [...state.backendServers()] })],
            [QueryKind.JOBS, query => ({ jobs: this.#jobs(query) })],
            [QueryKind.QUOTAS, query => ({ quotas: this.#quotas(query) })],
            [QueryKind.VMS, () => this.#vms()],
            [QueryKind.EXPLAIN, query => this.#explain(query)],
            [QueryKind.ZONES, () => ({ zones: this.#zoneProgress() })],
        ]);
    }

    query(query: OperatorQuery): OperatorQueryResult {
        const handler = this.#handlers.get(query.kind);
        const { revision } = this.#decision.state;
        if (handler === undefined) {
            const error = new StepError(ErrorCode.INVALID, "query", "", "unknown kind of query").toDetail();
            return create(OperatorQueryResultSchema, { error, revision });
        }
        return create(OperatorQueryResultSchema, { ...handler(query), revision });
    }

    #jobs({ customer, requestId, limit }: OperatorQuery): Job[] {
        const maxJobs = limit > 0 ? limit : DEFAULT_LIMIT;
        const matchingJobs: Job[] = [];
        for (const job of this.#decision.state.jobs()) {
            const specification = specificationOf(job);
            const matches = (customer === "" || specification.customer === customer)
                && (requestId === "" || specification.requestId === requestId);
            if (matches) {
                matchingJobs.push(job);
            }
            if (matchingJobs.length >= maxJobs) {
                break;
            }
        }
        return matchingJobs;
    }

    #quotas({ customer }: OperatorQuery): QuotaUse[] {
        const { state } = this.#decision;
        return [...state.contracts()].filter(contract => customer === "" || contract.customer === customer)
            .map(contract => {
                const use = state.useOfCustomer(contract.customer);
                return create(QuotaUseSchema, {
                    customer: contract.customer,
                    quota: contract.quota,
                    used: toResources(use.resources),
                    runningTasks: use.jobKeys.size,
                    queuedJobs: use.queuedJobs,
                });
            });
    }

    #vms(): ResultFields {
        const { nowMs } = this.#decision;
        const vms = this.#entries.all().map(({ entryId, address, availabilityZone, leaving }) => {
            const state = this.#entries.isAlive(entryId, nowMs) ? leaving ? "leaving" : "polling" : "silent";
            return create(VmViewSchema, { name: entryId, role: "entry", address, availabilityZone, state });
        });
        return { vms };
    }

    #zoneProgress(): ZoneProgress[] {
        const { state } = this.#decision;
        return [...state.zones()].map(availabilityZone => {
            const { name } = availabilityZone;
            const tasks = this.#view.serversInZone(name).flatMap(id => this.#view.tasksOn(id));
            const running = (kind: WorkKind): number => tasks.filter(task => task.workKind === kind).length;
            return create(ZoneProgressSchema, {
                availabilityZone,
                runningLatencyCritical: running(WorkKind.LATENCY_CRITICAL),
                runningBatch: running(WorkKind.BATCH),
                runningStanding: running(WorkKind.STANDING),
                ...this.#zones.counts(name),
            });
        });
    }

    #explain({ customer, requestId }: OperatorQuery): ResultFields {
        const key = jobKeyOf({ customer, requestId });
        const job = this.#decision.state.job(key);
        if (job === undefined) {
            const error = new StepError(ErrorCode.UNKNOWN_REQUEST, "explain", requestId, "no such job is known");
            return { error: error.toDetail() };
        }
        return { jobs: [job], explanation: [...this.#describeJob(key, job), ...this.#explanations.of(key)] };
    }

    #describeJob(key: string, job: Job): string[] {
        const attempt = heldAttempt(job);
        if (job.state === JobState.ENDED) {
            return [`Ended as ${Outcome[job.outcome].toLowerCase().replaceAll("_", " ")}: ${reasonText(job.reason)}.`];
        }
        if (attempt !== undefined) {
            const stop = attempt.stopReason === Reason.UNSPECIFIED
                ? ""
                : `, stopping: ${reasonText(attempt.stopReason)}`;
            return [`Attempt ${attempt.number} is on ${attempt.backendServerId}${stop}.`];
        }
        return this.#describeQueuedJob(key, job);
    }

    #describeQueuedJob(key: string, job: Job): string[] {
        const { policies, nowMs } = this.#decision;
        const queued = this.#view.queuedJob(key);
        const requeueSentences = job.reason === Reason.UNSPECIFIED
            ? []
            : [`Queued again after: ${reasonText(job.reason)}.`];
        const blockingReason = queued && policies.fairShare.blockingReason(queued);
        if (job.notBeforeMs > nowMs) {
            return [...requeueSentences, `Waits ${Math.ceil(job.notBeforeMs - nowMs)} ms before the next attempt.`];
        }
        if (blockingReason !== undefined) {
            return [
                ...requeueSentences,
                `Waits because the customer may not start more: ${reasonText(blockingReason)}.`,
            ];
        }
        return [...requeueSentences, "Waits because no backend server has room for it at present."];
    }
}
