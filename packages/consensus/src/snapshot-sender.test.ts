import { create } from "@bufbuild/protobuf";
import { SnapshotHeaderSchema, SnapshotResponseSchema } from "@waxwingspread/protocol";
import type { ReplicaMessage } from "@waxwingspread/protocol";
import { expect, it } from "vitest";
import type { ReplicaCore } from "./core.js";
import { PeerProgress } from "./peer-progress.js";
import { SnapshotSender } from "./snapshot-sender.js";

const HEARTBEAT_MS = 100;
const LAST_INDEX = 10;

/** A sender with the first chunks of a snapshot in flight to one peer, and the offsets of the chunks that it sends. */
const startTransfer = () => {
    const sent: { offsetBytes: number; sentAtMs: number }[] = [];
    const core = {
        nowMs: 1_000,
        timing: { heartbeatMs: HEARTBEAT_MS },
        limits: { inFlightBytes: 64, snapshotChunkBytes: 32 },
        log: { baseIndex: LAST_INDEX },
        pushEffect: () => undefined,
        send: (_to: string, body: ReplicaMessage["body"]) => {
            if (body.case === "snapshotChunk") {
                sent.push({ offsetBytes: body.value.offsetBytes, sentAtMs: body.value.sentAtMs });
            }
        },
    };
    const peer = new PeerProgress("b", 1);
    const sender = new SnapshotSender(core as unknown as ReplicaCore);
    sender.start(peer);
    const header = create(SnapshotHeaderSchema, { lastIndex: LAST_INDEX, sizeBytes: 200 });
    sender.onSnapshotLoaded(header, new Uint8Array(200), [peer]);
    const respond = (offsetBytes: number, sentAtMs: number): void => {
        core.nowMs += 1;
        sender.onResponse(peer, create(SnapshotResponseSchema, { lastIndex: LAST_INDEX, offsetBytes, sentAtMs }));
    };
    const retransmit = (): void => {
        core.nowMs += HEARTBEAT_MS * 3;
        sender.tick(peer);
    };
    return { sent, respond, retransmit };
};

// Guards against a replica that never catches up: it died while it received a snapshot and asks for the beginning again,
// but the leader repeats the part that it had not confirmed before, for as long as it leads (issue 22).
it("begins again if the peer has lost what it had received and all chunks since were lost", () => {
    const { sent, respond, retransmit } = startTransfer();
    respond(64, sent.at(-1)?.sentAtMs ?? 0);
    retransmit();
    const { offsetBytes, sentAtMs } = sent.at(-1) ?? { offsetBytes: 0, sentAtMs: 0 };
    expect(offsetBytes).toBeGreaterThan(0);
    const countBefore = sent.length;
    respond(0, sentAtMs);
    expect(sent[countBefore]?.offsetBytes).toBe(0);
});
