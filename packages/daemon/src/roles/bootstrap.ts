import { BootstrapHandshake, BootstrapState } from "@waxwingspread/consensus";
import type { ReplicaRunner } from "@waxwingspread/consensus";
import type { DescribeResponse, ReplicaIdentity } from "@waxwingspread/protocol";
import type { Logger } from "pino";
import { formatEndpoint } from "../settings/endpoint.js";
import type { BootstrapPeer } from "../settings/types.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";

const DESCRIBE_TIMEOUT_MS = 500;
const ROUND_INTERVAL_MS = 100;

/** Arguments of {@link bootstrap}. */
export interface BootstrapOptions {
    identity: ReplicaIdentity;
    peers: readonly BootstrapPeer[];
    /** Requests the description of the replica at `host:port`. Rejects if it does not respond in time. */
    describe: (address: string, timeoutMs: number) => Promise<DescribeResponse>;
    runner: ReplicaRunner;
    logger: Logger;
    isStopped: () => boolean;
}

/**
 * Queries the initial peers in rounds until a new cluster can be formed, a cluster already exists, or an operator has
 * to add this replica.
 */
export const bootstrap = async (options: BootstrapOptions): Promise<void> => {
    if (options.peers.length === 0) {
        return;
    }
    const peers = options.peers
        .filter(peer => peer.name !== options.identity.name)
        .map(peer => ({ name: peer.name, address: formatEndpoint(peer.address) }));
    const handshake = new BootstrapHandshake({ identity: options.identity, peers });
    while (!options.isStopped() && !options.runner.replica.isFormed) {
        await queryPeers(handshake, options);
        const membership = handshake.membership(monotonicNowMs());
        if (membership !== undefined) {
            options.runner.form(membership, monotonicNowMs());
            options.logger.info({ members: membership.members.length }, "cluster formed");
            return;
        }
        if (handshake.state(monotonicNowMs()) === BootstrapState.WaitingForOperator) {
            options.logger.warn({ obstacle: handshake.obstacle }, "waiting for an operator to add this replica");
            return;
        }
        await new Promise(resolve => setTimeout(resolve, ROUND_INTERVAL_MS));
    }
};

const queryPeers = async (handshake: BootstrapHandshake, options: BootstrapOptions): Promise<void> => {
    const sentAtMs = monotonicNowMs();
    const requests = handshake.peersToQuery(sentAtMs).map(async peer => {
        try {
            handshake.handleResponse(peer, await options.describe(peer.address, DESCRIBE_TIMEOUT_MS), sentAtMs);
        }
        catch {
            handshake.handleFailure(peer);
        }
    });
    await Promise.all(requests);
};
