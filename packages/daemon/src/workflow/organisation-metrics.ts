import { Refusal } from "@waxwingspread/workflow";
import type { OrganisationUsage } from "@waxwingspread/workflow";
import { Gauge } from "prom-client";
import type { Registry } from "prom-client";
import { OTHER_LABEL } from "../metrics/bounded.js";

/** Organisations with series of their own; the others are added up as `other`. */
const MAX_ORGANISATIONS = 20;
const MILLICORES_PER_CORE = 1_000;
/** Reasons for which a leader refuses the submissions of an organisation. */
const REFUSALS = [Refusal.QuotaExceeded, Refusal.Overloaded];

/** Metrics of the busiest organisations. Their names come from the configuration; the number of series is bounded. */
export class OrganisationMetrics {
    readonly #tasks: Gauge;
    readonly #cores: Gauge;
    readonly #shares: Gauge;
    readonly #refused: Gauge;

    constructor(registry: Registry) {
        const gauge = (name: string, help: string, label: string): Gauge =>
            new Gauge({
                name: `waxwingspread_organisation_${name}`,
                help,
                labelNames: ["organisation", label],
                registers: [registry],
            });
        this.#tasks = gauge("tasks", "Tasks of the busiest organisations, by state", "state");
        this.#cores = gauge("cores", "Processors held, and allowed by the quota (0 for no limit)", "kind");
        this.#shares = gauge("share_ratio", "Dominant share of the fleet, held and entitled", "kind");
        this.#refused = gauge(
            "refused_submissions",
            "Submissions refused since the leader's election, by reason",
            "reason",
        );
    }

    /** Replaces all series by those of the given organisations, the busiest ones first. */
    set(usages: readonly OrganisationUsage[]): void {
        [this.#tasks, this.#cores, this.#shares, this.#refused].forEach(gauge => gauge.reset());
        usages.slice(0, MAX_ORGANISATIONS).forEach(usage => this.#add(usage.organisation, usage));
        usages.slice(MAX_ORGANISATIONS).forEach(usage => this.#add(OTHER_LABEL, usage));
    }

    #add(organisation: string, usage: OrganisationUsage): void {
        this.#tasks.inc({ organisation, state: "assigned" }, usage.assignedTasks);
        this.#tasks.inc({ organisation, state: "waiting" }, usage.waitingTasks);
        this.#cores.inc({ organisation, kind: "held" }, usage.held.cpuMillicores / MILLICORES_PER_CORE);
        this.#cores.inc({ organisation, kind: "quota" }, (usage.quota?.cpuMillicores ?? 0) / MILLICORES_PER_CORE);
        this.#shares.inc({ organisation, kind: "held" }, usage.heldShare);
        this.#shares.inc({ organisation, kind: "entitled" }, usage.entitledShare);
        REFUSALS.forEach(reason => this.#refused.inc({ organisation, reason }, usage.refused[reason] ?? 0));
    }
}
