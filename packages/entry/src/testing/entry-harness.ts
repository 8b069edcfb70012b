import { create } from "@bufbuild/protobuf";
import { StepError } from "@waxwingspread/common";
import * as p from "@waxwingspread/protocol";
import { sha256Of } from "../blobs/blob-cache.js";
import { bearerTokenOf, createCredential } from "../configuration/credentials.js";
import { EntryEffectKind } from "../effects.js";
import type { CallBackendServer, CallControl, ControlMethod, ControlRequest, ControlResponse } from "../effects.js";
import type { EntryEffect, ReplyToBackendServer, ReplyToCaller } from "../effects.js";
import { EntryNode } from "../entry-node.js";
import type { EntryOptions } from "../settings.js";

const SECRET = "secret";
/** Addresses of the control replicas in tests. */
export const CONTROL_ADDRESSES = ["c1", "c2", "c3"];

const configuration = create(p.ConfigurationSchema, {
    revision: 1,
    contracts: ["acme", "other"].map(customer => ({
        customer,
        credentials: [createCredential("key", SECRET)],
    })),
});

/** Returns an active job, with the given fields replaced. */
export const jobOf = (fields: Partial<p.Job>, requestId = "r1", customer = "acme"): p.Job =>
    create(p.JobSchema, {
        specification: create(p.JobSpecificationSchema, { customer, requestId, workClass: "trial" }),
        state: p.JobState.ACTIVE,
        acceptedAtMs: 7,
        entryId: "e1",
        ...fields,
    } as p.Job);

/** Returns the response to a submission that the leader accepted, with the order if the job was placed at once. */
export const jobResponse = (job: p.Job, order?: p.Order): p.SubmitResponse =>
    create(p.SubmitResponseSchema, { result: { case: "job", value: job }, order });

/** Returns a NOT_LEADER response with a hint to another replica. */
export const notLeaderResponse = (leaderAddress: string): ControlResponse =>
    create(p.SubmitResponseSchema, {
        result: {
            case: "error",
            value: create(p.ErrorDetailSchema, { code: p.ErrorCode.NOT_LEADER, leaderAddress }),
        },
    });

/** Returns a blob with its reference. */
export const blobOf = (text: string): { reference: p.BlobReference; data: Uint8Array } => {
    const data = new Uint8Array(Buffer.from(text));
    return { reference: create(p.BlobReferenceSchema, { sha256: sha256Of(data), sizeBytes: data.length }), data };
};

/** Returns an order to start the first attempt of job `r1`, with the given fields replaced. */
export const startOrder = (payload: p.BlobReference, fields: Partial<p.Order> = {}): p.Order =>
    create(p.OrderSchema, {
        sequence: 1,
        kind: p.OrderKind.START,
        customer: "acme",
        requestId: "r1",
        attemptNumber: 1,
        backendServerId: "s1",
        incarnation: "i1",
        backendServerAddress: "s1:1",
        term: 1,
        startDeadlineBackendMs: 900,
        specification: create(p.JobSpecificationSchema, { customer: "acme", requestId: "r1", payload }),
        ...fields,
    } as p.Order);

/** Drives one entry with simulated time. Calls that a test doesn't answer stay pending until their deadline. */
export class EntryHarness {
    readonly entry: EntryNode;
    nowMs = 0;
    #effects: EntryEffect[] = [];
    #nextHandle = 1;

    constructor(options: Partial<EntryOptions> = {}) {
        const identity = { entryId: "e1", incarnation: "1", address: "e1:1", availabilityZone: "a" };
        // The blobs of tests are small; without this limit they would all be kept inline in their references.
        const limits = { inlineBlobBytes: 0, ...options?.limits };
        this.entry = new EntryNode({ ...identity, controlAddresses: CONTROL_ADDRESSES, ...options, limits }, 0);
    }

