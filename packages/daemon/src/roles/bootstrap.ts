import { BootstrapHandshake, BootstrapState } from "@waxwingspread/consensus";
import type { ReplicaRunner } from "@waxwingspread/consensus";
import type { DescribeResponse, ReplicaIdentity } from "@waxwingspread/protocol";
import type { Logger } from "pino";
import { formatEndpoint } from "../settings/endpoint.js";
import type { BootstrapPeer } from "../settings/types.js";
import { presentTimeMs } from "../transport/present-time.js";

const DESCRIBE_TIMEOUT_MS = 500;
const ROUND_INTERVAL_MS = 100;

/** What forming a new cluster needs. */
export interface BootstrapParts {
    identity: ReplicaIdentity;
    peers: readonly BootstrapPeer[];
    /** Asks the replica at `host:port` what it is. Fails when it doesn't answer in time. */
    describe: (address: string, timeoutMs: number) => Promise<DescribeResponse>;
    runner: ReplicaRunner;
    logger: Logger;
    isStopped: () => boolean;
}

/** Asks the initial peers until a cluster can be formed, exists already, or an operator is needed. */
export const bootstrap = async (parts: BootstrapParts): Promise<void> => {
    if (parts.peers.length === 0) {
        return;
    }
    const peers = parts.peers
        .filter(peer => peer.name !== parts.identity.name)
        .map(peer => ({ name: peer.name, address: formatEndpoint(peer.address) }));
    const handshake = new BootstrapHandshake({ identity: parts.identity, peers });
    while (!parts.isStopped() && !parts.runner.replica.isFormed) {
        await askPeers(handshake, parts);
        const membership = handshake.membership(presentTimeMs());
        if (membership !== undefined) {
            parts.runner.form(membership, presentTimeMs());
            parts.logger.info({ members: membership.members.length }, "cluster formed");
            return;
        }
        if (handshake.state(presentTimeMs()) === BootstrapState.WaitingForOperator) {
            parts.logger.warn({ obstacle: handshake.obstacle }, "waiting until an operator adds this replica");
            return;
        }
        await new Promise(resolve => setTimeout(resolve, ROUND_INTERVAL_MS));
    }
};

const askPeers = async (handshake: BootstrapHandshake, parts: BootstrapParts): Promise<void> => {
    const askedAtMs = presentTimeMs();
    const questions = handshake.peersToAsk(askedAtMs).map(async peer => {
        try {
            handshake.answered(peer, await parts.describe(peer.address, DESCRIBE_TIMEOUT_MS), askedAtMs);
        }
        catch {
            handshake.notAnswered(peer);
        }
    });
    await Promise.all(questions);
};
