import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { RelayAnswer, RelayQuestion } from "./relay-main.js";

const RELAY_SCRIPT = fileURLToPath(new URL("./relay-main.js", import.meta.url));

/** Runs the delay relays in a child process, so that relaying takes no CPU time from the callers of the benchmark. */
export class RelayHost {
    readonly #child: ChildProcess = fork(RELAY_SCRIPT, { stdio: ["ignore", "ignore", "inherit", "ipc"] });
    readonly #waiting = new Map<number, (answer: RelayAnswer) => void>();
    readonly #opened = new Map<string, string>();
    #nextId = 1;

    constructor() {
        this.#child.on("message", message => {
            const answer = message as RelayAnswer;
            this.#waiting.get(answer.id)?.(answer);
            this.#waiting.delete(answer.id);
        });
    }

    /** Returns the address of the relay with this key; the first call opens it with the given target and delay. */
    async open(key: string, target: string, oneWayDelayMs: number): Promise<string> {
        const known = this.#opened.get(key);
        if (known !== undefined) {
            return known;
        }
        const { address = "" } = await this.#ask({ open: { target, oneWayDelayMs } });
        this.#opened.set(key, address);
        return address;
    }

    /** Returns the number of bytes relayed so far, by the key of the relay. */
    async bytes(): Promise<Map<string, number>> {
        const { bytes = {} } = await this.#ask({});
        return new Map([...this.#opened].map(([key, address]) => [key, bytes[address] ?? 0]));
    }

    /** Disconnects from the child process, which then exits. */
    close(): void {
        this.#child.disconnect();
    }

    #ask(question: Omit<RelayQuestion, "id">): Promise<RelayAnswer> {
        const id = this.#nextId;
        this.#nextId += 1;
        return new Promise(resolve => {
            this.#waiting.set(id, resolve);
            this.#child.send({ id, ...question });
        });
    }
}
