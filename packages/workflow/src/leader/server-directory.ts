import type { HeartbeatReport } from "../model/heartbeat.js";
import { isLaterIncarnation } from "./incarnation.js";
import { ServerView } from "./server-view.js";
import type { LeaderSettings } from "./settings.js";
import type { Times } from "./times.js";

/** Assumed lower bound on the clock rate of a backend server, relative to the leader's. */
const MIN_CLOCK_RATE = 0.98;
/** Margin for the timer resolution on both sides. */
const LEASE_MARGIN_MS = 50;
/** A former leader that was suspended may have answered a heartbeat that was sent this long after the election. */
const FORMER_LEADER_MARGIN_MS = 1_000;
/** Time after a server's notice of its exit by which its tasks have certainly ended. */
const EXIT_MARGIN_MS = 500;

/**
 * Time after the start of a session in which the first heartbeat of a server suffices to use it. Servers need about a second
 * to find a new leader.
 */
const FIRST_CONTACT_MS = 2_000;

/** Registry of the backend servers that the leader knows, with the latest possible expiry of their leases. */
export class ServerDirectory {
    readonly #servers = new Map<string, ServerView>();
    readonly #settings: LeaderSettings;
    readonly #startedAtMs: number;
    /** Cached; undefined until it is computed again. */
    #all: readonly ServerView[] | undefined;

    constructor(settings: LeaderSettings, startedAtMs: number) {
        this.#settings = settings;
        this.#startedAtMs = startedAtMs;
    }

    /** All servers. The list is replaced when a server is added or removed. */
    get servers(): readonly ServerView[] {
        this.#all ??= [...this.#servers.values()];
        return this.#all;
    }

    get size(): number {
        return this.#servers.size;
    }

    /** Returns the current incarnation of a server. */
    get(serverId: string): ServerView | undefined {
        return this.#servers.get(serverId);
    }

    /** Returns a server if its current incarnation is the given one. */
    find(serverId: string, incarnation: number): ServerView | undefined {
        const server = this.#servers.get(serverId);
        return server?.incarnation === incarnation ? server : undefined;
    }

    /**
     * Returns a server, added if it is known only from the log; it may hold a lease of the given duration that the former
     * leader granted.
     */
    getOrAdd(serverId: string, incarnation: number, formerLeaseMs: number, nowMs: number): ServerView {
        const known = this.find(serverId, incarnation);
        if (known !== undefined) {
            return known;
        }
        const expiresAtMs = nowMs + formerLeaseMs / MIN_CLOCK_RATE + LEASE_MARGIN_MS + FORMER_LEADER_MARGIN_MS;
        const server = new ServerView(serverId, incarnation, nowMs, expiresAtMs);
        this.#add(server);
        return server;
    }

    /**
     * Handles a heartbeat and returns its server, a new one for a new incarnation. Returns undefined if it is of an earlier
     * incarnation or arrives after a later heartbeat.
     */
    recordHeartbeat(report: HeartbeatReport, { nowMs, timeOfDayMs }: Times): ServerView | undefined {
        let server = this.#servers.get(report.serverId);
        const { incarnation } = report;
        if (server !== undefined && isLaterIncarnation(server.incarnation, incarnation, timeOfDayMs)) {
            return undefined;
        }
        if (server === undefined || isLaterIncarnation(incarnation, server.incarnation, timeOfDayMs)) {
            server = new ServerView(report.serverId, incarnation, nowMs, nowMs);
            this.#add(server);
        }
        if (server.sequence !== undefined && report.sequence <= server.sequence) {
            return undefined;
        }
        // A heartbeat may arrive seconds after its server has crashed; only the next one shows that the server is there.
        server.isConfirmed ||= server.sequence !== undefined || nowMs - this.#startedAtMs <= FIRST_CONTACT_MS;
        server.updateFrom(report, nowMs);
        const leaseEndMs = nowMs + this.#settings.leaseMs / MIN_CLOCK_RATE + LEASE_MARGIN_MS;
        server.leaseExpiresAtMs = Math.max(server.leaseExpiresAtMs, leaseEndMs);
        return server;
    }

    /**
     * Handles a server's notice that it has ended its work and exits. The notice of a server whose heartbeats don't say
     * that it drains is one of an earlier incarnation that arrives late.
     */
    handleExitNotice(serverId: string, nowMs: number): void {
        if (this.#servers.get(serverId)?.isDraining === true) {
            this.markLeaving(serverId, nowMs);
        }
    }

    /** Records that a server's tasks have ended or are about to end. */
    markLeaving(serverId: string, nowMs: number): void {
        const server = this.#servers.get(serverId);
        if (server !== undefined) {
            server.isDraining = true;
            server.leaseExpiresAtMs = Math.min(server.leaseExpiresAtMs, nowMs + EXIT_MARGIN_MS);
        }
    }

    /** Returns the servers on which a task may fit that didn't fit before, and marks them as unchanged. */
    takeChanged(): ServerView[] {
        return this.servers.filter(server => server.takeHasChanged());
    }

    /** Removes and returns the servers whose leases have certainly expired. */
    takeExpired(nowMs: number): ServerView[] {
        const expired = this.servers.filter(server => server.leaseExpiresAtMs <= nowMs);
        expired.forEach(server => this.#servers.delete(server.id));
        if (expired.length > 0) {
            this.#all = undefined;
        }
        return expired;
    }

    #add(server: ServerView): void {
        this.#servers.set(server.id, server);
        this.#all = undefined;
    }
}
