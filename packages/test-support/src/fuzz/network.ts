import type { Host, Simulation } from "./simulation.js";

const SAME_ZONE_DELAY_MS = 1;
const OTHER_ZONE_DELAY_MS = 2;
const MAX_JITTER_MS = 2;
const MAX_LATE_DELAY_MS = 1_500;
/** Time after which a sender replaces the connection of a one-way message that was not acknowledged. */
const CONNECTION_REPLACEMENT_MS = 1_000;

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
export const NO_NETWORK_FAULTS: NetworkFaults = { lossRatio: 0, duplicateRatio: 0, lateRatio: 0, silenceRatio: 0 };

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

const linkKey = (from: Host, to: Host): string => `${from.name}>${to.name}`;

/** Links between hosts, with random faults, blocked directions and silent connections. */
export class Network {
    faults: NetworkFaults = NO_NETWORK_FAULTS;
    readonly #blockedLinks = new Set<string>();
    readonly #silentLinks = new Set<string>();

    constructor(readonly simulation: Simulation) {}

    /** Drops all messages in one direction until the network is healed. */
    blockLink(from: Host, to: Host): void {
        this.#blockedLinks.add(linkKey(from, to));
    }

    /** Drops all messages in one direction until the connection is replaced or the network is healed. */
    silenceConnection(from: Host, to: Host): void {
        this.#silentLinks.add(linkKey(from, to));
    }

    /** Unblocks all links and replaces all silent connections; the rates of random faults stay. */
    heal(): void {
        this.#blockedLinks.clear();
        this.#silentLinks.clear();
    }

    /** Sends a one-way message. */
    send(from: Host, to: Host, receive: () => void): void {
        const link = linkKey(from, to);
        this.#transmit(from, to, receive, () => undefined);
        if (this.#silentLinks.has(link)) {
            this.simulation.schedule(CONNECTION_REPLACEMENT_MS, () => this.#silentLinks.delete(link));
        }
    }

    /** Sends a call and delivers its reply. The call fails if it is refused or no reply arrives within the timeout. */
    call<Reply>({ from, to, timeoutMs, handle, done, failed }: NetworkCall<Reply>): void {
        let isComplete = false;
        const completeOnce = (action: () => void): () => void =>
            from.bind(() => {
                if (!isComplete) {
                    isComplete = true;
                    action();
                }
            });
        const refuse = completeOnce(() => {
            failed(CallFailure.Refused);
        });
        if (to === undefined) {
            this.simulation.schedule(OTHER_ZONE_DELAY_MS, refuse);
            return;
        }
        this.simulation.schedule(
            timeoutMs,
            completeOnce(() => {
                // After a timeout, the caller replaces the connection.
                this.#silentLinks.delete(linkKey(from, to));
                this.#silentLinks.delete(linkKey(to, from));
                failed(CallFailure.Timeout);
            }),
        );
        const complete = completeOnce;
        this.#transmit(from, to, () => {
            handle(value => {
                this.#transmit(
                    to,
                    from,
                    complete(() => {
                        done(value);
                    }),
                    () => undefined,
                );
            });
        }, () => {
            if (!this.#blockedLinks.has(linkKey(to, from))) {
                this.simulation.schedule(this.#delayMs(from, to), refuse);
            }
        });
    }

    /**
     * Transmits a message. It leaves up to 1 ms later and only while its sender runs, so that a process can be frozen
     * between a decision and the message about it.
     */
    #transmit(from: Host, to: Host, receive: () => void, onRefused: () => void): void {
        const link = linkKey(from, to);
        this.simulation.schedule(
            this.simulation.random.nextInteger(0, 1),
            from.bind(() => {
                const { simulation, faults } = this;
                if (simulation.randomBoolean(faults.silenceRatio)) {
                    this.#silentLinks.add(link);
                }
                if (
                    this.#blockedLinks.has(link) || this.#silentLinks.has(link)
                    || simulation.randomBoolean(faults.lossRatio)
                ) {
                    return;
                }
                const copies = simulation.randomBoolean(faults.duplicateRatio) ? 2 : 1;
                for (let copy = 0; copy < copies; copy += 1) {
                    simulation.schedule(this.#delayMs(from, to), () => {
                        this.#deliver(to, receive, onRefused);
                    });
                }
            }),
        );
    }

    #deliver(to: Host, receive: () => void, onRefused: () => void): void {
        if (to.isAlive) {
            to.bind(receive)();
        }
        else {
            onRefused();
        }
    }

    #delayMs(from: Host, to: Host): number {
        const baseMs = from.zone === to.zone ? SAME_ZONE_DELAY_MS : OTHER_ZONE_DELAY_MS;
        const maxExtraDelayMs = this.simulation.randomBoolean(this.faults.lateRatio)
            ? MAX_LATE_DELAY_MS
            : MAX_JITTER_MS;
        return baseMs + this.simulation.random.nextInteger(0, maxExtraDelayMs);
    }
}
