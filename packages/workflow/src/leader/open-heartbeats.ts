import type { HeartbeatOrders, HeartbeatReport } from "../model/heartbeat.js";

/** Longest time that an answer waits for the log. */
const MAX_ANSWER_DELAY_MS = 300;

/** A heartbeat that has not been answered. */
export interface OpenHeartbeat {
    report: HeartbeatReport;
    /** Called once; undefined for an answer without orders. */
    respond: (orders: HeartbeatOrders | undefined) => void;
    sinceMs: number;
}

/** The latest heartbeat of each backend server until its answer. */
export class OpenHeartbeats {
    readonly #open = new Map<string, OpenHeartbeat>();

    /** Opens a heartbeat; an earlier one of the same server is answered without orders. */
    open(heartbeat: OpenHeartbeat): void {
        const { serverId } = heartbeat.report;
        this.drop(serverId);
        this.#open.set(serverId, heartbeat);
    }

    /** Answers a server's heartbeat without orders. */
    drop(serverId: string): void {
        this.#open.get(serverId)?.respond(undefined);
        this.#open.delete(serverId);
    }

    /** Answers all of them without orders. */
    close(): void {
        [...this.#open.keys()].forEach(serverId => this.drop(serverId));
    }

    /** Takes the heartbeats that wait for the log no more, or have waited for it long enough. */
    takeReady(waitsForLog: (report: HeartbeatReport) => boolean, nowMs: number): OpenHeartbeat[] {
        const ready: OpenHeartbeat[] = [];
        for (const [serverId, heartbeat] of this.#open) {
            const isLate = nowMs - heartbeat.sinceMs >= MAX_ANSWER_DELAY_MS;
            if (isLate || !waitsForLog(heartbeat.report)) {
                this.#open.delete(serverId);
                ready.push(heartbeat);
            }
        }
        return ready;
    }
}
