import { create, toBinary } from "@bufbuild/protobuf";
import { AnnouncementSchema } from "@waxwingspread/protocol";
import type { Announcement } from "@waxwingspread/protocol";
import { createHash } from "node:crypto";

/** With 64 bits, a collision among 670 backend servers within the lifetime of one of them is practically impossible. */
const DIGEST_BYTES = 8;

/** Returns a digest of an announcement without its lease token and the fields that a heartbeat carries itself. */
export const digestAnnouncement = (announcement: Announcement): Uint8Array => {
    const stableFields = create(AnnouncementSchema, {
        ...announcement,
        clockMs: 0,
        sequence: 0,
        heldMs: 0,
        usage: [],
        leaseToken: "",
    });
    const digest = createHash("sha256").update(toBinary(AnnouncementSchema, stableFields)).digest();
    return new Uint8Array(digest.subarray(0, DIGEST_BYTES));
};

/** Returns a digest in hexadecimal, for use as a map key. */
export const announcementDigestKey = (digest: Uint8Array): string => Buffer.from(digest).toString("hex");
