import type { Host, Simulation } from "./simulation.js";

const SAME_ZONE_DELAY_MS = 1;
const OTHER_ZONE_DELAY_MS = 2;
const JITTER_MS = 2;
const LONGEST_DELAY_MS = 1_500;
/** Time after which a sender replaces the connection of a one-way message that was not acknowledged. */
const REPLACEMENT_MS = 1_000;

/** Probabilities per message of random network faults, each from 0 to 1. */
export interface NetworkFaults {
    lossRatio: number;
    duplicateRatio: number;
    /** Messages that are delayed by up to 1.5 s, so that later messages overtake them. */
    lateRatio: number;
    /** Messages with which their connection becomes silent: it stays open but delivers nothing. */
    silenceRatio: number;
}

/** A network without random faults. */
export const CALM_NETWORK: NetworkFaults = { lossRatio: 0, duplicateRatio: 0, lateRatio: 0, silenceRatio: 0 };

/** Why a call has no reply. A refused call was certainly not delivered. */
export enum CallFailure {
    Refused = "refused",
    Timeout = "timeout",
}

/** A call over the network. Exactly one of `done` and `failed` runs, unless the caller's process ends before. */
export interface NetworkCall<Reply> {
    from: Host;
    /** Undefined if the address is unknown: the call is refused. */
    to: Host | undefined;
    timeoutMs: number;
    /** Runs at the receiver, possibly more than once if messages are duplicated. */
    handle: (reply: (value: Reply) => void) => void;
    done: (reply: Reply) => void;
    failed: (failure: CallFailure) => void;
}

const linkOf = (from: Host, to: Host): string => `${from.name}>${to.name}`;

/** Links between hosts, with random faults, blocked directions and silent connections. */
export class Network {
    faults: NetworkFaults = CALM_NETWORK;
    readonly #cuts = new Set<string>();
    readonly #silent = new Set<string>();

    constructor(readonly simulation: Simulation) {}

    /** Drops all messages in one direction until the network is healed. */
    cut(from: Host, to: Host): void {
        this.#cuts.add(linkOf(from, to));
    }

    /** Drops all messages in one direction until the sender replaces its connection. */
    silence(from: Host, to: Host): void {
        this.#silent.add(linkOf(from, to));
    }

    /** Unblocks all links and replaces all silent connections; the rates of random faults stay. */
    heal(): void {
        this.#cuts.clear();
        this.#silent.clear();
    }

    /** Sends a one-way message. */
    send(from: Host, to: Host, receive: () => void): void {
        const link = linkOf(from, to);
        this.#message(from, to, receive, () => undefined);
        if (this.#silent.has(link)) {
            this.simulation.schedule(REPLACEMENT_MS, () => this.#silent.delete(link));
        }
    }

    /** Sends a call and delivers its reply, unless a message is lost or the timeout passes. */
    call<Reply>({ from, to, timeoutMs, handle, done, failed }: NetworkCall<Reply>): void {
        let finished = false;
        const finish = (end: () => void): () => void =>
            from.bind(() => {
                if (!finished) {
                    finished = true;
                    end();
                }
            });
        const refused = finish(() => {
            failed(CallFailure.Refused);
        });
        if (to === undefined) {
            this.simulation.schedule(OTHER_ZONE_DELAY_MS, refused);
            return;
        }
        this.simulation.schedule(
            timeoutMs,
            finish(() => {
                // After a timeout, the caller replaces the connection.
                this.#silent.delete(linkOf(from, to));
                this.#silent.delete(linkOf(to, from));
                failed(CallFailure.Timeout);
            }),
        );
        const ended = finish;
        this.#message(from, to, () => {
            handle(value => {
                this.#message(
                    to,
                    from,
                    ended(() => {
                        done(value);
                    }),
                    () => undefined,
                );
            });
        }, () => {
            if (!this.#cuts.has(linkOf(to, from))) {
                this.simulation.schedule(this.#delayMs(from, to), refused);
            }
        });
    }

    /**
     * Transmits a message. It leaves up to 1 ms later and only while its sender runs, so that a process can be frozen
     * between a decision and the message about it.
     */
    #message(from: Host, to: Host, receive: () => void, refused: () => void): void {
        const link = linkOf(from, to);
        this.simulation.schedule(
            this.simulation.random.nextInteger(0, 1),
            from.bind(() => {
                const { simulation, faults } = this;
                if (simulation.randomBoolean(faults.silenceRatio)) {
                    this.#silent.add(link);
                }
                if (this.#cuts.has(link) || this.#silent.has(link) || simulation.randomBoolean(faults.lossRatio)) {
                    return;
                }
                const copies = simulation.randomBoolean(faults.duplicateRatio) ? 2 : 1;
                for (let copy = 0; copy < copies; copy += 1) {
                    simulation.schedule(this.#delayMs(from, to), () => {
                        this.#arrive(to, receive, refused);
                    });
                }
            }),
        );
    }

    #arrive(to: Host, receive: () => void, refused: () => void): void {
        if (to.isAlive) {
            to.bind(receive)();
        }
        else {
            refused();
        }
    }

    #delayMs(from: Host, to: Host): number {
        const baseMs = from.zone === to.zone ? SAME_ZONE_DELAY_MS : OTHER_ZONE_DELAY_MS;
        const lateMs = this.simulation.randomBoolean(this.faults.lateRatio) ? LONGEST_DELAY_MS : JITTER_MS;
        return baseMs + this.simulation.random.nextInteger(0, lateMs);
    }
}
