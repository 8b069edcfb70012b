import type { HeartbeatReport } from "@waxwingspread/workflow";

/**
 * Number of backend servers from which replicas pass heartbeats on. A smaller fleet connects to the leader fast enough
 * after an election, and pays for no further hop.
 */
const MIN_PASSED_ON_SERVERS = 100;
/** Time for which a server is sent to no replica that it has not reached. */
const AVOID_MS = 10_000;

/** A replica that can pass heartbeats on to the leader. */
export interface HeartbeatReplica {
    host: string;
    availabilityZone: string;
}

/** Number of routes, as a multiple of the servers, above which most are those of servers that have left. */
const MAX_ROUTES_RATIO = 4;

/** Where the heartbeats of one server arrive. */
interface Route {
    /** Host that the server was sent to. */
    host: string;
    /** Hosts that the server has not reached, with the times until which it is not sent there. */
    readonly avoidedUntilMs: Map<string, number>;
    /** Number of the change of the replicas after which the host was chosen. */
    generation: number;
}

/**
 * Names the host to which each backend server sends its next heartbeat. In a large fleet these are the leader's followers,
 * which hold the servers' connections and pass the heartbeats on in batches, so that neither the leader nor its successor
 * has to accept a connection of each server.
 */
export class HeartbeatRouting {
    /** Host of this replica, the leader. */
    readonly #ownHost: string;
    readonly #routes = new Map<string, Route>();
    #replicas: readonly HeartbeatReplica[] = [];
    #isPassingOn = false;
    #generation = 0;

    constructor(ownHost: string) {
        this.#ownHost = ownHost;
    }

    /** Sets the followers that respond and the number of servers in the fleet. */
    update(replicas: readonly HeartbeatReplica[], serverCount: number): void {
        const isPassingOn = serverCount >= MIN_PASSED_ON_SERVERS && replicas.length > 0;
        if (isPassingOn !== this.#isPassingOn || hostsOf(replicas) !== hostsOf(this.#replicas)) {
            this.#replicas = replicas;
            this.#isPassingOn = isPassingOn;
            this.#generation += 1;
        }
        if (this.#routes.size > MAX_ROUTES_RATIO * serverCount) {
            this.clear();
        }
    }

    /** Hosts of the followers that take heartbeats; none in a small fleet. */
    get heartbeatHosts(): string[] {
        return this.#isPassingOn ? this.#replicas.map(({ host }) => host) : [];
    }

    /** Forgets all servers, for example at the end of a leadership. */
    clear(): void {
        this.#routes.clear();
    }

    /**
     * Returns the host for the next heartbeat of a server whose heartbeat has arrived through a replica. A server that was
     * sent to another one has not reached it, and is sent elsewhere for some time.
     */
    nextHost({ serverId, availabilityZone }: HeartbeatReport, arrivedAtHost: string, nowMs: number): string {
        const route = this.#routes.get(serverId);
        if (!this.#isPassingOn) {
            this.#routes.delete(serverId);
            return this.#ownHost;
        }
        if (route === undefined) {
            const host = this.#choose(serverId, availabilityZone, NOT_AVOIDED, nowMs);
            this.#routes.set(serverId, { host, avoidedUntilMs: new Map(), generation: this.#generation });
            return host;
        }
        const hasMissed = route.host !== arrivedAtHost;
        if (hasMissed) {
            route.avoidedUntilMs.set(route.host, nowMs + AVOID_MS);
        }
        if (hasMissed || route.generation !== this.#generation) {
            route.host = this.#choose(serverId, availabilityZone, route.avoidedUntilMs, nowMs);
            route.generation = this.#generation;
        }
        return route.host;
    }

    /** Chooses a replica in the server's availability zone if there is one, by a hash that spreads the servers evenly. */
    #choose(
        serverId: string,
        availabilityZone: string,
        avoidedUntilMs: ReadonlyMap<string, number>,
        nowMs: number,
    ): string {
        const reachable = this.#replicas.filter(({ host }) => (avoidedUntilMs.get(host) ?? -Infinity) <= nowMs);
        const near = reachable.filter(replica => replica.availabilityZone === availabilityZone);
        const candidates = near.length > 0 ? near : reachable;
        const weights = candidates.map(({ host }) => weightOf(serverId, host));
        const best = weights.indexOf(Math.max(...weights));
        return candidates[best]?.host ?? this.#ownHost;
    }
}

const NOT_AVOIDED: ReadonlyMap<string, number> = new Map();

const hostsOf = (replicas: readonly HeartbeatReplica[]): string => replicas.map(({ host }) => host).sort().join(" ");

/** Weight of a host for a server (rendezvous hashing): few servers change their host when one comes or goes. */
const weightOf = (serverId: string, host: string): number => {
    let hash = 2_166_136_261;
    for (const character of `${host} ${serverId}`) {
        hash = Math.imul(hash ^ (character.codePointAt(0) ?? 0), 16_777_619);
    }
    // Spreads the last characters over all bits.
    hash = Math.imul(hash ^ (hash >>> 15), 2_246_822_507);
    return (hash ^ (hash >>> 13)) >>> 0;
};
