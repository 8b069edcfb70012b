import { Exclusion, Punctuality, TaskKind } from "@waxwingspread/workflow";
import type { OverloadReport } from "@waxwingspread/workflow";
import type { MetricFactory } from "../metrics/metric-factory.js";

/** Metrics of a leader's overload control. */
export class OverloadMetrics {
    readonly #factory: MetricFactory;
    readonly #standingJobs;
    readonly #finiteCores;
    readonly #jobsEnded;
    readonly #waitingServers;

    constructor(factory: MetricFactory) {
        this.#factory = factory;
        this.#standingJobs = this.#factory.counter(
            "standing_jobs_admitted",
            "New standing jobs, by whether there was room for them beside finite work",
            { decision: ["accepted", "refused"] },
        );
        this.#finiteCores = this.#factory.gauge(
            "finite_cores",
            "Room for finite work beside standing work, and its mean need, at the last standing job",
            { use: ["room", "needed"] },
        );
        this.#jobsEnded = this.#factory.counter(
            "jobs_ended",
            "Ends of jobs that run once, by the duration that callers accept",
            { punctuality: Object.values(Punctuality) },
        );
        this.#waitingServers = this.#factory.gauge(
            "waiting_steps_servers",
            "Servers with room for a waiting step, and the others by what excludes them, summed over a sample of the steps",
            { kind: Object.values(TaskKind), state: ["room", ...Object.values(Exclusion)] },
        );
    }

    /** Records what has happened since the last report. */
    record({ waits, outcomes, standingAdmission }: OverloadReport): void {
        Object.values(standingAdmission.byPriority).forEach(({ accepted, refused }) => {
            this.#standingJobs.add({ decision: "accepted" }, accepted);
            this.#standingJobs.add({ decision: "refused" }, refused);
        });
        this.#finiteCores.set({ use: "room" }, standingAdmission.roomCores ?? 0);
        this.#finiteCores.set({ use: "needed" }, standingAdmission.neededCores ?? 0);
        for (const counts of Object.values(outcomes.counts)) {
            Object.values(Punctuality).forEach(punctuality =>
                this.#jobsEnded.add({ punctuality }, counts[punctuality] ?? 0)
            );
        }
        Object.values(TaskKind).forEach(kind => this.#setServers(kind, waits.filter(summary => summary.kind === kind)));
    }

    #setServers(kind: TaskKind, summaries: OverloadReport["waits"]): void {
        const sum = (valueOf: (summary: OverloadReport["waits"][number]) => number): number =>
            summaries.reduce((total, summary) => total + valueOf(summary), 0);
        this.#waitingServers.set({ kind, state: "room" }, sum(({ serversWithRoom }) => serversWithRoom));
        for (const exclusion of Object.values(Exclusion)) {
            const count = sum(({ excludedServers }) => excludedServers[exclusion] ?? 0);
            this.#waitingServers.set({ kind, state: exclusion }, count);
        }
    }
}
