import type { Amounts } from "@waxwingspread/workflow";
import type { SimulatedServer } from "../model/simulated-server.js";
import type { SubmittedJob } from "./oracle.js";

/** An order written before a change may arrive up to this long after it. */
const ORDER_DELAY_MS = 1_100;
const RESOURCES = ["cpuMillicores", "memoryMebibytes", "accelerators"] as const;

/** Quotas by organisation. */
export type Quotas = ReadonlyMap<string, Amounts>;

/** The quotas of a configuration that was sent. */
interface SentQuotas {
    quotas: Quotas;
    version: number;
    /** Time at which a later configuration was acknowledged; infinite before. */
    supersededAtMs: number;
}

/** Checks at each start that what the organisation has at work is within the highest quota that may be in force. */
export class QuotaCheck {
    readonly violations: string[] = [];
    readonly #jobs: ReadonlyMap<string, SubmittedJob>;
    readonly #servers: readonly SimulatedServer[];
    /** Quotas that may be in force; there are none at first. */
    #sent: SentQuotas[] = [{ quotas: new Map(), version: 1, supersededAtMs: Infinity }];

    constructor(jobs: ReadonlyMap<string, SubmittedJob>, servers: readonly SimulatedServer[]) {
        this.#jobs = jobs;
        this.#servers = servers;
    }

    /** Records quotas that were sent and may take effect from now on. */
    recordSent(version: number, quotas: Quotas): void {
        this.#sent.push({ quotas, version, supersededAtMs: Infinity });
    }

    /** Records that a version was acknowledged; earlier ones aren't in force any more. */
    recordAcknowledged(version: number, nowMs: number): void {
        for (const sent of this.#sent) {
            if (sent.version < version) {
                sent.supersededAtMs = Math.min(sent.supersededAtMs, nowMs);
            }
        }
    }

    /** Checks the quota of a job's organisation after one of its tasks has started. */
    started(jobId: string, nowMs: number): void {
        const organisation = this.#organisationOf(jobId);
        this.#sent = this.#sent.filter(({ supersededAtMs }) => nowMs - supersededAtMs <= ORDER_DELAY_MS);
        if (organisation === undefined) {
            return;
        }
        for (const resource of RESOURCES) {
            const used = this.#usedBy(organisation, resource);
            const limit = Math.max(...this.#sent.map(({ quotas }) => quotas.get(organisation)?.[resource] || Infinity));
            if (used > limit) {
                this.violations.push(`${jobId}: ${organisation} has ${used} of ${limit} ${resource} at ${nowMs}`);
            }
        }
    }

    #usedBy(organisation: string, resource: keyof Amounts): number {
        let used = 0;
        for (const server of this.#servers) {
            for (const { position } of server.runs.values()) {
                const step = this.#jobs.get(position.jobId)?.specification.steps[position.step];
                used += this.#organisationOf(position.jobId) === organisation ? step?.amounts[resource] ?? 0 : 0;
            }
        }
        return used;
    }

    #organisationOf(jobId: string): string | undefined {
        return this.#jobs.get(jobId)?.specification.organisation;
    }
}
