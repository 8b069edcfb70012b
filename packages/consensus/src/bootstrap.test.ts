import { create } from "@bufbuild/protobuf";
import { DescribeResponseSchema, ReplicaIdentitySchema } from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import { BootstrapHandshake, BootstrapState } from "./bootstrap.js";

const identityOf = (name: string, diskId = `disk-${name}`) =>
    create(ReplicaIdentitySchema, { name, diskId, address: `${name}:1` });

const [a, b, c] = ["a", "b", "c"].map(name => identityOf(name)) as [
    ReturnType<typeof identityOf>,
    ReturnType<typeof identityOf>,
    ReturnType<typeof identityOf>,
];

const unformed = (identity = b) => create(DescribeResponseSchema, { identity });

describe("BootstrapHandshake", () => {
    it("does not form a second cluster while a peer does not answer or its answer is outdated", () => {
        const handshake = new BootstrapHandshake({ identity: a, peers: [b, c] });
        handshake.handleResponse(b, unformed(b), 0);
        expect(handshake.state(1)).toBe(BootstrapState.Asking);
        expect(handshake.membership(1)).toBeUndefined();
        handshake.handleResponse(c, unformed(c), 10);
        expect(handshake.state(11)).toBe(BootstrapState.Ready);
        handshake.handleFailure(c);
        expect(handshake.state(12)).toBe(BootstrapState.Asking);
        handshake.handleResponse(c, unformed(c), 9_000);
        expect(handshake.peersToQuery(9_001).map(peer => peer.name)).toEqual(["b"]);
    });

    it("derives the same membership on every replica", () => {
        const memberships = [a, b, c].map(identity => {
            const peers = [c, a, b].filter(peer => peer !== identity);
            const handshake = new BootstrapHandshake({ identity, peers });
            peers.forEach(peer => handshake.handleResponse(peer, unformed(peer), 0));
            return handshake.membership(1);
        });
        expect(memberships[0]?.members.map(member => member.identity?.name)).toEqual(["a", "b", "c"]);
        expect(memberships[1]).toEqual(memberships[0]);
        expect(memberships[2]).toEqual(memberships[0]);
    });

    // Guards against a first start that never ends because a seed has no disk (issue 19).
    it("forms the cluster without relays, on every replica the same one", () => {
        const relay = create(DescribeResponseSchema, { isRelay: true });
        const memberships = [a, b].map(identity => {
            const peer = identity === a ? b : a;
            const handshake = new BootstrapHandshake({ identity, peers: [peer, c] });
            handshake.handleResponse(c, relay, 0);
            expect(handshake.membership(1)).toBeUndefined();
            handshake.handleResponse(peer, unformed(peer), 0);
            expect(handshake.peersToQuery(60_000).map(({ name }) => name)).not.toContain("c");
            return handshake.membership(1);
        });
        expect(memberships[0]?.members.map(member => member.identity?.name)).toEqual(["a", "b"]);
        expect(memberships[1]).toEqual(memberships[0]);
    });

    it.each([
        [
            "a cluster exists, so that a wiped replica does not form a second one",
            create(DescribeResponseSchema, {
                identity: b,
                formed: true,
            }),
        ],
        ["another replica answers", unformed(c)],
        [
            "a peer has lost its log, so that the others do not form a second cluster with it",
            unformed(create(ReplicaIdentitySchema, { ...b, replacesUnreadableLog: true })),
        ],
        ["the peer's data folder is a copy of this replica's", unformed(identityOf("b", "disk-a"))],
    ])("waits for an operator when %s", (_reason, response) => {
        const handshake = new BootstrapHandshake({ identity: a, peers: [b] });
        handshake.handleResponse(b, response, 0);
        handshake.handleResponse(b, unformed(b), 1);
        expect(handshake.state(2)).toBe(BootstrapState.WaitingForOperator);
        expect(handshake.obstacle).not.toBe("");
    });

    // Guards against a new, empty cluster of replicas whose logs were unreadable, which forgets all jobs (issue 22).
    it("forms no cluster of a replica that replaces an unreadable log", () => {
        const identity = create(ReplicaIdentitySchema, { ...a, replacesUnreadableLog: true });
        const handshake = new BootstrapHandshake({ identity, peers: [b] });
        handshake.handleResponse(b, unformed(b), 0);
        expect(handshake.state(1)).toBe(BootstrapState.WaitingForOperator);
        expect(handshake.membership(1)).toBeUndefined();
    });
});
