import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";

/** Limit on the output retained for error messages. */
const MAX_RETAINED_OUTPUT_CHARACTERS = 20_000;

/** How a process ended. */
export interface ProcessExit {
    code: number | undefined;
    signal: NodeJS.Signals | undefined;
}

/** Node process started by a development script or a test. Signals are sent only to its own process id. */
export class ManagedProcess {
    readonly #child: ChildProcess;
    readonly #exit: Promise<ProcessExit>;
    #output = "";
    #exited: ProcessExit | undefined;

    constructor(
        readonly name: string,
        script: string,
        args: readonly string[],
        environment: NodeJS.ProcessEnv = {},
        nodeFlags: readonly string[] = [],
    ) {
        this.#child = spawn(process.execPath, [...nodeFlags, script, ...args], {
            env: { ...process.env, ...environment },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.#child.stdout?.on("data", chunk => this.#appendOutput(String(chunk)));
        this.#child.stderr?.on("data", chunk => this.#appendOutput(String(chunk)));
        // A program that exits early must not leave its child processes running.
        const killChild = (): void => void this.#child.kill("SIGKILL");
        process.once("exit", killChild);
        this.#exit = new Promise(resolve =>
            this.#child.once("exit", (code, signal) => {
                process.off("exit", killChild);
                this.#exited = { code: code ?? undefined, signal: signal ?? undefined };
                resolve(this.#exited);
            })
        );
    }

    get pid(): number {
        return this.#child.pid ?? -1;
    }

    get output(): string {
        return this.#output;
    }

    get exited(): ProcessExit | undefined {
        return this.#exited;
    }

    /** Sends a signal to this process alone. */
    signal(signal: NodeJS.Signals): void {
        if (this.#exited === undefined) {
            this.#child.kill(signal);
        }
    }

    /** Resolves when the process has exited. */
    waitForExit(): Promise<ProcessExit> {
        return this.#exit;
    }

    /** Kills the process with SIGKILL and waits until it has exited. */
    async kill(): Promise<ProcessExit> {
        this.signal("SIGKILL");
        return this.#exit;
    }

    /** Sends SIGTERM, and SIGKILL if the process has not exited after `graceMs`. */
    async terminate(graceMs: number): Promise<ProcessExit> {
        this.signal("SIGTERM");
        const timer = setTimeout(() => this.signal("SIGKILL"), graceMs);
        const exit = await this.#exit;
        clearTimeout(timer);
        return exit;
    }

    #appendOutput(text: string): void {
        this.#output = (this.#output + text).slice(-MAX_RETAINED_OUTPUT_CHARACTERS);
    }
}
