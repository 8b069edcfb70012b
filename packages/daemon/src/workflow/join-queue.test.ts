import { expect, it } from "vitest";
import { JoinQueue } from "./join-queue.js";
import type { JoinRequest } from "./operations.js";

const requestOf = (name: string, diskId: string): JoinRequest => ({
    name,
    diskId,
    address: `${name}:1`,
    availabilityZone: "z",
    isFormed: false,
});

const noMember = (): boolean => false;

// Guards against a repair of several disks in which each replica has to repeat its request until no other change is in
// progress, so that the next loss comes before the last one counts.
it("keeps requests until the replica is a member, oldest first", () => {
    const queue = new JoinQueue();
    queue.push(requestOf("a", "a2"), 1_000);
    queue.push(requestOf("b", "b2"), 1_001);
    expect(queue.next(noMember, 1_002)?.diskId).toBe("a2");
    expect(queue.next(noMember, 1_003)?.diskId).toBe("a2");
    expect(queue.next(diskId => diskId === "a2", 1_004)?.diskId).toBe("b2");
    expect(queue.next(() => true, 1_005)).toBeUndefined();
});

// Guards against a member that no longer exists, because its disk was lost again while its request waited.
it("discards the request of an earlier disk and requests that are not repeated", () => {
    const queue = new JoinQueue();
    queue.push(requestOf("a", "a2"), 1_000);
    queue.push(requestOf("a", "a3"), 1_100);
    expect(queue.next(noMember, 1_200)?.diskId).toBe("a3");
    expect(queue.next(noMember, 2_100)).toBeUndefined();
});

// Guards against a request that can never be met and keeps the membership from being repaired.
it("ignores a request without a disk id or an address", () => {
    const queue = new JoinQueue();
    queue.push(requestOf("a", ""), 1_000);
    queue.push({ ...requestOf("b", "b2"), address: "" }, 1_000);
    queue.push(requestOf("c", "c2"), 1_000);
    expect(queue.next(noMember, 1_001)?.name).toBe("c");
});

// Guards against a member that ends each leader in turn, since the leader can't connect to its address.
it.each(["", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:x", ":80", 80, null, undefined])(
    "ignores a request with the address %j",
    address => {
        const queue = new JoinQueue();
        queue.push({ ...requestOf("a", "a2"), address: address as string }, 1_000);
        expect(queue.next(noMember, 1_001)).toBeUndefined();
    },
);
