/** Construction parameters of a {@link FounderSelection}. */
export interface FounderSelectionOptions {
    /** Host of this relay. */
    host: string;
    /** Seeds of the first start, the same on all machines. */
    seedHosts: readonly string[];
    isFirstStart: boolean;
}

/**
 * Selects the one replica that forms the cluster at the first start if no seed has a disk. Only the seed with the lowest
 * address selects, only after all other seeds have reported that they are relays too, and only once in its life. A seed
 * with a disk forms the cluster itself, so that no replica may be selected then.
 */
export class FounderSelection {
    readonly #unqueriedSeeds: Set<string>;
    #isPermitted: boolean;
    #founderDiskId: string | undefined;

    constructor({ host, seedHosts, isFirstStart }: FounderSelectionOptions) {
        this.#isPermitted = isFirstStart && seedHosts.toSorted()[0] === host;
        this.#unqueriedSeeds = new Set(this.#isPermitted ? seedHosts.filter(seed => seed !== host) : []);
    }

    /** Seeds of which it is not known yet whether they are relays. */
    get seedsToQuery(): string[] {
        return [...this.#unqueriedSeeds];
    }

    /** Records whether a seed is a relay. */
    recordSeed(host: string, isRelay: boolean): void {
        this.#unqueriedSeeds.delete(host);
        this.#isPermitted &&= isRelay;
    }

    /** Returns whether this replica is to form the cluster. The first one that asks is selected. */
    isFounder(diskId: string, isFormed: boolean): boolean {
        // A formed replica means that a cluster exists already.
        this.#isPermitted &&= !isFormed;
        if (!this.#isPermitted || this.#unqueriedSeeds.size > 0) {
            return false;
        }
        this.#founderDiskId ??= diskId;
        return this.#founderDiskId === diskId;
    }
}
