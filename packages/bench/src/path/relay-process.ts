import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { RelayRequest, RelayResponse } from "./relay-main.js";

const RELAY_SCRIPT = fileURLToPath(new URL("./relay-main.js", import.meta.url));

/** Runs the delay relays in a child process, so that relaying takes no CPU time from the callers of the benchmark. */
export class RelayProcess {
    readonly #child: ChildProcess = fork(RELAY_SCRIPT, { stdio: ["ignore", "ignore", "inherit", "ipc"] });
    readonly #pendingRequests = new Map<number, (response: RelayResponse) => void>();
    readonly #addressesByKey = new Map<string, string>();
    #nextId = 1;

    constructor() {
        this.#child.on("message", message => {
            const response = message as RelayResponse;
            this.#pendingRequests.get(response.id)?.(response);
            this.#pendingRequests.delete(response.id);
        });
    }

    /** Returns the address of the relay with this key; the first call opens it with the given target and delay. */
    async open(key: string, target: string, oneWayDelayMs: number): Promise<string> {
        const openAddress = this.#addressesByKey.get(key);
        if (openAddress !== undefined) {
            return openAddress;
        }
        const { address = "" } = await this.#request({ open: { target, oneWayDelayMs } });
        this.#addressesByKey.set(key, address);
        return address;
    }

    /** Returns the number of bytes relayed so far, by the key of the relay. */
    async bytes(): Promise<Map<string, number>> {
        const { bytes = {} } = await this.#request({});
        return new Map([...this.#addressesByKey].map(([key, address]) => [key, bytes[address] ?? 0]));
    }

    /** Disconnects from the child process, which then exits. */
    close(): void {
        this.#child.disconnect();
    }

    #request(request: Omit<RelayRequest, "id">): Promise<RelayResponse> {
        const id = this.#nextId;
        this.#nextId += 1;
        return new Promise(resolve => {
            this.#pendingRequests.set(id, resolve);
            this.#child.send({ id, ...request });
        });
    }
}
