import { create, toBinary } from "@bufbuild/protobuf";
import { AnnouncementSchema } from "@waxwingspread/protocol";
import type { Announcement } from "@waxwingspread/protocol";
import { createHash } from "node:crypto";

/** 64 bits: among 670 backend servers a collision within one of their life times is out of reach. */
const DIGEST_BYTES = 8;

/** Returns a digest of what an announcement says, without the fields that a heartbeat carries itself. */
export const announcementDigest = (announcement: Announcement): Uint8Array => {
    const lasting = create(AnnouncementSchema, {
        ...announcement,
        clockMs: 0,
        sequence: 0,
        heldMs: 0,
        usage: [],
        leaseToken: "",
    });
    const digest = createHash("sha256").update(toBinary(AnnouncementSchema, lasting)).digest();
    return new Uint8Array(digest.subarray(0, DIGEST_BYTES));
};

/** Returns a digest in the form used as a key of maps. */
export const announcementDigestKey = (digest: Uint8Array): string => Buffer.from(digest).toString("hex");
