import { create } from "@bufbuild/protobuf";
import { jobKeyOf } from "@waxwingspread/common";
import { BackendServerSchema, LeaseGrantSchema, Reason } from "@waxwingspread/protocol";
import type { Announcement, BackendServer, LeaseGrant, Resources } from "@waxwingspread/protocol";
import type { Attempts } from "../attempts/attempts.js";
import type { AttemptReports } from "../attempts/reports.js";
import type { Decision } from "../decision.js";
import { addResources, fitsWithin, NO_RESOURCES } from "../state/resources.js";
import { heldAttempt } from "../state/usage.js";
import { taskKeyOf } from "../work-view.js";
import type { WorkView } from "../work-view.js";
import type { BackendClocks } from "./backend-clocks.js";
import { Incarnations } from "./incarnations.js";
import type { LeaseMonitor } from "./lease-monitor.js";

const equalResources = (a: Resources | undefined, b: Resources | undefined): boolean =>
    fitsWithin(a ?? NO_RESOURCES, b ?? NO_RESOURCES) && fitsWithin(b ?? NO_RESOURCES, a ?? NO_RESOURCES);

/** Processes announcements: updates the backend server's record, reconciles its tasks and renews its leases. */
export class AnnouncementHandler {
    readonly #decision: Decision;
    readonly #view: WorkView;
    readonly #clocks: BackendClocks;
    readonly #attempts: Attempts;
    readonly #reports: AttemptReports;
    readonly #leaseMonitor: LeaseMonitor;
    readonly #incarnations: Incarnations;

    constructor(
        decision: Decision,
        view: WorkView,
        clocks: BackendClocks,
        attempts: Attempts,
        reports: AttemptReports,
        leaseMonitor: LeaseMonitor,
    ) {
        this.#decision = decision;
        this.#view = view;
        this.#clocks = clocks;
        this.#attempts = attempts;
        this.#reports = reports;
        this.#leaseMonitor = leaseMonitor;
        this.#incarnations = new Incarnations(decision, clocks);
    }

    /**
     * Returns the renewed leases, or a challenge for an unknown incarnation; undefined if the announcement is outdated
     * or invalid.
     */
    handleAnnouncement(announcement: Announcement): LeaseGrant | undefined {
        const { state, nowMs, term } = this.#decision;
        const { backendServerId, incarnation, clockMs } = announcement;
        if (backendServerId === "" || incarnation === "" || announcement.capacity === undefined) {
            return undefined;
        }
        if (!this.#incarnations.isCurrent(announcement)) {
            if (!this.#incarnations.canReplace(announcement)) {
                return this.#incarnations.challenge(announcement);
            }
            this.#attempts.endAllAsLost(backendServerId, "the backend server has restarted");
            this.#incarnations.clearTokens(backendServerId);
        }
        if (!this.#clocks.recordAnnouncement(announcement, nowMs)) {
            return undefined;
        }
        this.#updateServer(announcement);
        const server = state.backendServer(backendServerId);
        if (server === undefined) {
            return undefined;
        }
        this.#leaseMonitor.scheduleCheck(backendServerId);
        this.#reports.reconcileTasks(server, announcement);
        this.#observeUsage(announcement);
        this.#view.refreshServer(backendServerId);
        const expiresBackendMs = this.#clocks.grant(backendServerId, clockMs);
        return create(LeaseGrantSchema, { backendServerId, incarnation, expiresBackendMs, term });
    }

    /** Records changes of the server. An incarnation that is leaving stays so, whatever it announces later. */
    #updateServer(announcement: Announcement): void {
        const { state } = this.#decision;
        const { backendServerId, incarnation, address, availabilityZone, rack, capacity, slots } = announcement;
        const known = state.backendServer(backendServerId);
        const isSameIncarnation = known?.incarnation === incarnation;
        const leaving = announcement.leaving || isSameIncarnation && known.leaving;
        const hasChanged = !isSameIncarnation || known.address !== address
            || known.availabilityZone !== availabilityZone
            || known.rack !== rack || known.slots !== slots || !equalResources(known.capacity, capacity);
        if (!hasChanged) {
            this.#view.setShrinking(backendServerId, false);
        }
        if (hasChanged) {
            const value = { backendServerId, incarnation, address, availabilityZone, rack, capacity, slots, leaving };
            this.#recordServer(create(BackendServerSchema, value));
        }
        else if (leaving && !known.leaving) {
            this.#decision.record({ case: "backendServerLeaving", value: { backendServerId, incarnation } });
        }
    }

    /**
     * Records the announced server. A server whose capacity shrinks below its use keeps its previous record until
     * enough of its work, the most recent first, is evicted.
     */
    #recordServer(server: BackendServer): void {
        const { state } = this.#decision;
        const { backendServerId } = server;
        const use = state.useOfBackendServer(backendServerId);
        let { resources } = use;
        let tasks = use.jobKeys.size;
        const fits = (): boolean => fitsWithin(resources, server.capacity ?? NO_RESOURCES) && tasks <= server.slots;
        this.#view.setShrinking(backendServerId, !fits());
        if (fits()) {
            this.#decision.record({ case: "backendServerJoined", value: { backendServer: server } });
            return;
        }
        const mostRecentFirst = [...use.jobKeys].reverse();
        for (const key of mostRecentFirst) {
            const job = state.job(key);
            if (job === undefined || fits()) {
                break;
            }
            resources = addResources(resources, heldAttempt(job)?.reserved ?? NO_RESOURCES, -1);
            tasks -= 1;
            this.#attempts.stop(
                job,
                Reason.EVICTED,
                `Evicted because ${backendServerId} has less capacity than before.`,
            );
        }
    }

    #observeUsage(announcement: Announcement): void {
        const { policies, nowMs, state } = this.#decision;
        const { backendServerId, clockMs } = announcement;
        for (const usage of announcement.usage) {
            const key = jobKeyOf(usage);
            const job = state.job(key);
            if (job?.specification === undefined || usage.used === undefined) {
                continue;
            }
            const classKey = `${usage.customer}/${job.specification.workClass}`;
            policies.reservation.observe(classKey, usage.used);
            policies.interference.observe({
                taskKey: taskKeyOf(key, usage.attemptNumber),
                backendServerId,
                measuredAtMs: nowMs - Math.max(0, clockMs - usage.measuredAtBackendMs),
                used: usage.used,
                speedRatio: usage.speedRatio,
            }, nowMs);
        }
    }
}
