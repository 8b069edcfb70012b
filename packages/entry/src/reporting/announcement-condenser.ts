import { create } from "@bufbuild/protobuf";
import { announcementDigest, announcementDigestKey } from "@waxwingspread/common";
import { HeartbeatSchema } from "@waxwingspread/protocol";
import type { Announcement, Heartbeat } from "@waxwingspread/protocol";

/** What the leader is known to have of one backend server. */
interface KnownToLeader {
    leaderAddress: string;
    digest: string;
}

/** Replaces an announcement by a heartbeat where the leader has the same content from an earlier one. */
export class AnnouncementCondenser {
    readonly #known = new Map<string, KnownToLeader>();

    /** Returns the heartbeat that stands for the announcement, or undefined where it must be sent in full. */
    condense(announcement: Announcement, heldMs: number, leaderAddress: string): Heartbeat | undefined {
        const known = this.#known.get(announcement.backendServerId);
        if (known === undefined || known.leaderAddress !== leaderAddress || announcement.leaseToken !== "") {
            return undefined;
        }
        const digest = announcementDigest(announcement);
        if (announcementDigestKey(digest) !== known.digest) {
            return undefined;
        }
        const { clockMs, sequence, usage } = announcement;
        // Rounded down: a held time that is too long would let the leader run ahead of the backend server's clock.
        return create(HeartbeatSchema, { digest, clockMs, sequence, heldMs: Math.floor(heldMs), usage });
    }

    /** Takes note that the leader took the whole announcement. */
    confirmed(announcement: Announcement, leaderAddress: string): void {
        const digest = announcementDigestKey(announcementDigest(announcement));
        this.#known.set(announcement.backendServerId, { leaderAddress, digest });
    }

    /** Takes note that the leader doesn't have the announcement. */
    unknown(backendServerId: string): void {
        this.#known.delete(backendServerId);
    }
}
