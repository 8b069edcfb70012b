import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { RelayAnswer, RelayQuestion } from "./relay-main.js";

const RELAY_SCRIPT = fileURLToPath(new URL("./relay-main.js", import.meta.url));

/** A process of relays, so that delaying bytes takes no time from the benchmark's own callers. */
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

    /** Returns the address of the relay with this key, which is opened at its first use. */
    async open(key: string, target: string, oneWayDelayMs: number): Promise<string> {
        const known = this.#opened.get(key);
        if (known !== undefined) {
            return known;
        }
        const { address = "" } = await this.#ask({ open: { target, oneWayDelayMs } });
        this.#opened.set(key, address);
        return address;
    }

    /** Returns the bytes passed so far, by the key of the relay. */
    async bytes(): Promise<Map<string, number>> {
        const { bytes = {} } = await this.#ask({});
        return new Map([...this.#opened].map(([key, address]) => [key, bytes[address] ?? 0]));
    }

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
