import { z } from "zod";

const attempt = {
    customer: z.string().min(1),
    requestId: z.string().min(1),
    attemptNumber: z.number().int().min(1),
};

const resources = z.object({
    cpuMillicores: z.number().int().min(0),
    memoryMebibytes: z.number().int().min(0),
    accelerators: z.number().int().min(0),
});

/** Body of `POST /v1/tasks`. */
export const startSchema = z.object({
    ...attempt,
    incarnation: z.string().min(1),
    term: z.number().int().min(0),
    startDeadlineMs: z.number(),
    leaseExpiresMs: z.number(),
    workClass: z.string(),
    workKind: z.enum(["latency-critical", "batch", "standing"]),
    resources,
    payload: z.unknown().optional(),
    checkpoint: z.unknown().optional(),
    replyTo: z.string().min(1),
});

/** Body of `POST /v1/tasks/stop`. */
export const stopSchema = z.object({ ...attempt, checkpoint: z.boolean() });

/** Body of `POST /v1/tasks/throttle`. */
export const throttleSchema = z.object({ ...attempt, throttled: z.boolean() });

/** Task payload that a stand-in accepts. Standing work runs until it is stopped, regardless of `runMs`. */
export const payloadSchema = z.object({
    runMs: z.number().min(0).default(0),
    fail: z.boolean().default(false),
    answerBytes: z.number().int().min(0).optional(),
    echo: z.unknown().optional(),
});

/** Checkpoint that a stand-in writes. */
export const checkpointSchema = z.object({ progressMs: z.number().min(0) });

/** Reply to an announcement. */
export const announceReplySchema = z.object({
    lease: z.object({ expiresMs: z.number(), term: z.number().int().min(0), token: z.string().optional() }).optional(),
    entries: z.array(z.string().min(1)).optional(),
});

/** Reply to a result. */
export const resultReplySchema = z.object({ settled: z.boolean() });

/** Parsed bodies of the requests that entries send, and the parsed payload of a start. */
export type StartMessage = z.infer<typeof startSchema>;
export type StopMessage = z.infer<typeof stopSchema>;
export type ThrottleMessage = z.infer<typeof throttleSchema>;
export type TaskPayload = z.infer<typeof payloadSchema>;
/** Identifies an attempt of a job. */
export type AttemptIdentity = Pick<StopMessage, "customer" | "requestId" | "attemptNumber">;

/** Parses a JSON text; returns undefined if it is malformed or does not satisfy the schema. */
export const readJson = <T>(schema: z.ZodType<T>, text: string): T | undefined => {
    try {
        return schema.parse(JSON.parse(text));
    }
    catch {
        return undefined;
    }
};

/** Returns a unique key for an attempt. */
export const attemptKeyOf = (identity: AttemptIdentity): string =>
    JSON.stringify([identity.customer, identity.requestId, identity.attemptNumber]);

/** Returns a unique key for the job of an attempt. */
export const taskJobKeyOf = (identity: AttemptIdentity): string =>
    JSON.stringify([identity.customer, identity.requestId]);
