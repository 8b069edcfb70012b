import { DelayRelay } from "@waxwingspread/test-support";

/** What the benchmark asks a relay process. */
export interface RelayQuestion {
    id: number;
    /** Opens a relay; without it the bytes of all relays are asked for. */
    open?: { target: string; oneWayDelayMs: number };
}

/** The answer to it. */
export interface RelayAnswer {
    id: number;
    address?: string;
    /** Bytes passed so far, by the relay's address. */
    bytes?: Record<string, number>;
}

const relays: DelayRelay[] = [];

const answer = async ({ id, open }: RelayQuestion): Promise<RelayAnswer> => {
    if (open === undefined) {
        return { id, bytes: Object.fromEntries(relays.map(relay => [relay.address, relay.bytes])) };
    }
    const relay = await DelayRelay.start(open.target, open.oneWayDelayMs);
    relays.push(relay);
    return { id, address: relay.address };
};

process.on("message", question => {
    void answer(question as RelayQuestion).then(reply => process.send?.(reply));
});
process.on("disconnect", () => process.exit(0));
