/** How the eligibility service answers for a queue. */
export interface EligibilityTerms {
    /** Time that an answer takes, whatever it covers. */
    decisionMs: number;
    /** Further time for each backend server in a query. */
    perServerMs: number;
    /** How long an approval allows starts. */
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
    /** 0 comes first. */
    priority: number;
    /** Failed runs of one task after which its job has failed. */
    maxAttempts: number;
    /** Multiple of a job's longest chain of work that callers accept. */
    stretchRatio: number;
    targetDurationMs: number;
    timeoutMs: number;
    /** Its steps run only on backend servers that the eligibility service approves; undefined for any server. */
    eligibility: EligibilityTerms | undefined;
}

/** A pool of backend servers. */
export interface ServiceContract {
    name: string;
    /** Its servers reject what doesn't fit. */
    guardsCapacity: boolean;
    /** Its VMs are off. */
    isStandby: boolean;
}

/** An operator's configuration. The highest version is in force. */
export interface Configuration {
    version: number;
    queues: QueueContract[];
    services: ServiceContract[];
    maxBodyBytes: number;
    /** The configuration as it was sent, returned to operators who read it. */
    document: string;
}

/** Returns the queue whose host and longest path prefix match. */
export const findQueue = (
    configuration: Configuration | undefined,
    host: string,
    path: string,
): QueueContract | undefined => {
    let found: QueueContract | undefined;
    for (const queue of configuration?.queues ?? []) {
        const isMatch = queue.host === host && path.startsWith(queue.pathPrefix);
        if (isMatch && queue.pathPrefix.length > (found?.pathPrefix.length ?? -1)) {
            found = queue;
        }
    }
    return found;
};
