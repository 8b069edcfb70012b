import type { ServerDirectory } from "../leader/server-directory.js";
import type { Turn } from "../leader/work-queue.js";
import type { WorkflowState } from "../state/workflow-state.js";
import { FairShares } from "./fair-shares.js";
import { OrganisationContracts } from "./organisation-contracts.js";
import { QuotaLedger } from "./quota-ledger.js";
import { shareTurns } from "./share-turns.js";

/** Quotas and shares of organisations at the planning of assignments. */
export class OrganisationLimits {
    readonly contracts: OrganisationContracts;
    readonly ledger: QuotaLedger;
    readonly #directory: ServerDirectory;

    constructor(state: WorkflowState, directory: ServerDirectory) {
        this.contracts = new OrganisationContracts(state);
        this.ledger = new QuotaLedger(state, this.contracts);
        this.#directory = directory;
    }

    /** Returns the turns in their order by shares; unchanged if no organisation waits. Assign tasks in between. */
    order(turns: readonly Turn[], timeOfDayMs: number): Iterable<Turn> {
        const waiting = new Set(turns.map(organisationOf).filter(name => name !== undefined));
        return waiting.size === 0 ? turns : shareTurns(turns, this.sharesWith(waiting), timeOfDayMs);
    }

    /** Returns the present shares of the organisations that wait or hold something. */
    sharesWith(waiting: Iterable<string>): FairShares {
        const { ledger, contracts } = this;
        return new FairShares({ ledger, contracts, servers: this.#directory.servers, waiting });
    }
}

const organisationOf = ({ waiting }: Turn): string | undefined => waiting.job.specification.organisation;
