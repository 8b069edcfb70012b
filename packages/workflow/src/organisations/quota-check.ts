import { scaleResources } from "@waxwingspread/common";
import { Refusal, refused } from "../model/calls.js";
import type { RefusedCall } from "../model/calls.js";
import type { OrganisationContract } from "../model/organisation.js";
import type { JobSpecification, StepSpecification } from "../model/specification.js";
import { isWithinQuota, tasksPerStart } from "./organisation-contracts.js";
import type { OrganisationContracts } from "./organisation-contracts.js";

/** Whether a task or gang of a step needs more than the whole quota of an organisation, so that it can never start. */
export const exceedsQuota = (step: StepSpecification, contract: OrganisationContract | undefined): boolean =>
    contract !== undefined && !isWithinQuota(scaleResources(step.amounts, tasksPerStart(step)), contract.quota);

/** Refuses a job with a task or gang that needs more than the quota of its organisation. */
export const checkQuota = (
    { organisation, steps }: JobSpecification,
    contracts: OrganisationContracts,
): RefusedCall | undefined => {
    const contract = contracts.find(organisation);
    return steps.some(step => exceedsQuota(step, contract)) ? refused(Refusal.QuotaExceeded) : undefined;
};
