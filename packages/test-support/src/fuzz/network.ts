import type { Host, World } from "./world.js";

const SAME_ZONE_DELAY_MS = 1;
const OTHER_ZONE_DELAY_MS = 2;
const JITTER_MS = 2;
const LONGEST_DELAY_MS = 1_500;
/** A one-way message without an acknowledgement for this long has its connection replaced. */
const REPLACEMENT_MS = 1_000;

/** Rates of random faults of the network, each from 0 to 1. */
export interface NetworkFaults {
    lossRatio: number;
    duplicateRatio: number;
    /** Messages that are late by up to 1.5 s and so overtaken by later ones. */
    lateRatio: number;
    /** Messages after which their connection carries nothing any more. */
    silenceRatio: number;
}

export const CALM_NETWORK: NetworkFaults = { lossRatio: 0, duplicateRatio: 0, lateRatio: 0, silenceRatio: 0 };

/** Why a call has no reply. A refused one was certainly not delivered. */
export enum CallFailure {
    Refused = "refused",
    Timeout = "timeout",
}

/** A call over the network. */
export interface NetworkCall<Reply> {
    from: Host;
    to: Host | undefined;
    timeoutMs: number;
    /** Runs at the receiver. */
    handle: (reply: (value: Reply) => void) => void;
    done: (reply: Reply) => void;
    failed: (failure: CallFailure) => void;
}

const linkOf = (from: Host, to: Host): string => `${from.name}>${to.name}`;

/** Links between hosts, with random faults, cuts in one or both directions and silent connections. */
export class Network {
    faults: NetworkFaults = CALM_NETWORK;
    readonly #cuts = new Set<string>();
    readonly #silent = new Set<string>();

    constructor(readonly world: World) {}

    cut(from: Host, to: Host): void {
        this.#cuts.add(linkOf(from, to));
    }

    silence(from: Host, to: Host): void {
        this.#silent.add(linkOf(from, to));
    }

    heal(): void {
        this.#cuts.clear();
        this.#silent.clear();
    }

    /** Sends a message that nobody answers. */
    send(from: Host, to: Host, receive: () => void): void {
        const link = linkOf(from, to);
        this.#message(from, to, receive, () => undefined);
        if (this.#silent.has(link)) {
            this.world.schedule(REPLACEMENT_MS, () => this.#silent.delete(link));
        }
    }

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
            this.world.schedule(OTHER_ZONE_DELAY_MS, refused);
            return;
        }
        this.world.schedule(
            timeoutMs,
            finish(() => {
                // The caller replaces a connection that didn't answer.
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
                this.world.schedule(this.#delayMs(from, to), refused);
            }
        });
    }

    /** A message leaves only while its sender runs, so that a process can be frozen between a decision and its sending. */
    #message(from: Host, to: Host, receive: () => void, refused: () => void): void {
        const link = linkOf(from, to);
        this.world.schedule(
            this.world.random.nextInteger(0, 1),
            from.bind(() => {
                const { world, faults } = this;
                if (world.chance(faults.silenceRatio)) {
                    this.#silent.add(link);
                }
                if (this.#cuts.has(link) || this.#silent.has(link) || world.chance(faults.lossRatio)) {
                    return;
                }
                const copies = world.chance(faults.duplicateRatio) ? 2 : 1;
                for (let copy = 0; copy < copies; copy += 1) {
                    world.schedule(this.#delayMs(from, to), () => {
                        this.#arrive(to, receive, refused);
                    });
                }
            }),
        );
    }

    #arrive(to: Host, receive: () => void, refused: () => void): void {
        if (to.alive) {
            to.bind(receive)();
        }
        else {
            refused();
        }
    }

    #delayMs(from: Host, to: Host): number {
        const baseMs = from.zone === to.zone ? SAME_ZONE_DELAY_MS : OTHER_ZONE_DELAY_MS;
        const lateMs = this.world.chance(this.faults.lateRatio) ? LONGEST_DELAY_MS : JITTER_MS;
        return baseMs + this.world.random.nextInteger(0, lateMs);
    }
}
