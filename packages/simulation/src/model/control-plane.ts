import type { SeededRandom } from "@waxwingspread/common";
import type {
    AssignedRun,
    BeginMaintenance,
    Configuration,
    HeartbeatOrders,
    HeartbeatReport,
    LeaderSettings,
    Times,
} from "@waxwingspread/workflow";
import type { EventQueue } from "./event-queue.js";
import { Leader } from "./leader.js";
import { SimulatedLog } from "./simulated-log.js";

/** Interval at which a replica decides what is due, and the delay after an event. */
const TICK_MS = 20;
const BATCH_WINDOW_MS = 5;
/** Time between the loss of a leader and the election of the next one. */
const ELECTION_MS = 500;
/** Time after which a replica that wakes hears of its successor. */
const STALE_LEADERSHIP_MS = 30;
/** Time for which a follower holds a heartbeat until a leader answers it. */
const MAX_PASS_ON_MS = 800;

/** Dependencies of a {@link ControlPlane}. */
export interface ControlPlaneOptions {
    events: EventQueue;
    random: SeededRandom;
    settings: LeaderSettings;
    configuration: Configuration;
    maxCommitDelayMs: number;
    beginMaintenance: BeginMaintenance;
    /** Called with each assignment that a leader proposes. */
    assigned: (run: AssignedRun) => void;
    /** Called with the processor time in milliseconds that a leader has used. */
    usedProcessor?: ((durationMs: number) => void) | undefined;
}

/** A succession of leaders on a replicated log, and the followers that pass heartbeats on to them. */
export class ControlPlane {
    readonly #options: ControlPlaneOptions;
    readonly #events: EventQueue;
    readonly #log = new SimulatedLog();
    #leader: Leader | undefined;
    /** The latest leader that was replaced while it was suspended, until it wakes. */
    #replacedLeader: Leader | undefined;
    /** Time until which the log commits nothing, as without a quorum. */
    #stalledUntilMs = -Infinity;
    #isCommitScheduled = false;
    #isRunScheduled = false;
    #term = 0;

    constructor(options: ControlPlaneOptions) {
        this.#options = options;
        this.#events = options.events;
        this.#scheduleElection(0);
        this.#tick();
    }

