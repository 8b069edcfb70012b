import { messageOf } from "@waxwingspread/common";
import { Refusal } from "@waxwingspread/workflow";
import type { Logger } from "pino";
import type { HttpListener } from "../http/http-listener.js";
import { hostOf } from "../transport/host-of.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { FounderSelection } from "./founder-selection.js";
import { InternalCaller } from "./internal-caller.js";
import { createInternalListener } from "./internal-listener.js";
import type { InternalHandler } from "./internal-listener.js";
import { LeaderFinder } from "./leader-finder.js";
import { LeaderWait } from "./leader-wait.js";
import {
    ANNOUNCE_PATH,
    CLUSTER_PATH,
    DESCRIBE_PATH,
    ForwardedOperation,
    forwardedPath,
    JOIN_PATH,
} from "./operations.js";
import type {
    ClusterDescription,
    ForwardedResponse,
    JoinRequest,
    JoinResponse,
    MembersAnnouncement,
} from "./operations.js";

const JOIN_TIMEOUT_MS = 400;
const DESCRIBE_TIMEOUT_MS = 500;
const FOUNDER_CHECK_INTERVAL_MS = 200;
const LISTENER_GRACE_MS = 1_000;
/** Longest wait of a request for the result of an election; callers wait 1 s for an answer, the redirect included. */
const MAX_ELECTION_WAIT_MS = 700;
/** The same for operators' calls, which the follower to which they are redirected may let wait for 800 ms more. */
const MAX_OPERATOR_WAIT_MS = 150;
const ELECTION_CHECK_INTERVAL_MS = 20;

/** Settings of a control relay. */
export interface ControlRelaySettings {
    host: string;
    /** Port of the internal listeners of all control processes. */
    internalPort: number;
    /** Hosts of control processes from the settings. */
    seedHosts: readonly string[];
    /** Whether this is the first start of the deployment. */
    isFirstStart: boolean;
}

/**
 * Control process without a disk: it has no log and no vote, and names the leader and the members to everyone who asks.
 */
export class ControlRelay {
    readonly #settings: ControlRelaySettings;
    readonly #logger: Logger;
    readonly #caller = new InternalCaller();
    readonly #finder: LeaderFinder;
    readonly #founderSelection: FounderSelection;
    readonly #internalListener: HttpListener;
    readonly #leaderWait = new LeaderWait(() => this.leaderHost);
    #redirectedCalls = 0;
    #founderTimer: NodeJS.Timeout | undefined;
    #electionTimer: NodeJS.Timeout | undefined;

