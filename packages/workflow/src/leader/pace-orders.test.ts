import { expect, it } from "vitest";
import type { HeartbeatOrders, ReportedRun } from "../model/heartbeat.js";
import { fillerStepOf, heartbeatOf, jobOf, standingStepOf } from "../testing/fixtures.js";
import { SingleReplica } from "../testing/single-replica.js";

const FILLER = "f.0.0.0";
const STANDING = "s.0.0.0";
const TARGET_TAIL_MS = 100;
const CALM_TAIL_MS = 10;
/** So near the target that fillers are neither slowed nor raised. */
const BUSY_TAIL_MS = 72;
const CPU_MILLICORES = 1_000;

/** Simulates a server with a filler beside a standing task. The filler works at the pace that was ordered last. */
class PacedServer {
    readonly replica = SingleReplica.started();
    pacePercent = 100;
    tailMs = CALM_TAIL_MS;
    readonly #runs = new Map<string, number>();
    #sequence = 0;

    /** Sends a heartbeat after 100 ms and executes the orders in its answer. */
    heartbeat(isAnswerLost = false): HeartbeatOrders | undefined {
        this.replica.advance(100);
        this.#sequence += 1;
        const running = [...this.#runs].map(([task, run]): ReportedRun => ({
            task,
            run,
            checkpoint: "",
            progressPercent: task === STANDING ? 100 : 10,
            measurement: task === STANDING ? this.tailMs : CPU_MILLICORES * this.pacePercent / 100,
        }));
        const orders = this.replica.heartbeat(heartbeatOf("s", this.#sequence, { running }));
        if (!isAnswerLost) {
            orders?.starts.forEach(({ task, run }) => this.#runs.set(task, run));
            orders?.paces.forEach(({ pacePercent }) => {
                this.pacePercent = pacePercent;
            });
        }
        return orders;
    }

    /** Sends heartbeats until the filler has the given pace; fails after 10 s. */
    waitForPace(pacePercent: number): void {
        for (let count = 0; count < 100 && this.pacePercent !== pacePercent; count += 1) {
            this.heartbeat();
        }
        expect(this.pacePercent).toBe(pacePercent);
    }
}

const startPausedFiller = (): PacedServer => {
    const server = new PacedServer();
    server.heartbeat();
    server.replica.submit(jobOf("s", standingStepOf({ targetTailMs: TARGET_TAIL_MS })));
    server.replica.submit(jobOf("f", fillerStepOf({ estimatedRunTimeMs: 60_000 })));
    server.heartbeat();
    server.heartbeat();
    server.tailMs = 1.5 * TARGET_TAIL_MS;
    server.waitForPace(0);
    server.tailMs = BUSY_TAIL_MS;
    return server;
};

// Guards against a filler that stands still for good after a change of the leader: the next one took its pace for 100.
it("raises the pace of a filler that a former leader has paused", () => {
    const server = startPausedFiller();
    server.replica.failOver();
    server.heartbeat();
    server.tailMs = CALM_TAIL_MS;
    server.waitForPace(100);
});

// Guards against a standing task over its target because a new leader lets paused fillers work at full speed at once.
it("starts from the pace that the measured usage shows", () => {
    const server = startPausedFiller();
    server.replica.failOver();
    const paces = [server.heartbeat(), server.heartbeat()].flatMap(orders => orders?.paces ?? []);
    expect(paces).toMatchObject([{ task: FILLER, pacePercent: 0 }]);
});

// Guards against a filler that keeps a pace for good, or harms a standing task, because the answer with its pace was lost:
// no heartbeat shows which pace a server has received.
it("repeats a pace whose answer may be lost", () => {
    const server = startPausedFiller();
    server.tailMs = CALM_TAIL_MS;
    for (let count = 0; count < 30; count += 1) {
        server.heartbeat(true);
    }
    expect(server.pacePercent).toBe(0);
    server.waitForPace(100);
});

it("doesn't repeat the pace of a filler that was never paced", () => {
    const server = new PacedServer();
    server.heartbeat();
    server.replica.submit(jobOf("f", fillerStepOf({ estimatedRunTimeMs: 60_000 })));
    const paces = Array.from({ length: 50 }, () => server.heartbeat()?.paces ?? []).flat();
    expect(paces).toEqual([]);
});
