import { JobState, Refusal } from "@waxwingspread/workflow";
import type { CallResult } from "@waxwingspread/workflow";

/** A call of an organisation, as its caller knows it. */
export interface KeyedCall {
    operation: "submit" | "read" | "cancel" | "count";
    jobId: string;
    keyDigest: string;
    /** Organisation of the key in the configurations that have it; undefined for a key that none has. */
    organisation: string | undefined;
    /** Facts at the time at which the call was sent. */
    sent: SentFacts;
}

/** What callers knew when a call was sent. */
interface SentFacts {
    /** Highest version of the configuration that was acknowledged. */
    version: number;
    /** Whether the caller's organisation knew that the job was accepted. */
    isAccepted: boolean;
    /** Whether a cancellation of the job by the caller's organisation was acknowledged. */
    isCancelled: boolean;
}

/** A configuration that an operator has sent. */
interface SentConfiguration {
    version: number;
    keyDigests: ReadonlySet<string>;
}

/** Checks which calls succeed, using only what callers and operators can observe. */
export class AccessOracle {
    readonly violations: string[] = [];
    /** Configurations in the order of their versions. */
    readonly #configurations: SentConfiguration[] = [];
    #acknowledgedVersion = 0;
    /** Organisations that have sent a submission or a cancellation, by job. */
    readonly #submitters = new Map<string, Set<string>>();
    readonly #cancellers = new Map<string, Set<string>>();
    /** Organisations whose submission of a job was acknowledged, and whose cancellation was. */
    readonly #owners = new Map<string, string>();
    readonly #cancelled = new Set<string>();

    /** Jobs whose submission was acknowledged, with their organisations. */
    get owners(): ReadonlyMap<string, string> {
        return this.#owners;
    }

    recordConfigurationSent(version: number, keyDigests: ReadonlySet<string>): void {
        this.#configurations.push({ version, keyDigests });
    }

    recordConfigurationAcknowledged(version: number): void {
        this.#acknowledgedVersion = Math.max(this.#acknowledgedVersion, version);
    }

    /** Records that a call is sent, and returns it with the facts of that time. */
    recordSent(call: Omit<KeyedCall, "sent">): KeyedCall {
        const { operation, jobId, organisation } = call;
        if (organisation !== undefined && operation === "submit") {
            addTo(this.#submitters, jobId, organisation);
        }
        if (organisation !== undefined && operation === "cancel") {
            addTo(this.#cancellers, jobId, organisation);
        }
        const sent = {
            version: this.#acknowledgedVersion,
            isAccepted: organisation !== undefined && this.#owners.get(jobId) === organisation,
            isCancelled: this.#cancelled.has(`${organisation} ${jobId}`),
        };
        return { ...call, sent };
    }

    recordResult(call: KeyedCall, result: CallResult<unknown>): void {
        if (result.ok) {
            this.#checkSuccess(call, result.value);
            this.#recordSuccess(call);
        }
        else if (result.refusal === Refusal.Unauthenticated) {
            const isKeyMissing = this.#mayHaveKey(call, false);
            this.#check(call, isKeyMissing || this.#mayBeForeign(call), "no call with a valid key is refused for it");
        }
        else if (result.refusal === Refusal.UnknownJob) {
            this.#check(call, !call.sent.isAccepted, "an accepted job is known to its organisation");
            this.#recordCancelled(call);
        }
    }

    #checkSuccess(call: KeyedCall, value: unknown): void {
        const { operation, jobId, organisation = "" } = call;
        this.#check(
            call,
            this.#mayHaveKey(call, true),
            "no call succeeds with a key that was taken away before it was sent",
        );
        if (operation === "count") {
            return;
        }
        const owner = this.#owners.get(jobId) ?? organisation;
        this.#check(call, owner === organisation, "no call for a job of another organisation succeeds");
        const hasSubmitted = this.#submitters.get(jobId)?.has(organisation) === true;
        this.#check(call, hasSubmitted, "no call for a job succeeds that its organisation has not submitted");
        if (operation === "read") {
            const mayBeCancelled = this.#cancellers.get(jobId)?.has(organisation) === true;
            const isCancelled = value === JobState.Cancelled;
            this.#check(call, !isCancelled || mayBeCancelled, "no organisation cancels the job of another one");
            this.#check(call, isCancelled || !call.sent.isCancelled, "an acknowledged cancellation holds");
        }
    }

    #recordSuccess(call: KeyedCall): void {
        const { operation, jobId, organisation } = call;
        if (operation !== "count" && organisation !== undefined) {
            this.#owners.set(jobId, organisation);
        }
        this.#recordCancelled(call);
    }

    #recordCancelled({ operation, jobId, organisation }: KeyedCall): void {
        if (operation === "cancel") {
            this.#cancelled.add(`${organisation} ${jobId}`);
        }
    }

    /** Whether a configuration that may be in force since the call was sent has its key, or has not. */
    #mayHaveKey({ keyDigest, sent }: KeyedCall, hasKey: boolean): boolean {
        return this.#configurations.some(({ version, keyDigests }) =>
            version >= sent.version && keyDigests.has(keyDigest) === hasKey
        );
    }

    #mayBeForeign({ operation, jobId, organisation }: KeyedCall): boolean {
        const submitters = [...this.#submitters.get(jobId) ?? []];
        return operation === "submit" && submitters.some(submitter => submitter !== organisation);
    }

    #check({ operation, jobId, keyDigest }: KeyedCall, isSatisfied: boolean, guarantee: string): void {
        if (!isSatisfied) {
            this.violations.push(`violated: ${guarantee}: ${operation} ${jobId} with ${keyDigest}`);
        }
    }
}

const addTo = (sets: Map<string, Set<string>>, key: string, value: string): void => {
    sets.set(key, (sets.get(key) ?? new Set()).add(value));
};
