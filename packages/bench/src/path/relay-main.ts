// Child process that runs the delay relays for a RelayProcess; requests and responses are IPC messages.
import { DelayRelay } from "@waxwingspread/test-support";

/** Request from the benchmark to the relay process. */
export interface RelayRequest {
    id: number;
    /** Relay to open; if absent, the byte counts of all relays are requested. */
    open?: { target: string; oneWayDelayMs: number };
}

/** Response to the request with the same id. */
export interface RelayResponse {
    id: number;
    address?: string;
    /** Number of bytes relayed so far, by the address of the relay. */
    bytes?: Record<string, number>;
}

const relays: DelayRelay[] = [];

const handleRequest = async ({ id, open }: RelayRequest): Promise<RelayResponse> => {
    if (open === undefined) {
        return { id, bytes: Object.fromEntries(relays.map(relay => [relay.address, relay.bytes])) };
    }
    const relay = await DelayRelay.start(open.target, open.oneWayDelayMs);
    relays.push(relay);
    return { id, address: relay.address };
};

process.on("message", request => {
    void handleRequest(request as RelayRequest).then(reply => process.send?.(reply));
});
process.on("disconnect", () => process.exit(0));
