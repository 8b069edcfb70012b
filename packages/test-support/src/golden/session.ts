import { Fleet } from "../fuzz/fleet.js";
import type { ServerHost } from "../fuzz/server-host.js";

/** Time that is still recorded after the end of a script. */
const SETTLING_MS = 2_000;
const TIME_DIGITS = 6;
const NAME_WIDTH = 9;

interface TimelineEvent {
    atMs: number;
    actor: string;
    text: string;
}

/** A scripted session on a simulated fleet, recorded as a timeline of events with their actors. */
export class Session {
    readonly fleet: Fleet;
    readonly #events: TimelineEvent[] = [];
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
        session.#attachJournals();
        await script(session);
        await fleet.advance(SETTLING_MS);
        return session.#render();
    }

    /** Adds an event for an action of the script itself. */
    note(text: string): void {
        this.#addEvent("session", text);
    }

    #attachJournals(): void {
        const { callers, operators, controls } = this.fleet;
        callers.journal = text => {
            this.#addEvent("caller", text);
        };
        operators.journal = text => {
            this.#addEvent("operator", text);
        };
        for (const control of controls) {
            control.journal = (name, detail) => {
                this.#addEvent(control.name, `${name}: ${detail}`);
            };
        }
    }

    #addEvent(actor: string, text: string): void {
        this.#events.push({ atMs: this.fleet.simulation.nowMs, actor, text });
    }

    #taskEvents({ name, segments }: ServerHost): TimelineEvent[] {
        return segments.flatMap(segment => {
            const { requestId, attemptNumber, startedAtMs, stoppedAtMs, stopReason } = segment;
            const task = `${requestId} attempt ${attemptNumber}`;
            const from = Math.round(segment.progressAtStartMs);
            const to = Math.round(segment.progressAtStopMs ?? 0);
            const started = { atMs: startedAtMs, actor: name, text: `starts ${task} at progress ${from} ms` };
            const stopped = stoppedAtMs === undefined
                ? []
                : [{ atMs: stoppedAtMs, actor: name, text: `ends ${task} at progress ${to} ms: ${stopReason}` }];
            return [started, ...stopped];
        });
    }

    #render(): string {
        const events = [...this.#events, ...this.fleet.servers.flatMap(server => this.#taskEvents(server))];
        return events
            .map(event => ({ ...event, sinceMs: Math.round(event.atMs - this.#startedAtMs) }))
            .filter(({ sinceMs }) => sinceMs >= 0)
            .sort((a, b) => a.sinceMs - b.sinceMs)
            .map(({ sinceMs, actor, text }) =>
                `${String(sinceMs).padStart(TIME_DIGITS)} ms  ${actor.padEnd(NAME_WIDTH)} ${text.trim()}\n`
            )
            .join("");
    }
}
