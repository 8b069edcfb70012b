import { Code, ConnectError } from "@connectrpc/connect";
import { messageOf, StepError } from "@waxwingspread/common";
import {
    BACKEND_SERVER_BODY_LIMIT_BYTES,
    CALLER_BODY_LIMIT_BYTES,
    EntryEffectKind,
    EntryNode,
} from "@waxwingspread/entry";
import type { CallBackendServer, CallControl, ControlResponse, EntryEffect, HttpRequest } from "@waxwingspread/entry";
import { ErrorCode } from "@waxwingspread/protocol";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { HttpListener } from "../http/http-listener.js";
import { RateLimiter } from "../http/rate-limiter.js";
import { readBody } from "../http/request-body.js";
import { createAddressTranslator, formatEndpoint } from "../settings/index.js";
import { BackendServerClient } from "../transport/backend-server-client.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { sendError, sendReply } from "./entry-replies.js";
import type { ProcessContext } from "./process-context.js";

const TICK_INTERVAL_MS = 20;
const DRAIN_CHECK_INTERVAL_MS = 20;
const BACKEND_SERVER_PATH_PREFIX = "/backend/";

/** Runs one entry node: connects its state machine to the callers' listener, to clients of its peers and to a timer. */
export class EntryRole {
    readonly #context: ProcessContext;
    readonly #node: EntryNode;
    readonly #listener: HttpListener;
    readonly #backendServers: BackendServerClient;
    readonly #responses = new Map<number, ServerResponse>();
    readonly #rateLimiter: RateLimiter;
    #nextHandle = 1;
    #tickTimer: NodeJS.Timeout | undefined;

