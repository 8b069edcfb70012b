import type { Configuration } from "@waxwingspread/protocol";

/** This entry's copy of the configuration, and the lease that allows it to act on it. */
export class ConfigurationCopy {
    #configuration: Configuration | undefined;
    #leaseExpiresMs = 0;

    get configuration(): Configuration | undefined {
        return this.#configuration;
    }

    get revision(): number {
        return this.#configuration?.revision ?? 0;
    }

    /** Adopts a configuration, unless its revision is not newer than the current one: revisions never go back. */
    adopt(configuration: Configuration): boolean {
        if (this.#configuration && configuration.revision <= this.#configuration.revision) {
            return false;
        }
        this.#configuration = configuration;
        return true;
    }

    /**
     * Extends the lease, counted from the time at which the poll was sent. Does nothing when the leader's revision
     * differs from that of this copy.
     */
    extendLease(sentAtMs: number, leaseMs: number, revision: number): void {
        if (revision === this.revision) {
            this.#leaseExpiresMs = Math.max(this.#leaseExpiresMs, sentAtMs + leaseMs);
        }
    }

    hasLease(nowMs: number): boolean {
        return nowMs < this.#leaseExpiresMs;
    }
}