    #collectEffects(): EntryEffect[] {
        this.#effects.push(...this.entry.takeEffects());
        return this.#effects;
    }

    /** Removes and returns the pending call effects of a control method. */
    takeCalls<M extends ControlMethod>(method: M): (CallControl & { request: ControlRequest<M> })[] {
        const isCall = (effect: EntryEffect) => effect.kind === EntryEffectKind.CallControl && effect.method === method;
        const calls = this.#collectEffects().filter(isCall);
        this.#effects = this.#effects.filter(effect => !isCall(effect));
        return calls as (CallControl & { request: ControlRequest<M> })[];
    }

    takeEffects<T extends EntryEffect>(kind: T["kind"]): T[] {
        const taken = this.#collectEffects().filter(effect => effect.kind === kind);
        this.#effects = this.#effects.filter(effect => effect.kind !== kind);
        return taken as T[];
    }

    reply(call: CallControl | undefined, response: ControlResponse): void {
        this.entry.handleControlResponse(call?.callId ?? -1, response, this.nowMs);
    }

    fail(callId: number, code: p.ErrorCode): void {
        this.entry.handleCallFailure(callId, new StepError(code, "test", "peer", "failed"), this.nowMs);
    }

    advance(byMs: number): void {
        for (let passedMs = 0; passedMs < byMs; passedMs += 10) {
            this.nowMs += 10;
            this.entry.tick(this.nowMs);
        }
    }

    /** Answers the last poll, by default with a configuration, its lease and no orders. */
    answerPoll(fields: Partial<p.PollResponse> = {}): void {
        const poll = this.takeCalls("poll").at(-1);
        this.reply(
            poll,
            create(p.PollResponseSchema, {
                term: 1,
                revision: 1,
                configuration,
                configurationLeaseMs: 60_000,
                ...fields,
            } as p.PollResponse),
        );
    }

    confirmBlobWrites(count = CONTROL_ADDRESSES.length): void {
        this.takeCalls("putBlob").slice(0, count).forEach(call => {
            this.reply(call, create(p.PutBlobResponseSchema, {}));
        });
    }

    request(method: string, path: string, body = "", customer = "acme"): number {
        const handle = this.#nextHandle;
        this.#nextHandle += 1;
        const headers = { authorization: `Bearer ${bearerTokenOf(customer, "key", SECRET)}` };
        this.entry.handleCallerRequest(handle, { method, path, headers, body: Buffer.from(body) }, this.nowMs);
        return handle;
    }

    submit(path = "/v1/jobs/r1"): number {
        return this.request("PUT", path, `{"workClass":"trial","payload":{"runMs":1},"deadlineInMs":5000}`);
    }

    /** Passes a backend server's request to the entry and returns its handle. */
    backendServer(path: string, body: unknown): number {
        const handle = this.#nextHandle;
        this.#nextHandle += 1;
        const request = { method: "POST", path, headers: {}, body: Buffer.from(JSON.stringify(body)) };
        this.entry.handleBackendServerRequest(handle, request, this.nowMs);
        return handle;
    }

    announce(id: string, sequence = 1, incarnation = "i1"): number {
        const fields = { address: `${id}:1`, clockMs: 100 + sequence, sequence };
        return this.backendServer("/backend/v1/announce", { backendServerId: id, incarnation, ...fields });
    }

    takeReplies(): ReplyToCaller[] {
        return this.takeEffects<ReplyToCaller>(EntryEffectKind.ReplyToCaller);
    }

    takeServerReplies(): ReplyToBackendServer[] {
        return this.takeEffects<ReplyToBackendServer>(EntryEffectKind.ReplyToBackendServer);
    }

    /** Removes and returns the pending calls to backend servers, of which the tests expect only starts. */
    starts(): CallBackendServer[] {
        return this.takeEffects<CallBackendServer>(EntryEffectKind.CallBackendServer);
    }
}

/** Returns a harness whose entry has a configuration and a lease. */
export const createReadyHarness = (options: Partial<EntryOptions> = {}): EntryHarness => {
    const harness = new EntryHarness(options);
    harness.answerPoll();
    return harness;
};

/** Returns the error code of a reply. */
export const errorCodeOf = (reply: { json?: string } | undefined): string =>
    (JSON.parse(reply?.json ?? "{}") as { error: { code: string } }).error.code;

/** Identity fields of a result of the attempt in `startOrder`. */
export const TASK_RESULT_IDENTITY = {
    backendServerId: "s1",
    incarnation: "i1",
    customer: "acme",
    requestId: "r1",
    attemptNumber: 1,
};