    private constructor(context: ProcessContext) {
        const { settings, metrics } = context;
        this.#context = context;
        this.#backendServers = new BackendServerClient(createAddressTranslator(settings.addressTranslations));
        this.#rateLimiter = new RateLimiter(settings.limits.requestsPerSecondPerListener, monotonicNowMs());
        this.#node = new EntryNode({
            entryId: settings.vmName,
            incarnation: randomUUID(),
            address: `${settings.advertiseHost}:${settings.listeners.callers?.port ?? 0}`,
            operatorsAddress: `${settings.advertiseHost}:${settings.listeners.operators.port}`,
            availabilityZone: settings.availabilityZone,
            controlAddresses: settings.controlAddresses.map(formatEndpoint),
            timing: { callTimeoutMs: settings.timings.controlCallTimeoutMs },
            limits: { waitingCallers: settings.limits.waitingCallers },
        }, monotonicNowMs());
        this.#listener = new HttpListener({
            address: settings.listeners.callers ?? { host: settings.advertiseHost, port: 0 },
            maxConnections: settings.limits.connectionsPerListener,
            logger: context.logger,
            handle: (request, response) => this.#serve(request, response),
            onConnectionRefused: () => metrics.rejected.add({ listener: "callers", limit: "connections" }),
        });
    }

    /** Creates the entry and starts listening. Fails with UNAVAILABLE. */
    static async start(context: ProcessContext): Promise<EntryRole> {
        const role = new EntryRole(context);
        await role.#listener.listen();
        role.#tickTimer = setInterval(() => role.#tick(), TICK_INTERVAL_MS);
        return role;
    }

    get isReady(): boolean {
        return this.#node.isReady(monotonicNowMs());
    }

    /** Refuses new requests, waits for those in progress and reports the drain to the leader, for at most `graceMs`. */
    async stop(graceMs: number): Promise<void> {
        const deadlineMs = monotonicNowMs() + graceMs;
        this.#node.drain(monotonicNowMs());
        this.#listener.drain();
        while (!this.#node.isDrained && monotonicNowMs() < deadlineMs) {
            await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_INTERVAL_MS));
        }
        await this.#listener.close(Math.max(0, deadlineMs - monotonicNowMs()));
        clearInterval(this.#tickTimer);
        await this.#backendServers.close();
    }

    #tick(): void {
        this.#node.tick(monotonicNowMs());
        this.#handleEffects();
    }

    async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const peer = request.socket.remoteAddress ?? "";
        const isFromBackendServer = request.url?.startsWith(BACKEND_SERVER_PATH_PREFIX) === true;
        if (!isFromBackendServer && !this.#rateLimiter.take(monotonicNowMs())) {
            this.#context.metrics.rejected.add({ listener: "callers", limit: "requests-per-second" });
            sendError(response, new StepError(ErrorCode.OVERLOADED, "accept request", peer, "too many requests"));
            return;
        }
        try {
            const limitBytes = isFromBackendServer ? BACKEND_SERVER_BODY_LIMIT_BYTES : CALLER_BODY_LIMIT_BYTES;
            const body = await readBody(request, limitBytes);
            this.#dispatch(request, response, body, isFromBackendServer);
        }
        catch (error) {
            sendError(
                response,
                error instanceof StepError
                    ? error
                    : new StepError(ErrorCode.INVALID, "read request", peer, messageOf(error)),
            );
        }
    }

    #dispatch(
        request: IncomingMessage,
        response: ServerResponse,
        body: Uint8Array,
        isFromBackendServer: boolean,
    ): void {
        const handle = this.#nextHandle;
        this.#nextHandle += 1;
        this.#responses.set(handle, response);
        const httpRequest: HttpRequest = {
            method: request.method ?? "",
            path: request.url ?? "",
            headers: request.headers,
            body,
        };
        response.once("close", () => this.#handleDisconnect(handle, isFromBackendServer));
        if (isFromBackendServer) {
            this.#node.handleBackendServerRequest(handle, httpRequest, monotonicNowMs());
        }
        else {
            this.#node.handleCallerRequest(handle, httpRequest, monotonicNowMs());
        }
        this.#handleEffects();
    }

    #handleDisconnect(handle: number, isFromBackendServer: boolean): void {
        if (!this.#responses.delete(handle)) {
            return;
        }
        if (isFromBackendServer) {
            this.#node.handleBackendServerDisconnect(handle);
        }
        else {
            this.#node.handleCallerDisconnect(handle);
        }
    }

    #handleEffects(): void {
        for (const effect of this.#node.takeEffects()) {
            this.#handleEffect(effect);
        }
    }

    #handleEffect(effect: EntryEffect): void {
        switch (effect.kind) {
            case EntryEffectKind.CallControl:
                void this.#callControl(effect);
                return;
            case EntryEffectKind.CallBackendServer:
                void this.#callBackendServer(effect);
                return;
            case EntryEffectKind.ReplyToCaller:
            case EntryEffectKind.ReplyToBackendServer:
                this.#reply(effect.requestHandle, effect);
                return;
            case EntryEffectKind.JournalEntry:
                this.#context.journal.record(effect.record, Math.floor(monotonicNowMs()));
                return;
            case EntryEffectKind.Count:
                this.#context.metrics.entryEvents.add({ event: effect.metric }, effect.amount);
                return;
        }
    }

    #reply(handle: number, reply: Parameters<typeof sendReply>[1]): void {
        const response = this.#responses.get(handle);
        this.#responses.delete(handle);
        if (response !== undefined) {
            sendReply(response, reply);
        }
    }

    async #callControl(effect: CallControl): Promise<void> {
        const { address } = effect.target;
        try {
            const client = this.#context.clients.for(address).control;
            const method = client[effect.method] as (
                request: unknown,
                options: { timeoutMs: number },
            ) => Promise<ControlResponse>;
            const response = await method(effect.request, { timeoutMs: effect.timeoutMs });
            this.#node.handleControlResponse(effect.callId, response, monotonicNowMs());
        }
        catch (error) {
            this.#node.handleCallFailure(effect.callId, this.#controlError(effect, error), monotonicNowMs());
        }
        this.#handleEffects();
    }

    #controlError(effect: CallControl, error: unknown): StepError {
        const { address } = effect.target;
        const isRefused = ConnectError.from(error).code === Code.Unavailable
            && messageOf(error).includes("ECONNREFUSED");
        if (!isRefused) {
            this.#context.clients.replace(address);
            this.#context.metrics.connectionsReplaced.add({});
        }
        const code = isRefused ? ErrorCode.UNAVAILABLE : ErrorCode.TIMEOUT;
        return new StepError(code, effect.method, address, messageOf(error), { cause: error });
    }

    async #callBackendServer(effect: CallBackendServer): Promise<void> {
        const { address, path, body, timeoutMs } = effect;
        try {
            const reply = await this.#backendServers.post(address, path, body, timeoutMs);
            this.#node.handleBackendServerReply(effect.callId, reply, monotonicNowMs());
        }
        catch (error) {
            const isRefused = (error as { code?: string }).code === "ECONNREFUSED";
            const code = isRefused ? ErrorCode.UNAVAILABLE : ErrorCode.TIMEOUT;
            const failure = new StepError(code, path, address, messageOf(error), { cause: error });
            this.#node.handleCallFailure(effect.callId, failure, monotonicNowMs());
        }
        this.#handleEffects();
    }
}
