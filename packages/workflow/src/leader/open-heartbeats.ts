import type { HeartbeatOrders, HeartbeatReport } from "../model/heartbeat.js";

/** Upper bound on the time that a response waits for events to be committed. */
const MAX_ANSWER_DELAY_MS = 300;

/** A heartbeat that has not been answered yet. */
export interface OpenHeartbeat {
    report: HeartbeatReport;
    /** Called once; with undefined for a response without orders. */
    respond: (orders: HeartbeatOrders | undefined) => void;
    receivedAtMs: number;
}

/** Holds the latest unanswered heartbeat of each backend server. */
export class OpenHeartbeats {
    readonly #open = new Map<string, OpenHeartbeat>();

    /** Adds a heartbeat; an earlier one of the same server is answered without orders. */
    add(heartbeat: OpenHeartbeat): void {
        const { serverId } = heartbeat.report;
        this.answerWithoutOrders(serverId);
        this.#open.set(serverId, heartbeat);
    }

    /** Answers a server's pending heartbeat, if any, without orders. */
    answerWithoutOrders(serverId: string): void {
        this.#open.get(serverId)?.respond(undefined);
        this.#open.delete(serverId);
    }

    /** Answers all pending heartbeats without orders. */
    close(): void {
        [...this.#open.keys()].forEach(serverId => this.answerWithoutOrders(serverId));
    }

    /** Removes and returns the heartbeats that need not wait for the log, or that have reached the maximum delay. */
    takeReady(waitsForLog: (report: HeartbeatReport) => boolean, nowMs: number): OpenHeartbeat[] {
        const ready: OpenHeartbeat[] = [];
        for (const [serverId, heartbeat] of this.#open) {
            const isLate = nowMs - heartbeat.receivedAtMs >= MAX_ANSWER_DELAY_MS;
            if (isLate || !waitsForLog(heartbeat.report)) {
                this.#open.delete(serverId);
                ready.push(heartbeat);
            }
        }
        return ready;
    }
}
