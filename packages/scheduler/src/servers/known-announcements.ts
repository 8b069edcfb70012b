import { announcementDigest, announcementDigestKey } from "@waxwingspread/common";
import type { Announcement, Heartbeat, LeaseGrant } from "@waxwingspread/protocol";
import type { Announcements } from "./announcements.js";

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
export class KnownAnnouncements {
    readonly #announcements: Announcements;
    readonly #leaseMs: number;
    readonly #byDigest = new Map<string, Announcement>();
    readonly #digestOfServer = new Map<string, string>();

    constructor(announcements: Announcements, leaseMs: number) {
        this.#announcements = announcements;
        this.#leaseMs = leaseMs;
    }

    /** Processes a full announcement, and caches it if it renews leases. */
    announced(announcement: Announcement): LeaseGrant | undefined {
        const grant = this.#announcements.announced(announcement);
        if (grant !== undefined && grant.token === "") {
            this.#remember(announcement);
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
            const grant = this.#announcements.announced({ ...known, clockMs, sequence, heldMs, usage });
            if (grant === undefined || grant.token !== "") {
                outcome.refusedHeartbeats.push(position);
            }
        });
        return outcome;
    }

    #remember(announcement: Announcement): void {
        const key = announcementDigestKey(announcementDigest(announcement));
        const former = this.#digestOfServer.get(announcement.backendServerId);
        if (former === key) {
            return;
        }
        if (former !== undefined) {
            this.#byDigest.delete(former);
        }
        this.#digestOfServer.set(announcement.backendServerId, key);
        this.#byDigest.set(key, { ...announcement, usage: [], leaseToken: "" });
    }
}
