import { addAmounts, dominantShare, RESOURCE_NAMES, subtractAmounts, zeroAmounts } from "@waxwingspread/common";
import type { ResourceAmounts } from "@waxwingspread/common";
import type { ServerView } from "../leader/server-view.js";
import type { StepSpecification } from "../model/specification.js";
import type { OrganisationContracts } from "./organisation-contracts.js";
import type { QuotaLedger } from "./quota-ledger.js";

/** Weight of an organisation that the configuration doesn't name any more and that still has jobs. */
const DEFAULT_WEIGHT = 1;
/** Weight in place of 0, and least entitlement, so that shares can be divided by them. */
const MIN_WEIGHT = 1e-9;

/** What an organisation holds of work of a priority and of higher ones. */
interface PriorityHolding {
    /** Revision of the holding from which it is derived; 0 for none. */
    revision: number;
    used: ResourceAmounts;
    dominantShare: number;
    entitlement: number;
}

/** Dependencies of {@link FairShares}. */
export interface FairSharesOptions {
    ledger: QuotaLedger;
    contracts: OrganisationContracts;
    servers: Iterable<Pick<ServerView, "capacity" | "reserved" | "fillerCpuMillicores">>;
    /** Organisations with waiting tasks; those that hold anything take part as well. */
    waiting: Iterable<string>;
}

/**
 * Shares of the fleet by weighted dominant-resource fairness. The room that organisations share is what they hold together
 * and what is free; each is entitled to its weight's part of it. What nobody else wants is not withheld: beyond their
 * entitlements, organisations only come later.
 */
export class FairShares {
    readonly #ledger: QuotaLedger;
    readonly #contracts: OrganisationContracts;
    readonly #organisations: ReadonlySet<string>;
    readonly #totalWeight: number;
    readonly #fleet = zeroAmounts();
    /** Free part of the fleet, of the resource that is scarcest. */
    readonly #freeShare: number;
    /** Part of the fleet that organisations share, by priority. */
    readonly #sharedParts = new Map<number, number>();
    /** Cached holdings by priority and organisation. */
    readonly #holdings = new Map<number, Map<string, PriorityHolding>>();

    constructor({ ledger, contracts, servers, waiting }: FairSharesOptions) {
        this.#ledger = ledger;
        this.#contracts = contracts;
        this.#organisations = new Set([...waiting, ...ledger.holdings.keys()]);
        this.#totalWeight = [...this.#organisations].reduce((sum, name) => sum + this.#weightOf(name), 0);
        const free = zeroAmounts();
        for (const { capacity, reserved, fillerCpuMillicores } of servers) {
            addAmounts(this.#fleet, capacity);
            addAmounts(free, subtractAmounts(capacity, reserved));
            free.cpuMillicores -= fillerCpuMillicores;
        }
        const freeParts = RESOURCE_NAMES.filter(name => this.#fleet[name] > 0).map(name =>
            free[name] / this.#fleet[name]
        );
        this.#freeShare = Math.max(0, Math.min(1, ...freeParts));
    }

    /** Returns the part of the fleet that an organisation is entitled to for work of a priority and of higher ones. */
    entitlementOf(organisation: string, priority: number): number {
        return this.#holdingOf(organisation, priority).entitlement;
    }

    /** Returns the dominant share of the fleet that an organisation holds by work of a priority and of higher ones. */
    dominantShareOf(organisation: string, priority: number): number {
        return this.#holdingOf(organisation, priority).dominantShare;
    }

    /**
     * Returns the dominant share that an organisation holds as a multiple of its entitlement. Work of lower priorities isn't
     * counted, so that it doesn't hold back work that is more urgent.
     */
    relativeShareOf(organisation: string, priority: number): number {
        const holding = this.#holdingOf(organisation, priority);
        return holding.dominantShare / holding.entitlement;
    }

    /** Returns the number of a step's tasks that bring its organisation to its entitlement; at least 1. */
    tasksWithinShare(organisation: string, priority: number, { amounts }: StepSpecification): number {
        const { used, entitlement } = this.#holdingOf(organisation, priority);
        let count = Infinity;
        for (const name of RESOURCE_NAMES) {
            if (amounts[name] > 0) {
                count = Math.min(count, (entitlement * this.#fleet[name] - used[name]) / amounts[name]);
            }
        }
        return Math.max(1, Math.ceil(count));
    }

    #holdingOf(organisation: string, priority: number): PriorityHolding {
        const ofPriority = this.#holdings.get(priority) ?? new Map<string, PriorityHolding>();
        this.#holdings.set(priority, ofPriority);
        const revision = this.#ledger.holdings.get(organisation)?.revision ?? 0;
        let holding = ofPriority.get(organisation);
        if (holding?.revision !== revision) {
            const used = this.#usedBy(organisation, priority);
            const entitlement = holding?.entitlement ?? this.#computeEntitlement(organisation, priority);
            holding = { revision, used, dominantShare: dominantShare(used, this.#fleet), entitlement };
            ofPriority.set(organisation, holding);
        }
        return holding;
    }

    #computeEntitlement(organisation: string, priority: number): number {
        const weightRatio = this.#weightOf(organisation) / Math.max(this.#totalWeight, MIN_WEIGHT);
        return Math.max(this.#sharedPart(priority) * weightRatio, MIN_WEIGHT);
    }

    #sharedPart(priority: number): number {
        let part = this.#sharedParts.get(priority);
        if (part === undefined) {
            part = this.#freeShare;
            for (const organisation of this.#organisations) {
                part += dominantShare(this.#usedBy(organisation, priority), this.#fleet);
            }
            this.#sharedParts.set(priority, part);
        }
        return part;
    }

    #usedBy(organisation: string, priority: number): ResourceAmounts {
        const used = zeroAmounts();
        this.#ledger.holdings.get(organisation)?.byPriority.forEach((amounts, own) => {
            if (own <= priority) {
                addAmounts(used, amounts);
            }
        });
        // A resource that no known server has, as after an election, can't be shared: its share would be infinite.
        RESOURCE_NAMES.filter(name => this.#fleet[name] === 0).forEach(name => {
            used[name] = 0;
        });
        return used;
    }

    #weightOf(organisation: string): number {
        return Math.max(this.#contracts.find(organisation)?.weight ?? DEFAULT_WEIGHT, MIN_WEIGHT);
    }
}