    /** The leader, if there is one that isn't suspended. */
    get #activeLeader(): Leader | undefined {
        const leader = this.#leader;
        return leader === undefined || this.#events.nowMs < leader.suspendedUntilMs ? undefined : leader;
    }

    /** Calls the leader. Returns false, without effect, if there is none. */
    call(execute: (leader: Leader, times: Times) => void): boolean {
        const leader = this.#activeLeader;
        if (leader === undefined) {
            return false;
        }
        this.#measure(() => execute(leader, this.#times));
        this.#scheduleRun();
        return true;
    }

    /**
     * Calls the leader. While it is suspended, the call waits in its sockets until it wakes, replaced or not. Returns false,
     * without effect, if there is none.
     */
    callOrQueue(execute: (leader: Leader, times: Times) => void): boolean {
        return this.#activeLeader === undefined ? this.#queueCall(this.#leader, execute) : this.call(execute);
    }

    /**
     * Calls a leader that was suspended and replaced, as an entry does that has not heard of its successor. Returns false,
     * without effect, if there is none.
     */
    callReplaced(execute: (leader: Leader, times: Times) => void): boolean {
        return this.#queueCall(this.#replacedLeader, execute);
    }

    /**
     * Delivers a heartbeat to the leader as a follower does: while there is none, and if the leader is lost before it has
     * answered, the heartbeat waits for the next one.
     */
    passOn(
        report: HeartbeatReport,
        respond: (orders: HeartbeatOrders | undefined) => void,
        untilMs = this.#events.nowMs + MAX_PASS_ON_MS,
    ): void {
        const retry = (): void => {
            if (this.#events.nowMs < untilMs) {
                this.#events.after(TICK_MS, () => this.passOn(report, respond, untilMs));
            }
        };
        const isCalled = this.call((leader, times) =>
            leader.node.heartbeat(report, result => result.ok ? respond(result.value) : retry(), times)
        );
        if (!isCalled) {
            retry();
        }
    }

    /** Drops the leader; its answers in flight still arrive. */
    loseLeader(): void {
        this.#leader?.stepDown();
        this.#replaceLeader();
    }

    /**
     * Suspends the leader's process. If that lasts longer than an election, another replica leads meanwhile, and the former
     * leader acts for a moment before it hears of that.
     */
    suspendLeader(durationMs: number): void {
        const leader = this.#leader;
        if (leader === undefined) {
            return;
        }
        leader.suspendedUntilMs = this.#events.nowMs + durationMs;
        this.#events.after(ELECTION_MS, () => {
            if (this.#leader === leader && this.#events.nowMs < leader.suspendedUntilMs) {
                leader.isReplaced = true;
                this.#replacedLeader = leader;
                this.#replaceLeader();
            }
        });
        this.#events.after(durationMs, () => this.#wake(leader));
    }

    /** Stops all commits for the given time. */
    stallLog(durationMs: number): void {
        this.#stalledUntilMs = this.#events.nowMs + durationMs;
    }

    /** Ends the stall of the log. */
    heal(): void {
        this.#stalledUntilMs = this.#events.nowMs;
        this.#scheduleCommit();
    }

    get #times(): Times {
        return { nowMs: this.#events.nowMs, timeOfDayMs: this.#events.nowMs };
    }

    #measure(execute: () => void): void {
        const { usedProcessor } = this.#options;
        if (usedProcessor === undefined) {
            execute();
            return;
        }
        const startMs = performance.now();
        execute();
        usedProcessor(performance.now() - startMs);
    }

    #scheduleElection(delayMs: number): void {
        this.#events.after(delayMs, () => this.#electLeader());
    }

    #replaceLeader(): void {
        if (this.#leader !== undefined) {
            this.#leader = undefined;
            this.#scheduleElection(ELECTION_MS);
        }
        this.#log.loseUncommitted((minimum, maximum) => this.#options.random.nextInteger(minimum, maximum));
    }

    /** A new leader serves only after its own first record, and so all earlier ones, are committed. */
    #electLeader(): void {
        if (this.#leader !== undefined) {
            return;
        }
        if (this.#events.nowMs < this.#stalledUntilMs) {
            this.#scheduleElection(this.#stalledUntilMs - this.#events.nowMs);
            return;
        }
        const { settings, configuration, beginMaintenance, assigned } = this.#options;
        this.#term += 1;
        const leader = new Leader({ term: this.#term, settings, log: this.#log, beginMaintenance, assigned });
        this.#leader = leader;
        this.#log.append(this.#term, undefined);
        this.#log.commit();
        leader.apply(this.#log.records, this.#times);
        leader.node.run(this.#times);
        this.call(({ node }, times) => node.configure(configuration, () => undefined, times));
    }

    #queueCall(leader: Leader | undefined, execute: (leader: Leader, times: Times) => void): boolean {
        leader?.waitingCalls.push(execute);
        return leader !== undefined;
    }

    /** Lets a replica act that was suspended; if it was replaced, it hears of that a moment later. */
    #wake(leader: Leader): void {
        this.#replacedLeader = this.#replacedLeader === leader ? undefined : this.#replacedLeader;
        leader.waitingCalls.splice(0).forEach(execute => execute(leader, this.#times));
        leader.node.run(this.#times);
        if (leader.isReplaced) {
            this.#events.after(STALE_LEADERSHIP_MS, () => {
                leader.node.run(this.#times);
                leader.stepDown();
            });
        }
    }

    #tick(): void {
        this.#runLeader();
        this.#events.after(TICK_MS, () => this.#tick());
    }

    /** Schedules one decision for all events of a few milliseconds. */
    #scheduleRun(): void {
        if (!this.#isRunScheduled) {
            this.#isRunScheduled = true;
            this.#events.after(BATCH_WINDOW_MS, () => {
                this.#isRunScheduled = false;
                this.#runLeader();
            });
        }
    }

    #runLeader(): void {
        this.#measure(() => this.#activeLeader?.node.run(this.#times));
        this.#scheduleCommit();
    }

    #scheduleCommit(): void {
        if (this.#isCommitScheduled || !this.#log.hasUncommitted) {
            return;
        }
        this.#isCommitScheduled = true;
        const delayMs = Math.max(
            this.#stalledUntilMs - this.#events.nowMs,
            this.#options.random.nextInteger(0, this.#options.maxCommitDelayMs),
        );
        this.#events.after(delayMs, () => {
            this.#isCommitScheduled = false;
            this.#commit();
        });
    }

    #commit(): void {
        const leader = this.#activeLeader;
        if (leader !== undefined && this.#events.nowMs >= this.#stalledUntilMs) {
            this.#measure(() => leader.apply(this.#log.commit(), this.#times));
            this.#scheduleRun();
        }
    }
}
