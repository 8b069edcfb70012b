import type { BlobClient } from "./blobs/blob-client.js";
import type { EffectQueue } from "./calls/effect-queue.js";
import type { LeaderClient } from "./calls/leader-client.js";
import type { PendingCalls } from "./calls/pending-calls.js";
import type { ConfigurationCopy } from "./configuration/configuration-copy.js";
import type { EntrySettings } from "./settings.js";

/** Settings, state and clients that the components of an entry share. */
export interface EntryContext {
    readonly settings: EntrySettings;
    readonly effects: EffectQueue;
    readonly calls: PendingCalls;
    readonly leader: LeaderClient;
    readonly blobs: BlobClient;
    readonly configuration: ConfigurationCopy;
}
