import { create } from "@bufbuild/protobuf";
import { announcementDigestKey, digestAnnouncement } from "@waxwingspread/common";
import { HeartbeatSchema } from "@waxwingspread/protocol";
import type { Announcement, Heartbeat } from "@waxwingspread/protocol";
import { UINT32_LIMIT } from "../http/parsing.js";

/** The announcement of one backend server that a leader is known to hold. */
interface KnownAnnouncement {
    leaderAddress: string;
    digest: string;
}

/**
 * Replaces an announcement by a heartbeat, which is smaller, when the leader already has the same content from an
 * earlier announcement.
 */
export class AnnouncementDeduplicator {
    readonly #knownAnnouncements = new Map<string, KnownAnnouncement>();

    /** Returns the heartbeat that replaces the announcement, or undefined when it must be sent in full. */
    toHeartbeat(announcement: Announcement, heldMs: number, leaderAddress: string): Heartbeat | undefined {
        const known = this.#knownAnnouncements.get(announcement.backendServerId);
        if (known === undefined || known.leaderAddress !== leaderAddress || announcement.leaseToken !== "") {
            return undefined;
        }
        // One heartbeat that can't be encoded would hold back the whole message, and all later ones.
        if (!isUint32(announcement.sequence)) {
            return undefined;
        }
        const digest = digestAnnouncement(announcement);
        if (announcementDigestKey(digest) !== known.digest) {
            return undefined;
        }
        const { clockMs, sequence, usage } = announcement;
        // Rounded down: with too long a held time, the leader's estimate of the server's clock would run ahead of it.
        return create(HeartbeatSchema, { digest, clockMs, sequence, heldMs: Math.floor(heldMs), usage });
    }

    /** Records that the leader has received the full announcement. */
    recordConfirmed(announcement: Announcement, leaderAddress: string): void {
        const digest = announcementDigestKey(digestAnnouncement(announcement));
        this.#knownAnnouncements.set(announcement.backendServerId, { leaderAddress, digest });
    }

    /** Records that the leader doesn't hold an announcement of the server, so that the next one is sent in full. */
    recordUnknown(backendServerId: string): void {
        this.#knownAnnouncements.delete(backendServerId);
    }
}

const isUint32 = (value: number): boolean => Number.isInteger(value) && value >= 0 && value <= UINT32_LIMIT;
