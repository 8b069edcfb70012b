import { TokenBucket } from "@waxwingspread/common";
import type { Times } from "../leader/times.js";
import type { WorkQueue } from "../leader/work-queue.js";
import { Refusal, refused } from "../model/calls.js";
import type { RefusedCall } from "../model/calls.js";
import type { QueueContract } from "../model/configuration.js";
import type { JobSpecification } from "../model/specification.js";
import type { OrganisationContracts } from "./organisation-contracts.js";
import type { QuotaLedger } from "./quota-ledger.js";
import { exceedsRate } from "./share-turns.js";

/** Time at the agreed rate whose submissions may come at once. */
const BURST_SECONDS = 2;
/** Wait of a task within the agreed rates from which on there is no room for jobs beyond them. */
const MAX_WAIT_WITHIN_RATES_MS = 500;
/** Interval at which the waiting tasks are examined again. */
const BACKLOG_CHECK_INTERVAL_MS = 100;

/** Dependencies of {@link SubmissionRates}. */
export interface SubmissionRatesOptions {
    contracts: OrganisationContracts;
    ledger: QuotaLedger;
    queue: WorkQueue;
    /** Whether some server has room for a task with which a job begins. */
    hasRoomFor: (job: JobSpecification, queue: QueueContract, times: Times) => boolean;
}

/** Compares the submissions of each organisation with its agreed rate. The buckets of a new leader are full. */
export class SubmissionRates {
    readonly #options: SubmissionRatesOptions;
    readonly #buckets = new Map<string, TokenBucket>();
    #backlog = { isThere: false, checkedAtMs: -Infinity };

    constructor(options: SubmissionRatesOptions) {
        this.#options = options;
    }

    /** Counts a submission. Returns its job, marked if it exceeds the agreed rate of its organisation. */
    classify(job: JobSpecification, nowMs: number): JobSpecification {
        const bucket = this.#bucketOf(job.organisation);
        return bucket === undefined || bucket.take(nowMs) ? job : { ...job, exceedsRate: true };
    }

    /**
     * Refuses a job beyond the agreed rate if there is no room for it and work within the rates waits already: it would
     * wait behind all of that.
     */
    check(job: JobSpecification, queue: QueueContract, times: Times): RefusedCall | undefined {
        const canBeServed = job.exceedsRate !== true
            || !this.#hasBacklog(times)
            || this.#options.hasRoomFor(job, queue, times);
        return canBeServed
            ? undefined
            : refused(Refusal.Overloaded, this.#bucketOf(job.organisation)?.waitMs(times.nowMs));
    }

    /** Gives back what a job within the rate has taken that was refused, so that a repeat of it is within the rate as well. */
    recordRefusal(job: JobSpecification): void {
        if (job.exceedsRate !== true) {
            this.#bucketOf(job.organisation)?.giveBack();
        }
    }

    #bucketOf(organisation: string | undefined): TokenBucket | undefined {
        const contract = this.#options.contracts.find(organisation);
        if (contract === undefined || contract.submissionsPerSecond <= 0) {
            return undefined;
        }
        const { name, submissionsPerSecond } = contract;
        const burst = Math.max(1, submissionsPerSecond * BURST_SECONDS);
        const bucket = this.#buckets.get(name) ?? new TokenBucket(submissionsPerSecond, burst);
        bucket.configure(submissionsPerSecond, burst);
        this.#buckets.set(name, bucket);
        return bucket;
    }

    #hasBacklog({ nowMs, timeOfDayMs }: Times): boolean {
        if (nowMs - this.#backlog.checkedAtMs >= BACKLOG_CHECK_INTERVAL_MS) {
            const { queue, ledger } = this.#options;
            // What waits for its own organisation's quota doesn't need the room of others.
            const isThere = queue.steps.some(waiting =>
                !exceedsRate(waiting)
                && timeOfDayMs - waiting.waitingSinceMs > MAX_WAIT_WITHIN_RATES_MS
                && ledger.allowsStart(waiting.job, waiting.step)
            );
            this.#backlog = { isThere, checkedAtMs: nowMs };
        }
        return this.#backlog.isThere;
    }
}