    private constructor(settings: ControlRelaySettings, logger: Logger) {
        const { host, internalPort, seedHosts, isFirstStart } = settings;
        this.#settings = settings;
        this.#logger = logger;
        this.#finder = new LeaderFinder({
            caller: this.#caller,
            seedHosts,
            port: internalPort,
            readNowMs: monotonicNowMs,
            logger,
        });
        this.#founderSelection = new FounderSelection({ host, seedHosts, isFirstStart });
        this.#internalListener = createInternalListener({
            address: { host, port: internalPort },
            handlers: this.#internalHandlers(),
            logger,
        });
    }

    /** Starts listening and looks for the leader. Fails with UNAVAILABLE. */
    static async start(settings: ControlRelaySettings, logger: Logger): Promise<ControlRelay> {
        const relay = new ControlRelay(settings, logger);
        await relay.#internalListener.listen();
        relay.#finder.start();
        relay.#startFounderSelection();
        relay.#electionTimer = setInterval(
            () => relay.#leaderWait.tick(monotonicNowMs()),
            ELECTION_CHECK_INTERVAL_MS,
        );
        return relay;
    }

    /** Host of the current leader; undefined if none is known. */
    get leaderHost(): string | undefined {
        return this.#finder.leaderHost;
    }

    /** Resolves with the host of the leader as soon as one is known; undefined if none is known in time. */
    async waitForLeader(nowMs: number): Promise<string | undefined> {
        await this.#leaderWait.untilKnown(nowMs + MAX_ELECTION_WAIT_MS, nowMs);
        return this.leaderHost;
    }

    /**
     * Resolves with a host that takes heartbeats, each in turn; undefined if no leader is known in time. Servers that have
     * lost their replica would all connect to the leader, and others' connections would wait behind theirs.
     */
    async waitForHeartbeatHost(nowMs: number): Promise<string | undefined> {
        return this.#nextFollower(await this.waitForLeader(nowMs));
    }

    /** Resolves with a host that takes an operator's call and passes it on; undefined if no leader is known in time. */
    async waitForOperatorHost(nowMs: number): Promise<string | undefined> {
        await this.#leaderWait.untilKnown(nowMs + MAX_OPERATOR_WAIT_MS, nowMs);
        return this.#nextFollower(this.leaderHost);
    }

    /** Replaces the seed hosts, for example after the settings have changed. */
    setSeedHosts(hosts: readonly string[]): void {
        this.#finder.setSeedHosts(hosts);
    }

    /** Stops listening and closes all connections. */
    async stop(): Promise<void> {
        clearInterval(this.#founderTimer);
        clearInterval(this.#electionTimer);
        this.#leaderWait.close();
        this.#finder.stop();
        await this.#internalListener.close(LISTENER_GRACE_MS);
        this.#caller.close();
    }

    /** Returns the followers of a large fleet in turn; the leader if it has named none. */
    #nextFollower(leaderHost: string | undefined): string | undefined {
        const hosts = this.#finder.heartbeatHosts;
        if (leaderHost === undefined || hosts.length === 0) {
            return leaderHost;
        }
        this.#redirectedCalls += 1;
        return hosts[this.#redirectedCalls % hosts.length];
    }

    #internalHandlers(): ReadonlyMap<string, InternalHandler> {
        return new Map<string, InternalHandler>([
            ...Object.values(ForwardedOperation).map(operation =>
                [forwardedPath(operation), () => this.#refuse()] as const
            ),
            // A DescribeResponse in its JSON form, without the protobuf library.
            [DESCRIBE_PATH, () => ({ isRelay: true })],
            [CLUSTER_PATH, () => this.#describeCluster()],
            [JOIN_PATH, (request: JoinRequest) => this.#join(request)],
            [ANNOUNCE_PATH, (announcement: MembersAnnouncement) => this.#handleAnnouncement(announcement)],
        ]);
    }

    #refuse(): ForwardedResponse<ForwardedOperation> {
        return { result: { ok: false, refusal: Refusal.NotLeader }, leaderHost: this.leaderHost };
    }

    #describeCluster(): ClusterDescription {
        return { leaderHost: this.leaderHost, memberHosts: this.#finder.memberHosts, isServing: false };
    }

    #handleAnnouncement({ memberHosts }: MembersAnnouncement): Record<string, never> {
        this.#finder.suggestHosts(memberHosts);
        return {};
    }

    /** Passes a request to join on to the leader. At the first start it may name the founder of the cluster instead. */
    async #join(request: JoinRequest): Promise<JoinResponse> {
        const leaderHost = this.leaderHost;
        if (leaderHost !== undefined) {
            return this.#callJoin(leaderHost, request);
        }
        this.#finder.suggestHosts([hostOf(request.address)]);
        const mayFound = this.#founderSelection.isFounder(request.diskId, request.isFormed);
        if (mayFound) {
            this.#logger.info({ founder: request.name }, "no seed has a disk; replica selected to form the cluster");
        }
        return { isMember: false, mayFound };
    }

    async #callJoin(host: string, body: JoinRequest): Promise<JoinResponse> {
        const call = { host, port: this.#settings.internalPort, path: JOIN_PATH, body, timeoutMs: JOIN_TIMEOUT_MS };
        try {
            return await this.#caller.call<JoinResponse>(call);
        }
        catch (error) {
            this.#logger.debug({ host, reason: messageOf(error) }, "request to join was not passed on");
            return { isMember: false };
        }
    }

    #startFounderSelection(): void {
        const check = async (): Promise<void> => {
            await Promise.all(this.#founderSelection.seedsToQuery.map(host => this.#describeSeed(host)));
            if (this.#founderSelection.seedsToQuery.length === 0 || this.leaderHost !== undefined) {
                clearInterval(this.#founderTimer);
            }
        };
        this.#founderTimer = setInterval(() => void check(), FOUNDER_CHECK_INTERVAL_MS);
    }

    async #describeSeed(host: string): Promise<void> {
        const port = this.#settings.internalPort;
        try {
            const call = { host, port, path: DESCRIBE_PATH, body: {}, timeoutMs: DESCRIBE_TIMEOUT_MS };
            const { isRelay } = await this.#caller.call<{ isRelay?: boolean }>(call);
            this.#founderSelection.recordSeed(host, isRelay === true);
        }
        catch (error) {
            this.#logger.debug({ host, reason: messageOf(error) }, "seed did not respond");
        }
    }
}
