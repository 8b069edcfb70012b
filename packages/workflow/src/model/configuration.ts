import type { OrganisationContract } from "./organisation.js";

/** Response times of the eligibility service for a queue, and the validity of its approvals. */
export interface EligibilityTiming {
    /** Fixed part of the time that an answer takes. */
    decisionMs: number;
    /** Additional time for each backend server in the query. */
    perServerMs: number;
    /** Period during which runs may be started under an approval. */
    validityMs: number;
}

/** A queue's contract: where its jobs run and what limits them. */
export interface QueueContract {
    name: string;
    /** Host and path prefix that select the queue. */
    host: string;
    pathPrefix: string;
    /** Pool of backend servers that runs the tasks. */
    service: string;
    /** Queues with lower values are served first; 0 is the highest priority. */
    priority: number;
    /** Number of failed runs of one task after which its job fails. */
    maxAttempts: number;
    /** Job duration that callers accept, as a multiple of the duration of the job's longest dependency chain. */
    stretchRatio: number;
    /** Duration that callers accept in addition to that multiple. */
    targetDurationMs: number;
    timeoutMs: number;
    /** Set when steps run only on backend servers that the eligibility service approves; undefined for any server. */
    eligibility: EligibilityTiming | undefined;
    /** Whether calls to the queue need no API key; its jobs then belong to no organisation. */
    isPublic?: boolean;
}

/** A pool of backend servers. */
export interface ServiceContract {
    name: string;
    /** Whether its backend servers reject runs that exceed their capacity. */
    guardsCapacity: boolean;
    /** Whether its VMs are switched off. */
    isStandby: boolean;
}

/** Configuration sent by an operator. The highest version is in effect. */
export interface Configuration {
    version: number;
    queues: QueueContract[];
    services: ServiceContract[];
    /** Undefined if callers need no API keys, and in records of former versions. */
    organisations?: OrganisationContract[];
    maxBodyBytes: number;
    /** The configuration as it was sent, returned to operators who read it. */
    document: string;
}

/** Returns the queue of the host with the longest matching path prefix; undefined when none matches. */
export const findQueue = (
    configuration: Configuration | undefined,
    host: string,
    path: string,
): QueueContract | undefined => {
    let bestMatch: QueueContract | undefined;
    for (const queue of configuration?.queues ?? []) {
        const isMatch = queue.host === host && path.startsWith(queue.pathPrefix);
        if (isMatch && queue.pathPrefix.length > (bestMatch?.pathPrefix.length ?? -1)) {
            bestMatch = queue;
        }
    }
    return bestMatch;
};
