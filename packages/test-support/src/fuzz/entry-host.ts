import { StepError } from "@waxwingspread/common";
import type { ControlCall } from "@waxwingspread/control";
import { EntryEffectKind, EntryNode } from "@waxwingspread/entry";
import type {
    CallBackendServer,
    CallControl,
    ControlResponse,
    EntryEffect,
    HttpRequest,
    ReplyToBackendServer,
    ReplyToCaller,
} from "@waxwingspread/entry";
import { ErrorCode } from "@waxwingspread/protocol";
import type { GetBlobRequest, PutBlobRequest } from "@waxwingspread/protocol";
import type { ControlHost } from "./control-host.js";
import { CallFailure } from "./network.js";
import type { Network } from "./network.js";
import type { ServerHost } from "./server-host.js";
import { Host } from "./simulation.js";
import type { Simulation } from "./simulation.js";

const TICK_MS = 20;
const DRAIN_TIMEOUT_MS = 25_000;

type Reply = ReplyToCaller | ReplyToBackendServer;

/** Finds the processes that an entry calls, by their addresses. */
export interface EntryPeers {
    control: (address: string) => ControlHost | undefined;
    server: (address: string) => ServerHost | undefined;
}

/** Host process of an entry. It drives the entry as the daemon does. */
export class EntryHost {
    readonly host: Host;
    /** Violations: starts that were sent without a valid configuration lease. */
    readonly violations: string[] = [];
    #node: EntryNode | undefined;
    #isDraining = false;
    #pendingReplies = new Map<number, (reply: Reply) => void>();
    #nextHandle = 1;
    #incarnation = 0;

    constructor(
        readonly simulation: Simulation,
        readonly network: Network,
        readonly peers: EntryPeers,
        readonly controlAddresses: string[],
        name: string,
        zone: string,
    ) {
        this.host = new Host(simulation, name, zone);
    }

    get name(): string {
        return this.host.name;
    }

    get node(): EntryNode | undefined {
        return this.host.isAlive ? this.#node : undefined;
    }

    start(): void {
        this.host.beginProcess();
        this.#incarnation += 1;
        this.#isDraining = false;
        this.#pendingReplies = new Map();
        const node = new EntryNode({
            entryId: this.name,
            incarnation: String(this.#incarnation),
            address: this.name,
            availabilityZone: this.host.zone,
            controlAddresses: this.controlAddresses,
        }, this.simulation.nowMs);
        this.#node = node;
        this.host.scheduleEvery(TICK_MS, () => {
            node.tick(this.simulation.nowMs);
            this.#processEffects();
        });
        this.#processEffects();
    }

    kill(): void {
        this.host.endProcess();
    }

    /** Drains the entry and ends the process; `done` receives the number of callers that were left without a reply. */
    shutDown(done: (unanswered: number) => void): void {
        const node = this.#node;
        this.#isDraining = true;
        node?.drain(this.simulation.nowMs);
        this.#processEffects();
        const deadlineMs = this.simulation.nowMs + DRAIN_TIMEOUT_MS;
        const endWhenDrained = this.host.bind(() => {
            if (node?.isDrained === false && this.simulation.nowMs < deadlineMs) {
                this.simulation.schedule(TICK_MS, endWhenDrained);
                return;
            }
            // Messages in flight leave the host before the process ends.
            this.simulation.schedule(
                TICK_MS,
                this.host.bind(() => {
                    const unanswered = node?.sizes().callers ?? 0;
                    this.kill();
                    done(unanswered);
                }),
            );
        });
        endWhenDrained();
    }

    /** Handles a request of a caller; the returned function reports that the caller has disconnected. */
    handleCallerRequest(request: HttpRequest, reply: (reply: ReplyToCaller) => void): () => void {
        const handle = this.#registerReply(reply as (reply: Reply) => void);
        this.#node?.handleCallerRequest(handle, request, this.simulation.nowMs);
        this.#processEffects();
        return this.host.bind(() => {
            this.#pendingReplies.delete(handle);
            this.#node?.handleCallerDisconnect(handle);
        });
    }

    handleBackendServerRequest(path: string, body: string, reply: (reply: ReplyToBackendServer) => void): void {
        const handle = this.#registerReply(reply as (reply: Reply) => void);
        const request = { method: "POST", path, headers: {}, body: Buffer.from(body) };
        this.#node?.handleBackendServerRequest(handle, request, this.simulation.nowMs);
        this.#processEffects();
    }

    #registerReply(reply: (reply: Reply) => void): number {
        const handle = this.#nextHandle;
        this.#nextHandle += 1;
        this.#pendingReplies.set(handle, reply);
        return handle;
    }

    #processEffects(): void {
        for (const effect of this.#node?.takeEffects() ?? []) {
            this.#execute(effect);
        }
    }

    #execute(effect: EntryEffect): void {
        switch (effect.kind) {
            case EntryEffectKind.CallControl:
                this.#callControl(effect);
                return;
            case EntryEffectKind.CallBackendServer:
                this.#callBackendServer(effect);
                return;
            case EntryEffectKind.ReplyToCaller:
            case EntryEffectKind.ReplyToBackendServer:
                this.#pendingReplies.get(effect.requestHandle)?.(effect);
                this.#pendingReplies.delete(effect.requestHandle);
                return;
            default:
        }
    }

    #callControl(effect: CallControl): void {
        const control = this.peers.control(effect.target.address);
        this.network.call<ControlResponse>({
            from: this.host,
            to: control?.host,
            timeoutMs: effect.timeoutMs,
            handle: reply => {
                if (effect.method === "putBlob") {
                    control?.putBlob(effect.request as PutBlobRequest, reply);
                }
                else if (effect.method === "getBlob") {
                    reply((control as ControlHost).getBlob(effect.request as GetBlobRequest));
                }
                else {
                    const { method, request } = effect;
                    control?.call({ method, request } as ControlCall, value => {
                        reply(value.response as ControlResponse);
                    });
                }
            },
            done: response => {
                this.#node?.handleControlResponse(effect.callId, response, this.simulation.nowMs);
                this.#processEffects();
            },
            failed: failure => {
                this.#failCall(effect.callId, effect.method, effect.target.address, failure);
            },
        });
    }

    #callBackendServer(effect: CallBackendServer): void {
        const server = this.peers.server(effect.address);
        if (effect.path === "/v1/tasks" && !this.#isDraining && this.#node?.isReady(this.simulation.nowMs) !== true) {
            this.violations.push(`${this.name} sent a start without a valid configuration lease`);
        }
        this.network.call<{ status: number; body: string }>({
            from: this.host,
            to: server?.host,
            timeoutMs: effect.timeoutMs,
            handle: reply => {
                const answer = server?.handle(effect);
                if (answer !== undefined) {
                    reply(answer);
                }
            },
            done: reply => {
                this.#node?.handleBackendServerReply(effect.callId, reply, this.simulation.nowMs);
                this.#processEffects();
            },
            failed: failure => {
                this.#failCall(effect.callId, effect.path, effect.address, failure);
            },
        });
    }

    #failCall(callId: number, step: string, peer: string, failure: CallFailure): void {
        const code = failure === CallFailure.Refused ? ErrorCode.UNAVAILABLE : ErrorCode.TIMEOUT;
        this.#node?.handleCallFailure(callId, new StepError(code, step, peer, failure), this.simulation.nowMs);
        this.#processEffects();
    }
}
