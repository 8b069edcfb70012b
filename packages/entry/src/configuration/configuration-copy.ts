import type { Configuration } from "@waxwingspread/protocol";

/** This entry's copy of the configuration and the time until which it may act on it. */
export class ConfigurationCopy {
    #configuration: Configuration | undefined;
    #leaseUntilMs = 0;

    get configuration(): Configuration | undefined {
        return this.#configuration;
    }

    get revision(): number {
        return this.#configuration?.revision ?? 0;
    }

    /** Takes over a configuration unless it is older than the one held: an accepted revision never reverts. */
    adopt(configuration: Configuration): boolean {
        if (this.#configuration && configuration.revision <= this.#configuration.revision) {
            return false;
        }
        this.#configuration = configuration;
        return true;
    }

    /**
     * Extends the lease, counted from the moment that the poll was sent. Nothing is extended when the leader's
     * revision is another one than that held.
     */
    extendLease(sentAtMs: number, leaseMs: number, revision: number): void {
        if (revision === this.revision) {
            this.#leaseUntilMs = Math.max(this.#leaseUntilMs, sentAtMs + leaseMs);
        }
    }

    hasLease(nowMs: number): boolean {
        return nowMs < this.#leaseUntilMs;
    }
}
