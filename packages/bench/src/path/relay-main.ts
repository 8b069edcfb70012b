// Child process that runs the delay relays for a RelayHost; requests and responses are IPC messages.
import { DelayRelay } from "@waxwingspread/test-support";

/** Request from the benchmark to the relay process. */
export interface RelayQuestion {
    id: number;
    /** Relay to open; if absent, the byte counts of all relays are requested. */
    open?: { target: string; oneWayDelayMs: number };
}

/** Response to the request with the same id. */
export interface RelayAnswer {
    id: number;
    address?: string;
    /** Number of bytes relayed so far, by the address of the relay. */
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
