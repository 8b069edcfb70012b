import type { CallResult, JobState, Respond } from "../model/calls.js";
import type { Configuration, QueueContract } from "../model/configuration.js";
import type { OrganisationContract } from "../model/organisation.js";
import type { CallOrigin } from "../node/caller-access.js";
import { configurationOf, HOST, jobOf, organisationWithKeys, stepOf } from "./fixtures.js";
import { resultOf, SingleReplica } from "./single-replica.js";

/** Text for a call that has succeeded without a value. */
export const OK = "ok";
/** Text for a call that has no result yet. */
const NO_ANSWER = "no answer";
/** Two organisations, of which the first one has two keys. */
export const ORGANISATIONS = [organisationWithKeys("acme", "a1", "a2"), organisationWithKeys("beta", "b1")];

const queueOf = (name: string, changes: Partial<QueueContract> = {}): QueueContract => ({
    ...configurationOf(1).queues[0] as QueueContract,
    name,
    pathPrefix: `/${name}/`,
    ...changes,
});

const QUEUES = [queueOf("batch"), queueOf("open", { isPublic: true })];

/** Returns a configuration with the queue `/batch/` and the public queue `/open/`. */
export const configurationWith = (
    version: number,
    organisations: OrganisationContract[] | undefined,
    queues = QUEUES,
): Configuration => configurationOf(version, { queues, ...organisations === undefined ? {} : { organisations } });

/** Returns the result of a call that may not have one yet: its value, its refusal, or that there is none. */
export const textOf = <Value>(results: readonly CallResult<Value>[]): string => {
    const [result] = results;
    if (result === undefined) {
        return NO_ANSWER;
    }
    return result.ok ? String(result.value ?? OK) : result.refusal;
};

/** Caller with an API key, or without one. */
export class Caller {
    readonly #replica: SingleReplica;
    readonly #keyDigest: string | undefined;
    readonly #queue: string;

    constructor(replica: SingleReplica, keyDigest?: string, queue = "batch") {
        this.#replica = replica;
        this.#keyDigest = keyDigest;
        this.#queue = queue;
    }

    submit(id: string): string {
        return this.#call<void>(respond =>
            this.#replica.node.submit(this.originOf(id), jobOf(id, stepOf()), respond, this.#replica.times)
        );
    }

    cancel(id: string): string {
        return this.#call<void>(respond =>
            this.#replica.node.cancel(id, respond, this.#replica.times, this.originOf(id))
        );
    }

    read(id: string): string {
        return this.#call<JobState>(respond =>
            this.#replica.node.jobState(id, respond, this.#replica.times, this.originOf(id))
        );
    }

    count(): string {
        return this.#call<number>(respond =>
            this.#replica.node.pendingJobs(this.originOf(""), respond, this.#replica.times)
        );
    }

    originOf(id: string): CallOrigin {
        return { host: HOST, path: `/${this.#queue}/${id}`, keyDigest: this.#keyDigest };
    }

    #call<Value>(start: (respond: Respond<Value>) => void): string {
        const results: CallResult<Value>[] = [];
        start(result => results.push(result));
        this.#replica.settle();
        return textOf(results);
    }
}

/** Has a configuration committed. */
export const configure = (
    replica: SingleReplica,
    version: number,
    organisations: OrganisationContract[] | undefined,
    queues?: QueueContract[],
): void => {
    const results: CallResult<void>[] = [];
    const configuration = configurationWith(version, organisations, queues);
    replica.node.configure(configuration, result => results.push(result), replica.times);
    replica.settle();
    if (!resultOf<void>(respond => results.forEach(respond)).ok) {
        throw new Error("the configuration was refused");
    }
};

/** Creates a leader whose configuration names the given organisations, or none. */
export const startedWith = (organisations: OrganisationContract[] | undefined): SingleReplica => {
    const replica = SingleReplica.started();
    configure(replica, 2, organisations);
    return replica;
};

/** Returns the recorded state of a job. */
export const stateOf = (replica: SingleReplica, id: string): JobState | undefined => replica.node.state.job(id)?.state;
