import { messageOf } from "@waxwingspread/common";
import type { Logger } from "pino";
import type { InternalCaller } from "./internal-caller.js";
import { ANNOUNCE_PATH } from "./operations.js";
import type { MembersAnnouncement } from "./operations.js";

const ANNOUNCE_TIMEOUT_MS = 500;

/** Construction parameters of a {@link RelayAnnouncer}. */
export interface RelayAnnouncerOptions {
    caller: InternalCaller;
    /** Port of the internal listeners of all control processes. */
    internalPort: number;
    logger: Logger;
}

/**
 * Announces the members to the seeds that are not members. Relays keep nothing on a disk, so that restarted relays whose
 * seeds are all relays would otherwise find no replica.
 */
export class RelayAnnouncer {
    readonly #options: RelayAnnouncerOptions;

    constructor(options: RelayAnnouncerOptions) {
        this.#options = options;
    }

    /** Sends the hosts of the members to each seed that is not one of them. */
    async announce(memberHosts: string[], seedHosts: readonly string[]): Promise<void> {
        const otherHosts = seedHosts.filter(host => !memberHosts.includes(host));
        await Promise.all(otherHosts.map(host => this.#announceTo(host, { memberHosts })));
    }

    async #announceTo(host: string, body: MembersAnnouncement): Promise<void> {
        const { caller, internalPort, logger } = this.#options;
        try {
            await caller.call({ host, port: internalPort, path: ANNOUNCE_PATH, body, timeoutMs: ANNOUNCE_TIMEOUT_MS });
        }
        catch (error) {
            logger.debug({ host, reason: messageOf(error) }, "announcement of the members failed");
        }
    }
}
