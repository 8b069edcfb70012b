import { announcementDigestKey, digestAnnouncement } from "@waxwingspread/common";
import type { Announcement, Heartbeat, LeaseGrant } from "@waxwingspread/protocol";
import type { AnnouncementHandler } from "./announcement-handler.js";

/** Result of the heartbeats of one report, which are identified by their positions. */
export interface HeartbeatOutcome {
    unknownHeartbeats: number[];
    refusedHeartbeats: number[];
    heartbeatLeaseMs: number;
}

/**
 * Caches the last full announcement of each backend server, so that entries need not repeat what has not changed. Any
 * digest but the last one is unknown: an entry that lags behind another then sends the announcement in full, and its
 * sequence number shows whether it is outdated.
 */
export class AnnouncementCache {
    readonly #handler: AnnouncementHandler;
    readonly #leaseMs: number;
    readonly #byDigest = new Map<string, Announcement>();
    readonly #digestByServer = new Map<string, string>();

    constructor(handler: AnnouncementHandler, leaseMs: number) {
        this.#handler = handler;
        this.#leaseMs = leaseMs;
    }

    /** Processes a full announcement, and caches it if it renews leases. */
    handleAnnouncement(announcement: Announcement): LeaseGrant | undefined {
        const grant = this.#handler.handleAnnouncement(announcement);
        if (grant !== undefined && grant.token === "") {
            this.#cache(announcement);
        }
        return grant;
    }

    /** Processes each heartbeat as a repetition of the announcement whose digest it carries. */
    heartbeats(heartbeats: readonly Heartbeat[]): HeartbeatOutcome {
        const outcome: HeartbeatOutcome = {
            unknownHeartbeats: [],
            refusedHeartbeats: [],
            heartbeatLeaseMs: this.#leaseMs,
        };
        heartbeats.forEach((heartbeat, position) => {
            const known = this.#byDigest.get(announcementDigestKey(heartbeat.digest));
            if (known === undefined) {
                outcome.unknownHeartbeats.push(position);
                return;
            }
            const { clockMs, sequence, heldMs, usage } = heartbeat;
            const grant = this.#handler.handleAnnouncement({ ...known, clockMs, sequence, heldMs, usage });
            if (grant === undefined || grant.token !== "") {
                outcome.refusedHeartbeats.push(position);
            }
        });
        return outcome;
    }

    #cache(announcement: Announcement): void {
        const key = announcementDigestKey(digestAnnouncement(announcement));
        const previous = this.#digestByServer.get(announcement.backendServerId);
        if (previous === key) {
            return;
        }
        if (previous !== undefined) {
            this.#byDigest.delete(previous);
        }
        this.#digestByServer.set(announcement.backendServerId, key);
        this.#byDigest.set(key, { ...announcement, usage: [], leaseToken: "" });
    }
}
