import { createHash } from "node:crypto";

/** Derives the seed of a replica's random election timeouts from its disk id. */
export const electionSeedOf = (diskId: string): number => createHash("sha256").update(diskId).digest().readInt32LE(0);
