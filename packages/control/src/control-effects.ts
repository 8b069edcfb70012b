import type { JournalRecord } from "@waxwingspread/common";
import type { BlobReference } from "@waxwingspread/protocol";
import type { ControlReply } from "./calls.js";

/** Kinds of output of a control node. */
export enum ControlEffectKind {
    Reply = "reply",
    Journal = "journal",
    BlobsReferenced = "blobsReferenced",
    CommitLatency = "commitLatency",
}

/** Answers a call. */
export interface ReplyEffect {
    kind: ControlEffectKind.Reply;
    callId: number;
    reply: ControlReply;
}

/** Records an event in the process's journal. */
export interface JournalEffect {
    kind: ControlEffectKind.Journal;
    record: JournalRecord;
}

/** Blobs that committed events refer to; this replica should hold them too. */
export interface BlobsReferencedEffect {
    kind: ControlEffectKind.BlobsReferenced;
    references: BlobReference[];
}

/** Time from the proposal of a batch to the release of its effects after the commit. */
export interface CommitLatencyEffect {
    kind: ControlEffectKind.CommitLatency;
    latencyMs: number;
}

/** Output of a control node. */
export type ControlEffect = ReplyEffect | JournalEffect | BlobsReferencedEffect | CommitLatencyEffect;
