import { Fleet } from "../fuzz/fleet.js";
import type { ServerHost } from "../fuzz/server-host.js";

const SETTLING_MS = 2_000;
const TIME_DIGITS = 6;
const NAME_WIDTH = 9;

interface Line {
    atMs: number;
    who: string;
    text: string;
}

/** A scripted session on a simulated fleet, recorded as a timeline of events with their actors. */
export class Session {
    readonly fleet: Fleet;
    readonly #lines: Line[] = [];
    #startedAtMs = 0;

    private constructor(seed: number) {
        this.fleet = new Fleet(seed);
    }

    /** Runs a script on a started fleet and returns the timeline as text. */
    static async play(seed: number, script: (session: Session) => Promise<void>): Promise<string> {
        const session = new Session(seed);
        const { fleet } = session;
        await fleet.start();
        session.#startedAtMs = fleet.simulation.nowMs;
        session.#listen();
        await script(session);
        await fleet.advance(SETTLING_MS);
        return session.#render();
    }

    /** Adds a line for an action of the script itself. */
    note(text: string): void {
        this.#add("session", text);
    }

    #listen(): void {
        const { callers, operators, controls } = this.fleet;
        callers.journal = text => {
            this.#add("caller", text);
        };
        operators.journal = text => {
            this.#add("operator", text);
        };
        for (const control of controls) {
            control.journal = (name, detail) => {
                this.#add(control.name, `${name}: ${detail}`);
            };
        }
    }

    #add(who: string, text: string): void {
        this.#lines.push({ atMs: this.fleet.simulation.nowMs, who, text });
    }

    #segmentLines({ name, segments }: ServerHost): Line[] {
        return segments.flatMap(segment => {
            const { requestId, attemptNumber, startedAtMs, stoppedAtMs, stopReason } = segment;
            const task = `${requestId} attempt ${attemptNumber}`;
            const from = Math.round(segment.progressAtStartMs);
            const to = Math.round(segment.progressAtStopMs ?? 0);
            const started = { atMs: startedAtMs, who: name, text: `starts ${task} at progress ${from} ms` };
            const stopped = stoppedAtMs === undefined
                ? []
                : [{ atMs: stoppedAtMs, who: name, text: `ends ${task} at progress ${to} ms: ${stopReason}` }];
            return [started, ...stopped];
        });
    }

    #render(): string {
        const lines = [...this.#lines, ...this.fleet.servers.flatMap(server => this.#segmentLines(server))];
        return lines
            .map(line => ({ ...line, sinceMs: Math.round(line.atMs - this.#startedAtMs) }))
            .filter(({ sinceMs }) => sinceMs >= 0)
            .sort((a, b) => a.sinceMs - b.sinceMs)
            .map(({ sinceMs, who, text }) =>
                `${String(sinceMs).padStart(TIME_DIGITS)} ms  ${who.padEnd(NAME_WIDTH)} ${text.trim()}\n`
            )
            .join("");
    }
}
