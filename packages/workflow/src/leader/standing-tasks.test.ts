import { expect, it } from "vitest";
import { RunEnd } from "../model/heartbeat.js";
import type { HeartbeatOrders, ReportedEnd, StartOrder } from "../model/heartbeat.js";
import { heartbeatOf, jobOf, standingStepOf, stepOf } from "../testing/fixtures.js";
import { SingleReplica } from "../testing/single-replica.js";

const HEARTBEAT_MS = 100;
/** Time within which a standing task must run again, in spite of any other work. */
const MAX_RESTART_MS = 6_000;

/** A server that ends each finite task half a second after its start, and standing tasks on request. */
class TestServer {
    readonly #id: string;
    readonly #running = new Map<string, StartOrder & { endsAtMs: number }>();
    readonly #ended: ReportedEnd[] = [];
    #sequence = 0;

    constructor(id: string) {
        this.#id = id;
    }

    isRunning(job: string): boolean {
        return [...this.#running.keys()].some(task => task.startsWith(`${job}.`));
    }

    end(task: string, end: RunEnd): void {
        const run = this.#running.get(task)?.run ?? 0;
        this.#running.delete(task);
        this.#ended.push({ sequence: this.#ended.length + 1, task, run, end, checkpoint: "" });
    }

    /** Ends what is due, sends a heartbeat and executes the start orders in its answer. */
    beat(replica: SingleReplica): HeartbeatOrders | undefined {
        const { nowMs } = replica.times;
        for (const { task, endsAtMs } of [...this.#running.values()]) {
            if (nowMs >= endsAtMs) {
                this.end(task, RunEnd.Done);
            }
        }
        this.#sequence += 1;
        const running = [...this.#running.values()].map(({ task, run, endsAtMs }) => {
            const progressPercent = Math.max(0, Math.min(100, 100 - (endsAtMs - nowMs) / 5));
            return { task, run, checkpoint: "", progressPercent, measurement: undefined };
        });
        const orders = replica.heartbeat(heartbeatOf(this.#id, this.#sequence, { running, ended: this.#ended }));
        for (const start of orders?.starts ?? []) {
            const isStanding = start.task.startsWith("standing.");
            this.#running.set(start.task, { ...start, endsAtMs: isStanding ? Infinity : nowMs + 500 });
        }
        return orders;
    }
}

// Load: finite jobs that have begun take all capacity that becomes free, for ever. Guards against a standing task that
// has ended and never starts again, because each piece of capacity goes to work before it in the queue.
it("starts a standing task again although finite jobs that have begun use all capacity", () => {
    const replica = SingleReplica.started();
    const server = new TestServer("s");
    server.beat(replica);
    replica.submit(jobOf("standing", standingStepOf()));
    server.beat(replica);
    replica.submit(jobOf("backlog", stepOf({ taskCount: 1_000 })));
    for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += HEARTBEAT_MS) {
        replica.advance(HEARTBEAT_MS);
        server.beat(replica);
    }
    server.end("standing.0.0.0", RunEnd.Failed);
    for (let elapsedMs = 0; elapsedMs < MAX_RESTART_MS; elapsedMs += HEARTBEAT_MS) {
        replica.advance(HEARTBEAT_MS);
        server.beat(replica);
    }
    expect(server.isRunning("standing")).toBe(true);
});
