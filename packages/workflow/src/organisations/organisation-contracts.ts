import { fitsWithin } from "@waxwingspread/common";
import type { Configuration } from "../model/configuration.js";
import type { OrganisationContract } from "../model/organisation.js";
import type { Amounts, StepSpecification } from "../model/specification.js";
import type { WorkflowState } from "../state/workflow-state.js";

/** Finds the contracts of the configuration in effect by the names of their organisations. */
export class OrganisationContracts {
    readonly #state: Pick<WorkflowState, "configuration">;
    #configuration: Configuration | undefined;
    #byName: ReadonlyMap<string, OrganisationContract> = new Map();

    constructor(state: Pick<WorkflowState, "configuration">) {
        this.#state = state;
    }

    /** All contracts by name; empty for a deployment without organisations. */
    get all(): ReadonlyMap<string, OrganisationContract> {
        const { configuration } = this.#state;
        if (configuration !== this.#configuration) {
            this.#configuration = configuration;
            this.#byName = new Map(configuration?.organisations?.map(contract => [contract.name, contract]));
        }
        return this.#byName;
    }

    /** Returns an organisation's contract; undefined if the configuration in effect doesn't name it. */
    find(organisation: string | undefined): OrganisationContract | undefined {
        return organisation === undefined ? undefined : this.all.get(organisation);
    }
}

/** Whether amounts are within a quota, of which zeros are no limits. */
export const isWithinQuota = (amounts: Amounts, quota: Amounts): boolean =>
    fitsWithin(amounts, {
        cpuMillicores: quota.cpuMillicores || Infinity,
        memoryMebibytes: quota.memoryMebibytes || Infinity,
        accelerators: quota.accelerators || Infinity,
    });

/** Returns the number of a step's tasks that start together: all of a gang, or one. */
export const tasksPerStart = ({ isGang, taskCount }: StepSpecification): number => isGang ? taskCount : 1;
