import { Refusal, refused, succeeded } from "../model/calls.js";
import type { CallResult, RefusedCall } from "../model/calls.js";
import { findQueue } from "../model/configuration.js";
import type { Configuration, QueueContract } from "../model/configuration.js";
import type { JobSpecification } from "../model/specification.js";

/** Host and path of a caller's request, which select a queue. */
export interface QueueAddress {
    host: string;
    path: string;
}

/** Where a caller's request is addressed, and who sends it. */
export interface CallOrigin extends QueueAddress {
    /** SHA-256 digest of the request's API key, in hexadecimal digits; undefined for a request without one. */
    keyDigest?: string | undefined;
}

/** What decides on access to a job. */
export interface JobOwnership {
    specification: Pick<JobSpecification, "organisation">;
    /** Queue of the job at its acceptance. */
    queue: QueueContract;
}

/**
 * Decides which calls the API keys of one configuration allow. Every call is allowed while the configuration names no
 * organisations.
 */
export class CallerAccess {
    readonly configuration: Configuration | undefined;
    /** Names of organisations by the digests of their API keys; undefined if calls need no keys. */
    readonly #organisations: ReadonlyMap<string, string> | undefined;

    constructor(configuration: Configuration | undefined) {
        this.configuration = configuration;
        this.#organisations = configuration?.organisations === undefined ? undefined : new Map(
            configuration.organisations.flatMap(({ name, keyDigests }) => keyDigests.map(digest => [digest, name])),
        );
    }

    /** Whether calls need API keys. */
    get isEnabled(): boolean {
        return this.#organisations !== undefined;
    }

    /** Returns the organisation of a request's API key; undefined if the key is missing or unknown, or none are needed. */
    organisationOf({ keyDigest }: Pick<CallOrigin, "keyDigest">): string | undefined {
        return keyDigest === undefined ? undefined : this.#organisations?.get(keyDigest);
    }

    /** Returns the organisation that owns what a request submits to a queue; undefined at a public one. */
    ownerOf(origin: CallOrigin, queue: QueueContract | undefined): string | undefined {
        return queue?.isPublic === true ? undefined : this.organisationOf(origin);
    }

    /** Returns the organisation that would own what is submitted at the address and with the key of a request. */
    ownerAt(origin: CallOrigin): string | undefined {
        return this.ownerOf(origin, findQueue(this.configuration, origin.host, origin.path));
    }

    /** Returns the queue at a request's address, or why the request may not use it. */
    findQueue(origin: CallOrigin): CallResult<QueueContract> {
        const queue = findQueue(this.configuration, origin.host, origin.path);
        if (queue === undefined) {
            // Before the first configuration is committed, a queue that was not found may still exist.
            return refused(this.configuration === undefined ? Refusal.NotRun : Refusal.UnknownQueue);
        }
        const isAllowed = !this.isEnabled || queue.isPublic === true || this.organisationOf(origin) !== undefined;
        return isAllowed ? succeeded(queue) : refused(Refusal.Unauthenticated);
    }

    /**
     * Returns why a request may not read or cancel a job, which may be unknown; undefined if it may. A job of another
     * organisation is refused like an unknown one.
     */
    checkJob(origin: CallOrigin | undefined, job: JobOwnership | undefined): RefusedCall | undefined {
        if (!this.isEnabled) {
            return undefined;
        }
        const caller = this.organisationOf(origin ?? {});
        if (caller === undefined && !this.#mayOmitKey(origin, job)) {
            return refused(Refusal.Unauthenticated);
        }
        return job === undefined || this.#mayAccess(caller, job) ? undefined : refused(Refusal.UnknownJob);
    }

    /** Whether a request without a valid key may ask for the job: at a public queue, also at one that was removed. */
    #mayOmitKey(origin: CallOrigin | undefined, job: JobOwnership | undefined): boolean {
        if (origin === undefined) {
            return false;
        }
        const queue = findQueue(this.configuration, origin.host, origin.path);
        return queue === undefined ? job !== undefined && this.#mayAccess(undefined, job) : queue.isPublic === true;
    }

    #mayAccess(caller: string | undefined, { specification, queue }: JobOwnership): boolean {
        const owner = specification.organisation;
        return owner === undefined ? caller !== undefined || queue.isPublic === true : owner === caller;
    }
}
