import { messageOf } from "@waxwingspread/common";
import type { Logger } from "pino";
import type { InternalCaller } from "./internal-caller.js";
import { CLUSTER_PATH } from "./operations.js";
import type { ClusterDescription } from "./operations.js";

/** Time without contact after which the known leader is probed. Each entry of a deployment does so. */
const PROBE_INTERVAL_MS = 1_000;
/** Interval at which one of the known control processes is probed while no leader is known. */
const SEARCH_INTERVAL_MS = 100;
const PROBE_TIMEOUT_MS = 400;
const RANDOM_POSITIONS = 1_000;

/** Construction parameters of a {@link LeaderFinder}. */
export interface LeaderFinderOptions {
    caller: Pick<InternalCaller, "call">;
    /** Hosts of control processes from the settings. */
    seedHosts: readonly string[];
    /** Port of the internal listeners of all control processes. */
    port: number;
    /** Reads the monotonic clock. */
    readNowMs: () => number;
    logger: Logger;
    /** Position of the first host that is probed; random by default, so that processes begin with different ones. */
    firstPosition?: number;
}

/**
 * Finds the leader by probing the known control processes one after the other. A process that doesn't lead names the leader,
 * so that one answer suffices. All entries of a deployment search at once after an election, when replicas have the least
 * time for it.
 */
export class LeaderFinder {
    readonly #caller: Pick<InternalCaller, "call">;
    readonly #port: number;
    readonly #readNowMs: () => number;
    readonly #logger: Logger;
    #seedHosts: readonly string[];
    #memberHosts: string[] = [];
    #heartbeatHosts: readonly string[] = [];
    /** Possible members that processes other than the leader have named since the last leader was found. */
    readonly #suggestedHosts = new Set<string>();
    #leaderHost: string | undefined;
    /** Host of the last leader that has responded. */
    #lastLeaderHost: string | undefined;
    /** Hosts with a probe in progress. */
    readonly #probedHosts = new Set<string>();
    /** Position of the next host that is probed. */
    #position: number;
    #lastLeaderContactMs = -Infinity;
    /** Time at which another process has named the leader. */
    #namedAtMs = -Infinity;
    #probeTimer: NodeJS.Timeout | undefined;

    constructor(options: LeaderFinderOptions) {
        this.#caller = options.caller;
        this.#seedHosts = options.seedHosts;
        this.#port = options.port;
        this.#readNowMs = options.readNowMs;
        this.#logger = options.logger;
        this.#position = options.firstPosition ?? Math.floor(Math.random() * RANDOM_POSITIONS);
    }

    /** Starts probing. */
    start(): void {
        this.#probeTimer = setInterval(() => this.#probeNext(this.#readNowMs()), SEARCH_INTERVAL_MS);
        this.#probeNext(this.#readNowMs());
    }

    /** Stops probing. */
    stop(): void {
        clearInterval(this.#probeTimer);
    }

    /** Host of the leader; undefined if none is known. */
    get leaderHost(): string | undefined {
        return this.#leaderHost;
    }

    /** Hosts that are or may be members. */
    get memberHosts(): string[] {
        return [...new Set([...this.#memberHosts, ...this.#suggestedHosts])];
    }

    /** Hosts that take heartbeats in place of the leader, as it said last; none in a small fleet. */
    get heartbeatHosts(): readonly string[] {
        return this.#heartbeatHosts;
    }

    /** Time of the last contact to a serving leader. */
    get lastLeaderContactMs(): number {
        return this.#lastLeaderContactMs;
    }

    /** Replaces the seed hosts, for example after the settings have changed. */
    setSeedHosts(hosts: readonly string[]): void {
        this.#seedHosts = hosts;
    }

    /** Adds hosts to probe while no leader is known. */
    suggestHosts(hosts: readonly string[]): void {
        if (this.#leaderHost === undefined) {
            hosts.forEach(host => this.#suggestedHosts.add(host));
        }
    }

    /** Records a response of the leader. */
    recordLeader(host: string): void {
        if (this.#leaderHost !== host) {
            this.#logger.info({ leader: host }, "leader found");
        }
        this.#leaderHost = host;
        this.#lastLeaderHost = host;
        this.#lastLeaderContactMs = this.#readNowMs();
    }

    /** Sets the leader that another replica has named, before the leader itself has responded. */
    setNamedLeader(host: string | undefined): void {
        this.#leaderHost = host;
        this.#namedAtMs = this.#readNowMs();
    }

    /** Discards the leader if it has this host. The reason is logged. */
    clearLeader(host: string, reason: string): void {
        if (this.#leaderHost === host) {
            this.#logger.info({ leader: host, reason }, "leader lost");
            this.#leaderHost = undefined;
            this.#heartbeatHosts = [];
        }
    }

    get #hosts(): string[] {
        return [...new Set([...this.memberHosts, ...this.#seedHosts])];
    }

    /** Probes the leader when it is due or, if none is known, the next host without a probe in progress. */
    #probeNext(nowMs: number): void {
        if (this.#leaderHost === undefined) {
            const hosts = this.#hosts.filter(host => !this.#probedHosts.has(host));
            this.#position += 1;
            this.#startProbe(hosts[this.#position % hosts.length]);
        }
        else if (nowMs - Math.max(this.#lastLeaderContactMs, this.#namedAtMs) >= PROBE_INTERVAL_MS) {
            this.#startProbe(this.#leaderHost);
        }
    }

    #startProbe(host: string | undefined): void {
        if (host !== undefined && !this.#probedHosts.has(host)) {
            this.#probedHosts.add(host);
            void this.#probe(host).finally(() => this.#probedHosts.delete(host));
        }
    }

    async #probe(host: string): Promise<void> {
        const sentAtMs = this.#readNowMs();
        try {
            const description = await this.#caller.call<ClusterDescription>({
                host,
                port: this.#port,
                path: CLUSTER_PATH,
                body: {},
                timeoutMs: PROBE_TIMEOUT_MS,
            });
            if (description.isServing) {
                this.#memberHosts = description.memberHosts;
                this.#heartbeatHosts = description.heartbeatHosts ?? [];
                this.#suggestedHosts.clear();
                this.recordLeader(host);
            }
            else {
                this.clearLeader(host, "it doesn't serve as the leader");
                this.suggestHosts(description.memberHosts);
                this.#probeNamed(description.leaderHost);
            }
        }
        catch (error) {
            const reason = messageOf(error);
            this.#logger.debug({ host, reason }, "probe of control process failed");
            if (!this.#hasRespondedSince(host, sentAtMs)) {
                this.clearLeader(host, reason);
            }
        }
    }

    /** Probes the host that a process without the leadership has named. */
    #probeNamed(host: string | undefined): void {
        if (this.#leaderHost === undefined) {
            this.#startProbe(host);
        }
    }

    #hasRespondedSince(host: string, timeMs: number): boolean {
        return this.#lastLeaderHost === host && this.#lastLeaderContactMs > timeMs;
    }
}
