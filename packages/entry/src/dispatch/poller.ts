import { create } from "@bufbuild/protobuf";
import { OrderKind, PollRequestSchema } from "@waxwingspread/protocol";
import type { Order, PollResponse } from "@waxwingspread/protocol";
import type { Result } from "ts-results-es";
import type { AttemptFailure } from "../calls/leader-client.js";
import type { EntryContext } from "../context.js";

/** Shortest interval between polls while responses carry no update, in case a leader doesn't hold the poll. */
const IDLE_POLL_INTERVAL_MS = 10;

/** Callbacks by which a poller notifies the rest of the entry. */
export interface PollerListener {
    /** Called with each order, once per delivery by the leader. */
    onOrder: (order: Order, nowMs: number) => void;
    /** Called when a leader of a higher term has answered. */
    onNewLeader: (nowMs: number) => void;
}

/** Keeps one long poll open at the leader to receive the configuration, its lease and orders. */
export class Poller {
    #callId: number | undefined;
    #nextPollMs = 0;
    #term = 0;
    #acknowledgedSequence = 0;
    #entryAddresses: string[];
    #isLeaving = false;
    #isLeavingConfirmed = false;

    constructor(readonly context: EntryContext, readonly listener: PollerListener) {
        this.#entryAddresses = [context.settings.address];
    }

    /** Addresses of the entries to which backend servers may send their requests. */
    get entryAddresses(): readonly string[] {
        return this.#entryAddresses;
    }

    /** True once the leader has answered a poll that announced that this entry is leaving. */
    get isLeavingConfirmed(): boolean {
        return this.#isLeavingConfirmed;
    }

    tick(nowMs: number): void {
        if (this.#callId === undefined && nowMs >= this.#nextPollMs) {
            this.#poll(nowMs);
        }
    }

    /** Notifies the leader at once that this entry is leaving. The leader resends orders of an abandoned response. */
    leave(nowMs: number): void {
        this.#isLeaving = true;
        if (this.#callId !== undefined) {
            this.context.calls.abandon(this.#callId);
        }
        this.#poll(nowMs);
    }

    #poll(nowMs: number): void {
        const { settings, configuration, leader } = this.context;
        const leaving = this.#isLeaving;
        const request = create(PollRequestSchema, {
            entryId: settings.entryId,
            incarnation: settings.incarnation,
            address: settings.address,
            availabilityZone: settings.availabilityZone,
            operatorsAddress: settings.operatorsAddress ?? "",
            knownRevision: configuration.revision,
            acknowledgedSequence: this.#acknowledgedSequence,
            sequenceTerm: this.#term,
            leaving,
        });
        this.#callId = leader.attempt("poll", request, settings.timing.pollTimeoutMs, (result, atMs) => {
            this.#callId = undefined;
            this.#handleResponse(result, nowMs, leaving, atMs);
        }, nowMs);
    }

    #handleResponse(
        result: Result<PollResponse, AttemptFailure>,
        sentAtMs: number,
        leaving: boolean,
        nowMs: number,
    ): void {
        if (result.isErr()) {
            this.#nextPollMs = nowMs + (result.error.retryNow ? 0 : this.context.settings.timing.retryDelayMs);
        }
        else if (result.value.term < this.#term) {
            // The response is from a deposed leader that doesn't know of the newer term yet, so it is ignored.
            this.#nextPollMs = nowMs + this.context.settings.timing.retryDelayMs;
        }
        else {
            this.#isLeavingConfirmed ||= leaving;
            const isIdle = result.value.orders.length === 0 && !result.value.configuration;
            this.#nextPollMs = isIdle ? sentAtMs + IDLE_POLL_INTERVAL_MS : nowMs;
            this.#applyResponse(result.value, sentAtMs, nowMs);
        }
        this.tick(nowMs);
    }

    #applyResponse(response: PollResponse, sentAtMs: number, nowMs: number): void {
        const { configuration, effects, leader } = this.context;
        if (response.configuration && configuration.adopt(response.configuration)) {
            effects.journal({ name: "configuration-adopted", detail: `revision ${configuration.revision}` });
        }
        configuration.extendLease(sentAtMs, response.configurationLeaseMs, response.revision);
        leader.setAddresses(response.controlAddresses);
        if (response.entryAddresses.length > 0) {
            this.#entryAddresses = response.entryAddresses;
        }
        if (response.term > this.#term) {
            this.#term = response.term;
            this.#acknowledgedSequence = 0;
            this.listener.onNewLeader(nowMs);
        }
        for (const order of response.orders) {
            this.#deliverOrder(order, nowMs);
        }
    }

    #deliverOrder(order: Order, nowMs: number): void {
        if (order.sequence > this.#acknowledgedSequence) {
            this.#acknowledgedSequence = order.sequence;
            this.listener.onOrder(order, nowMs);
        }
    }
}

/** Returns whether an order delivers a job's outcome to callers, rather than an instruction to a backend server. */
export const isOutcomeOrder = (order: Order): boolean => order.kind === OrderKind.OUTCOME;
