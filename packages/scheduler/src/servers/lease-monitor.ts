import type { Attempts } from "../attempts/attempts.js";
import type { Decision } from "../decision.js";
import { DueQueue } from "../timing/due-queue.js";
import type { WorkView } from "../work-view.js";
import type { BackendClocks } from "./backend-clocks.js";

/** Interval between the checks of a silent server. */
const SILENCE_CHECK_INTERVAL_MS = 250;

/** Monitors silent backend servers: they first receive no new work, then lose their tasks, and are finally removed. */
export class LeaseMonitor {
    readonly #decision: Decision;
    readonly #clocks: BackendClocks;
    readonly #view: WorkView;
    readonly #attempts: Attempts;
    readonly #checks = new DueQueue();

    constructor(decision: Decision, clocks: BackendClocks, view: WorkView, attempts: Attempts) {
        this.#decision = decision;
        this.#clocks = clocks;
        this.#view = view;
        this.#attempts = attempts;
    }

    startTerm(): void {
        for (const server of this.#decision.state.backendServers()) {
            this.scheduleCheck(server.backendServerId);
        }
    }

    /**
     * Schedules a check of the server's silence after an announcement, or at the start of a term. A pending check stays
     * in place, because the check itself reads the time of the last announcement.
     */
    scheduleCheck(backendServerId: string): void {
        if (this.#checks.timeOf(backendServerId) === undefined) {
            this.#checks.set(backendServerId, this.#decision.nowMs + this.#decision.settings.silentAfterMs);
        }
    }

    tick(): void {
        this.#checks.takeDue(this.#decision.nowMs).forEach(id => this.#check(id));
    }

    #check(id: string): void {
        const { state, nowMs, settings } = this.#decision;
        if (state.backendServer(id) === undefined) {
            return;
        }
        const silenceMs = this.#clocks.silenceMs(id, nowMs);
        if (silenceMs <= settings.silentAfterMs) {
            this.#checks.set(id, nowMs + settings.silentAfterMs - silenceMs + 1);
            return;
        }
        this.#view.refreshServer(id);
        if (this.#clocks.leasesExpired(id, nowMs)) {
            this.#attempts.endAllAsLost(id, "the leases of the backend server have expired");
            if (silenceMs > settings.removeSilentAfterMs) {
                this.#remove(id);
                return;
            }
        }
        this.#checks.set(id, nowMs + SILENCE_CHECK_INTERVAL_MS);
    }

    #remove(id: string): void {
        const incarnation = this.#decision.state.backendServer(id)?.incarnation ?? "";
        const value = { backendServerId: id, incarnation };
        this.#decision.record({ case: "backendServerRemoved", value });
        this.#clocks.forget(id);
    }
}
