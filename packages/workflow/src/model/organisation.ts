import type { Amounts } from "./specification.js";

/** Contract of an organisation: the API keys of its callers, its share of the fleet, its agreed rate and its quota. */
export interface OrganisationContract {
    name: string;
    /** SHA-256 digests of its API keys, in hexadecimal digits. */
    keyDigests: string[];
    /** Share of the fleet while all of it is in use, in proportion to the weights of the other organisations. */
    weight: number;
    /** Rate of submissions that the organisation has agreed to; further ones wait behind those of others; 0 for no limit. */
    submissionsPerSecond: number;
    /** Maximum amounts that its tasks may hold at the same time on all backend servers; 0 for no limit. */
    quota: Amounts;
}
