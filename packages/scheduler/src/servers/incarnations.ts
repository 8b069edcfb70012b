import { create } from "@bufbuild/protobuf";
import { LeaseGrantSchema } from "@waxwingspread/protocol";
import type { Announcement, LeaseGrant } from "@waxwingspread/protocol";
import type { Decision } from "../decision.js";
import type { BackendClocks } from "./backend-clocks.js";

/** Maximum number of tokens kept for each backend server; older ones are no longer accepted. */
const MAXIMUM_TOKENS = 16;

/**
 * Distinguishes a new incarnation of a backend server from a delayed announcement of an old one. Incarnations have no
 * order, so an unknown one replaces the known one only if it returns a token, which proves that it is running now, if
 * every lease of the known one has certainly expired, or if the known one holds no work and has been silent for
 * `incarnationSilenceMs`.
 */
export class Incarnations {
    readonly #decision: Decision;
    readonly #clocks: BackendClocks;
    /** Tokens issued since the known incarnation joined, by server. */
    readonly #tokens = new Map<string, string[]>();
    #nextToken = 0;

    constructor(decision: Decision, clocks: BackendClocks) {
        this.#decision = decision;
        this.#clocks = clocks;
    }

    /** Returns true if the announcement comes from the known incarnation, or if none is known. */
    isCurrent({ backendServerId, incarnation }: Announcement): boolean {
        const known = this.#decision.state.backendServer(backendServerId);
        return known === undefined || known.incarnation === incarnation;
    }

    /** Returns true if the announcing incarnation may replace the known one; a former one needs a token. */
    canReplace({ backendServerId, incarnation, leaseToken }: Announcement): boolean {
        const { state, nowMs, settings } = this.#decision;
        if (this.#tokens.get(backendServerId)?.includes(leaseToken)) {
            return true;
        }
        if (state.backendServer(backendServerId)?.formerIncarnations.includes(incarnation)) {
            return false;
        }
        const isIdle = state.useOfBackendServer(backendServerId).jobKeys.size === 0;
        const isSilent = this.#clocks.silenceMs(backendServerId, nowMs) >= settings.incarnationSilenceMs;
        return isIdle && isSilent || this.#clocks.leasesExpired(backendServerId, nowMs);
    }

    /** Issues a token whose return proves that the incarnation is running; the grant extends no lease. */
    challenge({ backendServerId, incarnation, clockMs }: Announcement): LeaseGrant {
        const { term } = this.#decision;
        const token = `${term}-${this.#nextToken}`;
        this.#nextToken += 1;
        this.#tokens.set(backendServerId, [...this.#tokens.get(backendServerId) ?? [], token].slice(-MAXIMUM_TOKENS));
        return create(LeaseGrantSchema, { backendServerId, incarnation, expiresBackendMs: clockMs, term, token });
    }

    clearTokens(backendServerId: string): void {
        this.#tokens.delete(backendServerId);
    }
}
