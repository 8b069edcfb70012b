import { create } from "@bufbuild/protobuf";
import { JobSpecificationSchema } from "@waxwingspread/protocol";
import type { BlobReference, JobSpecification } from "@waxwingspread/protocol";
import { createHash } from "node:crypto";
import type { Submission } from "../http/parse-caller-request.js";
import type { JobIdentity } from "./job-identity.js";

/**
 * Returns the digest of a submission's content. It covers the deadline as the caller sent it, relative to the time of
 * sending, so that a resent submission has the same digest.
 */
const contentDigestOf = (identity: JobIdentity, submission: Submission, payload: BlobReference): Uint8Array => {
    const { workClass, resources, runTimeMs, deadlineInMs, repeatable } = submission;
    const content = JSON.stringify([
        identity.customer,
        identity.requestId,
        workClass,
        resources?.cpuMillicores ?? null,
        resources?.memoryMebibytes ?? null,
        resources?.accelerators ?? null,
        runTimeMs ?? null,
        deadlineInMs ?? null,
        repeatable ?? null,
        Buffer.from(payload.sha256).toString("hex"),
        payload.sizeBytes,
    ]);
    return new Uint8Array(createHash("sha256").update(content, "utf8").digest());
};

/** Returns the specification of a submitted job. A job is repeatable unless the caller declares that it is not. */
export const jobSpecificationOf = (
    identity: JobIdentity,
    submission: Submission,
    payload: BlobReference,
    receivedAtMs: number,
): JobSpecification => {
    const { workClass, resources, runTimeMs, deadlineInMs, repeatable } = submission;
    return create(JobSpecificationSchema, {
        ...identity,
        workClass,
        declaredResources: resources,
        declaredRunTimeMs: runTimeMs ?? 0,
        deadlineMs: deadlineInMs === undefined ? 0 : receivedAtMs + deadlineInMs,
        repeatable: repeatable ?? true,
        payload,
        contentSha256: contentDigestOf(identity, submission, payload),
    });
};
