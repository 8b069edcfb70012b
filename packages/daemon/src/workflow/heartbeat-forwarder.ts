import { messageOf } from "@waxwingspread/common";
import { Refusal, refused } from "@waxwingspread/workflow";
import type { HeartbeatReport } from "@waxwingspread/workflow";
import type { Logger } from "pino";
import { LineBudget } from "../logging/line-budget.js";
import { MAX_LINE_BYTES } from "../transport/line-decoder.js";
import type { MessageChannels } from "../transport/message-channel.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import type { HeartbeatBatch, HeartbeatBatchResponse, HeartbeatResult } from "./operations.js";

/** Heartbeats that arrive within this time are sent to the leader together, since each message costs it time. */
const BATCH_WINDOW_MS = 15;
/** Upper bound on the size of an answer to a heartbeat, as the leader's settings have to provide. */
export const MAX_ANSWER_BYTES = 256 * 1024;
/** Bounds of a batch: its message and the one with its answers have to stay below the limit of the connection. */
const MAX_BATCH_REPORTS = MAX_LINE_BYTES / MAX_ANSWER_BYTES - 1;
const MAX_BATCH_ROWS = 2_000;
/** Backend servers drop answers after a second. */
const ANSWER_TIMEOUT_MS = 750;
const MAX_LINES_PER_SECOND = 2;
const FAILURE_LINE = "heartbeats were not passed on";

/** Construction parameters of a {@link HeartbeatForwarder}. */
export interface HeartbeatForwarderOptions {
    channels: Pick<MessageChannels, "call">;
    /** Host of this replica. */
    host: string;
    /** Port of the listeners for heartbeats that replicas pass on. */
    port: number;
    logger: Logger;
}

const NO_ANSWER: HeartbeatResult = refused(Refusal.Uncertain);

interface WaitingHeartbeat {
    report: HeartbeatReport;
    respond: (result: HeartbeatResult) => void;
}

/** Passes the heartbeats that arrive at a follower on to the leader, in batches, and returns the leader's answers. */
export class HeartbeatForwarder {
    readonly #options: HeartbeatForwarderOptions;
    readonly #lineBudget = new LineBudget(MAX_LINES_PER_SECOND);
    /** Leader to which the waiting heartbeats and those in progress are sent. */
    #leaderHost: string | undefined;
    #waiting: WaitingHeartbeat[] = [];
    #waitingRows = 0;
    #timer: NodeJS.Timeout | undefined;
    /** Ends the calls in progress. */
    #abort = new AbortController();

    constructor(options: HeartbeatForwarderOptions) {
        this.#options = options;
    }

    /**
     * Resolves with the leader's answer. The result is NotLeader if the server has to call the leader itself, and Uncertain
     * if the leader has not answered in time or leads no more.
     */
    forward(report: HeartbeatReport, leaderHost: string): Promise<HeartbeatResult> {
        this.setLeader(leaderHost);
        const rows = rowsOf(report);
        if (rows > MAX_BATCH_ROWS) {
            return Promise.resolve(refused(Refusal.NotLeader));
        }
        if (this.#waitingRows + rows > MAX_BATCH_ROWS) {
            this.#flush();
        }
        return new Promise(respond => {
            this.#waiting.push({ report, respond });
            this.#waitingRows += rows;
            if (this.#waiting.length >= MAX_BATCH_REPORTS) {
                this.#flush();
            }
            this.#timer ??= setTimeout(() => this.#flush(), BATCH_WINDOW_MS);
        });
    }

    /** Sets the leader; heartbeats that wait for the answer of another one are refused with Uncertain. */
    setLeader(leaderHost: string | undefined): void {
        if (leaderHost === this.#leaderHost) {
            return;
        }
        this.#leaderHost = leaderHost;
        this.#abort.abort();
        this.#abort = new AbortController();
        this.#takeWaiting().forEach(({ respond }) => respond(NO_ANSWER));
    }

    /** Refuses all heartbeats in progress. */
    close(): void {
        this.setLeader(undefined);
    }

    #flush(): void {
        const heartbeats = this.#takeWaiting();
        if (heartbeats.length > 0) {
            void this.#send(heartbeats, this.#leaderHost ?? "", this.#abort.signal);
        }
    }

    #takeWaiting(): WaitingHeartbeat[] {
        clearTimeout(this.#timer);
        this.#timer = undefined;
        const heartbeats = this.#waiting;
        this.#waiting = [];
        this.#waitingRows = 0;
        return heartbeats;
    }

    async #send(heartbeats: readonly WaitingHeartbeat[], host: string, signal: AbortSignal): Promise<void> {
        const body: HeartbeatBatch = {
            fromHost: this.#options.host,
            reports: heartbeats.map(({ report }) => report),
        };
        try {
            const { channels, port } = this.#options;
            const response = await channels.call({
                host,
                port,
                body,
                timeoutMs: ANSWER_TIMEOUT_MS,
                signal,
            });
            const { results } = response as HeartbeatBatchResponse;
            heartbeats.forEach(({ respond }, index) => {
                const result = results[index];
                respond(result?.ok === true ? result : NO_ANSWER);
            });
        }
        catch (error) {
            heartbeats.forEach(({ respond }) => respond(NO_ANSWER));
            this.#logFailure(host, heartbeats.length, error);
        }
    }

    #logFailure(leader: string, count: number, error: unknown): void {
        this.#lineBudget.advance(monotonicNowMs());
        if (this.#lineBudget.tryTake(FAILURE_LINE)) {
            this.#options.logger.warn({ leader, count, reason: messageOf(error) }, FAILURE_LINE);
        }
    }
}

const rowsOf = ({ running, ended }: HeartbeatReport): number => running.length + ended.length;
