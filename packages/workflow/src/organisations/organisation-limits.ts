import type { ServerDirectory } from "../leader/server-directory.js";
import type { Turn, WaitingStep } from "../leader/work-queue.js";
import type { WorkflowState } from "../state/workflow-state.js";
import { FairShares } from "./fair-shares.js";
import { OrganisationContracts } from "./organisation-contracts.js";
import { QuotaLedger } from "./quota-ledger.js";
import { RefusalCounts } from "./refusal-counts.js";
import { shareTurns } from "./share-turns.js";

/** Quotas and shares of organisations as a leader session applies them. */
export class OrganisationLimits {
    readonly contracts: OrganisationContracts;
    readonly ledger: QuotaLedger;
    readonly refusals = new RefusalCounts();
    readonly #directory: Pick<ServerDirectory, "servers">;

    constructor(state: WorkflowState, directory: Pick<ServerDirectory, "servers">) {
        this.contracts = new OrganisationContracts(state);
        this.ledger = new QuotaLedger(state, this.contracts);
        this.#directory = directory;
    }

    /** Returns the turns in their order by shares; unchanged if no organisation waits. Assign tasks in between. */
    order(turns: readonly Turn[], timeOfDayMs: number): Iterable<Turn> {
        const organisations = new Set<string>();
        for (const { waiting } of turns) {
            const { organisation } = waiting.job.specification;
            if (organisation !== undefined) {
                organisations.add(organisation);
            }
        }
        return organisations.size === 0 ? turns : shareTurns(turns, this.sharesWith(organisations), timeOfDayMs);
    }

    /** Returns the present shares of the organisations that hold something or to which a waiting step belongs. */
    sharesOf(steps: readonly WaitingStep[]): FairShares {
        const organisations = steps.map(({ job }) => job.specification.organisation);
        return this.sharesWith(organisations.filter(name => name !== undefined));
    }

    /** Returns the present shares of the organisations that wait or hold something. */
    sharesWith(waiting: Iterable<string>): FairShares {
        const { ledger, contracts } = this;
        return new FairShares({ ledger, contracts, servers: this.#directory.servers, waiting });
    }
}
