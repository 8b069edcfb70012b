import { StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import type { Order } from "@waxwingspread/protocol";
import { BlobCache } from "./blobs/blob-cache.js";
import { BlobClient } from "./blobs/blob-client.js";
import { CallerService } from "./callers/caller-service.js";
import { EffectQueue } from "./calls/effect-queue.js";
import { LeaderClient } from "./calls/leader-client.js";
import { PendingCalls } from "./calls/pending-calls.js";
import { ConfigurationCopy } from "./configuration/configuration-copy.js";
import { checkCredential } from "./configuration/credentials.js";
import type { EntryContext } from "./context.js";
import { Dispatcher } from "./dispatch/dispatcher.js";
import { isOutcomeOrder, Poller } from "./dispatch/poller.js";
import { EntryEffectKind, EntryMetric } from "./effects.js";
import type { BackendServerReply, ControlResponse, EntryEffect, HttpRequest, RequestHandle } from "./effects.js";
import { OpenRequests } from "./http/open-requests.js";
import { BackendServerRequestKind, parseBackendServerRequest } from "./http/parse-backend-server-request.js";
import { parseCallerRequest } from "./http/parse-caller-request.js";
import { BackendServerService } from "./reporting/backend-server-service.js";
import { resolveEntrySettings } from "./settings.js";
import type { EntryOptions } from "./settings.js";

const RETRY_AFTER_MS = 500;

const authorizationOf = (request: HttpRequest): string | undefined => {
    const { authorization } = request.headers;
    return Array.isArray(authorization) ? undefined : authorization;
};

/**
 * Core of an entry node: accepts requests of callers, dispatches work to backend servers and returns answers. It is
 * deterministic and does no I/O: the host process passes in requests, outcomes of calls and the time, and executes
 * the effects. All times are `nowMs` values of one clock that never decreases.
 */
export class EntryNode {
    readonly #context: EntryContext;
    readonly #callerRequests: OpenRequests;
    readonly #backendServerRequests: OpenRequests;
    readonly #callerService: CallerService;
    readonly #backendServerService: BackendServerService;
    readonly #dispatcher: Dispatcher;
    readonly #poller: Poller;
    #isDraining = false;

    constructor(options: EntryOptions, nowMs: number) {
        const settings = resolveEntrySettings(options);
        const effects = new EffectQueue();
        const calls = new PendingCalls(effects, settings.limits.pendingCalls);
        const leader = new LeaderClient(calls, settings.timing, settings.controlAddresses);
        const cache = new BlobCache(settings.limits.cachedBlobBytes);
        const blobs = new BlobClient(calls, leader, cache, settings.timing, settings.limits.inlineBlobBytes);
        this.#context = { settings, effects, calls, leader, blobs, configuration: new ConfigurationCopy() };
        this.#callerRequests = new OpenRequests(effects, EntryEffectKind.ReplyToCaller);
        this.#backendServerRequests = new OpenRequests(effects, EntryEffectKind.ReplyToBackendServer);
        this.#poller = new Poller(this.#context, {
            onOrder: (order, atMs) => {
                this.#handleOrder(order, atMs);
            },
            onNewLeader: atMs => {
                this.#context.leader.handleNewLeader(atMs);
                this.#backendServerService.batcher.handleNewLeader(atMs);
            },
        });
        this.#callerService = new CallerService(this.#context, this.#callerRequests, (order, atMs) => {
            this.#handleOrder(order, atMs);
        });
        this.#backendServerService = new BackendServerService(
            this.#context,
            this.#backendServerRequests,
            () => this.#poller.entryAddresses,
            (end, atMs) => {
                this.#callerService.waiting.scheduleEarlyLookUp(end, atMs);
            },
        );
        this.#dispatcher = new Dispatcher(this.#context, this.#backendServerService.batcher, nowMs);
        this.#poller.tick(nowMs);
    }

    /** Returns whether this entry may accept work: it holds a configuration lease and is not draining. */
    isReady(nowMs: number): boolean {
        return !this.#isDraining && this.#context.configuration.hasLease(nowMs);
    }

    /** Revision of this entry's current configuration; 0 before it has received one. */
    get configurationRevision(): number {
        return this.#context.configuration.revision;
    }

    /** True once a drain has finished: all accepted work is done, and the leader knows that this entry is leaving. */
    get isDrained(): boolean {
        const openRequestCount = this.#callerRequests.size + this.#backendServerRequests.size;
        return this.#isDraining
            && this.#poller.isLeavingConfirmed
            && openRequestCount + this.#dispatcher.size === 0
            && this.#backendServerService.isIdle;
    }

    /** Returns the sizes of the bounded collections, for metrics and tests. */
    sizes(): Record<"callers" | "waitingCallers" | "backendServers" | "pendingCalls" | "cachedBlobBytes", number> {
        return {
            callers: this.#callerRequests.size,
            waitingCallers: this.#callerService.waiting.size,
            backendServers: this.#backendServerRequests.size,
            pendingCalls: this.#context.calls.size,
            cachedBlobBytes: this.#context.blobs.cache.bytes,
        };
    }

    /** Handles a caller's request; exactly one `ReplyToCaller` with its handle follows, unless the caller disconnects. */
    handleCallerRequest(handle: RequestHandle, request: HttpRequest, nowMs: number): void {
        const { configuration, effects } = this.#context;
        effects.count(EntryMetric.RequestsReceived);
        const admissionError = this.#checkAdmission(this.#callerRequests, nowMs);
        this.#callerRequests.add(handle);
        if (admissionError) {
            this.#replyRefused(handle, admissionError);
            return;
        }
        const customer = checkCredential(configuration.configuration, authorizationOf(request));
        if (customer.isErr()) {
            this.#replyRefused(handle, customer.error);
            return;
        }
        const parsed = parseCallerRequest(request);
        if (parsed.isErr()) {
            this.#replyRefused(handle, parsed.error);
            return;
        }
        this.#callerService.serve(handle, customer.value, parsed.value, nowMs);
    }

    /** Removes the request of a caller that has closed its connection. Jobs that it submitted continue. */
    handleCallerDisconnect(handle: RequestHandle): void {
        this.#callerRequests.remove(handle);
        this.#callerService.waiting.remove(handle);
    }

    /** Handles a backend server's request; exactly one `ReplyToBackendServer` with its handle follows. */
    handleBackendServerRequest(handle: RequestHandle, request: HttpRequest, nowMs: number): void {
        const overloadError = this.#checkOverload(this.#backendServerRequests);
        this.#backendServerRequests.add(handle);
        const parsed = parseBackendServerRequest(request);
        if (overloadError || this.#isDraining || parsed.isErr()) {
            const error = parsed.isErr() ? parsed.error : overloadError ?? this.#createDrainingError();
            this.#backendServerRequests.replyError(handle, error);
            return;
        }
        if (parsed.value.kind === BackendServerRequestKind.Announce) {
            this.#backendServerService.handleAnnouncement(handle, parsed.value.announcement, nowMs);
        }
        else {
            this.#backendServerService.handleResult(handle, parsed.value.result, nowMs);
        }
    }

    /** Removes a backend server's request whose connection was closed. */
    handleBackendServerDisconnect(handle: RequestHandle): void {
        this.#backendServerRequests.remove(handle);
    }

    /** Handles the response to a `CallControl`. */
    handleControlResponse(callId: number, response: ControlResponse, nowMs: number): void {
        this.#context.calls.succeed(callId, response, nowMs);
    }

    /** Handles the response to a `CallBackendServer`, with any HTTP status. */
    handleBackendServerReply(callId: number, reply: BackendServerReply, nowMs: number): void {
        this.#context.calls.succeed(callId, reply, nowMs);
    }

    /**
     * Handles the failure of a call. UNAVAILABLE means that the request was certainly not delivered, for example
     * because the connection was refused; any other code, usually TIMEOUT, means that it may have been delivered.
     */
    handleCallFailure(callId: number, error: StepError, nowMs: number): void {
        this.#context.calls.fail(callId, error, nowMs);
    }

    /** Runs the timers. Must be called at least about every 20 ms, which limits the precision of deadlines. */
    tick(nowMs: number): void {
        this.#context.calls.tick(nowMs);
        this.#context.leader.tick(nowMs);
        this.#context.blobs.tick(nowMs);
        this.#backendServerService.tick(nowMs);
        this.#callerService.waiting.tick(nowMs);
        this.#poller.tick(nowMs);
    }

    /** Starts the graceful shutdown: refuses new work, finishes requests in progress and notifies the leader. */
    drain(nowMs: number): void {
        if (this.#isDraining) {
            return;
        }
        this.#isDraining = true;
        this.#callerService.waiting.limitWaits(nowMs + this.#context.settings.timing.drainWaitMs, nowMs);
        this.#context.effects.journal({ name: "drain-started" });
        this.#poller.leave(nowMs);
    }

    /** Removes and returns the effects that were queued since the last call. */
    takeEffects(): EntryEffect[] {
        return this.#context.effects.take();
    }

    #handleOrder(order: Order, nowMs: number): void {
        if (!isOutcomeOrder(order)) {
            this.#dispatcher.execute(order, nowMs);
        }
        else if (order.job) {
            this.#callerService.waiting.handleOutcome(order.job, nowMs);
        }
    }

    #replyRefused(handle: RequestHandle, error: StepError): void {
        this.#context.effects.count(EntryMetric.RequestsRefused);
        this.#callerRequests.replyError(handle, error);
    }

    #checkAdmission(requests: OpenRequests, nowMs: number): StepError | undefined {
        if (this.#isDraining) {
            return this.#createDrainingError();
        }
        if (!this.#context.configuration.hasLease(nowMs)) {
            return this.#createError(ErrorCode.UNAVAILABLE, "check-configuration", "no valid configuration lease");
        }
        return this.#checkOverload(requests);
    }

    #checkOverload(requests: OpenRequests): StepError | undefined {
        const { limits } = this.#context.settings;
        return requests.size >= limits.requestsInProgress || this.#context.calls.isFull
            ? this.#createError(ErrorCode.OVERLOADED, "accept-request", "too many requests in progress")
            : undefined;
    }

    #createDrainingError(): StepError {
        return this.#createError(ErrorCode.UNAVAILABLE, "accept-request", "this entry is shutting down");
    }

    #createError(code: ErrorCode, step: string, message: string): StepError {
        return new StepError(code, step, this.#context.settings.entryId, message, { retryAfterMs: RETRY_AFTER_MS });
    }
}
