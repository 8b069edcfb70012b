import { portOf } from "../transport/host-of.js";
import type { JoinRequest } from "./operations.js";

/** Time for which a request counts. A replica that still waits repeats it more often. */
const REQUEST_LIFETIME_MS = 1_000;

interface WaitingRequest {
    request: JoinRequest;
    receivedAtMs: number;
}

/** Requests to join that wait until the previous membership change is committed. */
export class JoinQueue {
    /** By the replica's name; a later disk under the same name takes the place of the earlier one. */
    readonly #waiting = new Map<string, WaitingRequest>();

    /** Adds a request or renews an earlier one of the same replica. Ignores one without a disk id or a valid address. */
    push(request: JoinRequest, nowMs: number): void {
        const { name, diskId, address, availabilityZone } = request;
        const areTexts = [name, diskId, address, availabilityZone].every(text => typeof text === "string");
        if (areTexts && diskId !== "" && portOf(address) !== undefined) {
            this.#waiting.set(name, { request, receivedAtMs: nowMs });
        }
    }

    /** Returns the oldest request that has not expired and whose replica is not a member; discards those before it. */
    next(isMember: (diskId: string) => boolean, nowMs: number): JoinRequest | undefined {
        for (const [name, { request, receivedAtMs }] of this.#waiting) {
            if (!isMember(request.diskId) && nowMs - receivedAtMs < REQUEST_LIFETIME_MS) {
                return request;
            }
            this.#waiting.delete(name);
        }
        return undefined;
    }
}
