import type { Announcement } from "@waxwingspread/protocol";
import type { SchedulerSettings } from "../settings.js";

interface Clock {
    incarnation: string;
    sequence: number;
    /** Lower bound of the server's clock at `anchorAtMs`, which is in the leader's time. */
    anchorMs: number;
    anchorAtMs: number;
    lastAnnouncementAtMs: number;
    /** Latest lease expiry granted by this leader, by the server's clock. */
    latestLeaseExpiryMs: number;
}

/** Clocks and lease expiries of the backend servers. Held in memory only: a new leader starts without them. */
export class BackendClocks {
    readonly #clocks = new Map<string, Clock>();
    readonly #settings: SchedulerSettings;
    #termStartedAtMs = 0;

    constructor(settings: SchedulerSettings) {
        this.#settings = settings;
    }

    startTerm(nowMs: number): void {
        this.#termStartedAtMs = nowMs;
        this.#clocks.clear();
    }

    /** Updates a clock from an announcement; returns false if a newer one of the same incarnation came before. */
    recordAnnouncement(announcement: Announcement, nowMs: number): boolean {
        const { backendServerId, incarnation, sequence, clockMs, heldMs } = announcement;
        const known = this.#clocks.get(backendServerId);
        const clock = known?.incarnation === incarnation ? known : undefined;
        if (clock !== undefined && sequence <= clock.sequence) {
            return false;
        }
        const rate = this.#minimumRate;
        const readingMs = clockMs + Math.max(0, heldMs) * rate;
        const lowerBoundMs = clock === undefined ? readingMs : this.#lowerBoundMs(clock, nowMs);
        this.#clocks.set(backendServerId, {
            incarnation,
            sequence,
            anchorMs: Math.max(readingMs, lowerBoundMs),
            anchorAtMs: nowMs,
            lastAnnouncementAtMs: nowMs,
            latestLeaseExpiryMs: clock?.latestLeaseExpiryMs ?? 0,
        });
        return true;
    }

    /** Renews leases until the announced clock reading plus the lease; returns the expiry by the server's clock. */
    grant(backendServerId: string, announcedMs: number): number {
        const clock = this.#clocks.get(backendServerId);
        if (clock === undefined) {
            return 0;
        }
        clock.latestLeaseExpiryMs = Math.max(clock.latestLeaseExpiryMs, announcedMs + this.#settings.leaseMs);
        return clock.latestLeaseExpiryMs;
    }

    /** Returns a lower bound of the server's clock; undefined if the server has sent no announcement in this term. */
    clockLowerBoundMs(backendServerId: string, nowMs: number): number | undefined {
        const clock = this.#clocks.get(backendServerId);
        return clock === undefined ? undefined : this.#lowerBoundMs(clock, nowMs);
    }

    /** Returns the latest lease expiry granted by this leader, by the server's clock; undefined if there is none. */
    latestLeaseExpiryMs(backendServerId: string): number | undefined {
        const clock = this.#clocks.get(backendServerId);
        return clock === undefined || clock.latestLeaseExpiryMs === 0 ? undefined : clock.latestLeaseExpiryMs;
    }

    /** Returns true if the server has sent an announcement within `silentAfterMs`. */
    isResponsive(backendServerId: string, nowMs: number): boolean {
        const clock = this.#clocks.get(backendServerId);
        return clock !== undefined && nowMs - clock.lastAnnouncementAtMs <= this.#settings.silentAfterMs;
    }

    /** Returns the time since the server's last announcement, or since the term started if that is later. */
    silenceMs(backendServerId: string, nowMs: number): number {
        const announcedAtMs = this.#clocks.get(backendServerId)?.lastAnnouncementAtMs ?? this.#termStartedAtMs;
        return nowMs - Math.max(announcedAtMs, this.#termStartedAtMs);
    }

    /**
     * Returns true if every lease of the server has certainly expired by the server's clock. A former leader may have
     * renewed them up to the start of the term, so none has certainly expired before a full lease, with the margin for
     * clock errors, has passed since then.
     */
    leasesExpired(backendServerId: string, nowMs: number): boolean {
        const { leaseMs, leaseMarginMs, clockRateErrorRatio } = this.#settings;
        const marginMs = leaseMs * clockRateErrorRatio + leaseMarginMs;
        if (nowMs < this.#termStartedAtMs + leaseMs + marginMs) {
            return false;
        }
        const clock = this.#clocks.get(backendServerId);
        return clock === undefined || this.#lowerBoundMs(clock, nowMs) >= clock.latestLeaseExpiryMs + marginMs;
    }

    forget(backendServerId: string): void {
        this.#clocks.delete(backendServerId);
    }

    get #minimumRate(): number {
        return 1 - this.#settings.clockRateErrorRatio;
    }

    #lowerBoundMs(clock: Clock, nowMs: number): number {
        return clock.anchorMs + (nowMs - clock.anchorAtMs) * this.#minimumRate;
    }
}
