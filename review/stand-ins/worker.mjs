// A worker of the platform, as the page PROTOCOL describes it: it receives its orders in the responses to its pings.
import { sendFollowing, sleep } from "./http.mjs";

const ANSWER_LIMIT_MS = 1000;
/** A longer response doesn't acknowledge a ping. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
const MAX_HOLD_MS = 6000;
const STOP_MS = 100;
/** A task that lasts is at work after this time. */
const STARTUP_MS = 300;
const FIRST_PING_DELAY_MS = 50;

/** One life of a worker. */
export class Worker {
    constructor(
        {
            id,
            machine = `m-${id}`,
            service,
            zone,
            rack = "r1-1",
            controlAddresses,
            durationOf,
            record,
            capacity,
            lists = () => controlAddresses,
        },
    ) {
        Object.assign(this, { id, machine, service, zone, rack, durationOf, record, lists });
        this.capacity = capacity ?? { cpu: 16000, mem_mb: 64000, gpu: 0 };
        this.born = Date.now();
        this.startedMs = performance.now();
        this.running = new Map();
        this.stoppedRuns = new Map();
        this.ended = [];
        /** Times of the ends, by number. */
        this.endedAtMs = new Map();
        this.lapsedAtMs = -Infinity;
        this.endCount = 0;
        this.sequence = 0;
        this.token = 0;
        this.leaseEndMs = Infinity;
        this.state = "ready";
        this.remainingMs = undefined;
        this.isUp = true;
        this.isConnected = true;
        this.tailMs = 10;
        this.done = this.#loop();
    }

    /** Ends the worker at once: nothing is sent any more, and everything that runs here ends. */
    crash() {
        this.isUp = false;
        for (const { task, run } of this.running.values()) {
            this.record("worker-crash-ends", { worker: this.id, task, run });
        }
        this.running.clear();
    }

    async #loop() {
        let position = Math.floor(Math.random() * 1000);
        let address;
        while (this.isUp) {
            this.#advance();
            const addresses = this.lists();
            address ??= addresses[position % addresses.length];
            const sentAtMs = performance.now();
            const response = this.isConnected ? await this.#ping(address) : { status: 0 };
            if (!this.isUp) {
                return;
            }
            const isTooLong = response.bytes > MAX_RESPONSE_BYTES;
            if (isTooLong) {
                this.record("response-too-long", { worker: this.id, bytes: response.bytes });
            }
            const isLate = performance.now() - sentAtMs > ANSWER_LIMIT_MS;
            if (!this.isConnected || response.status !== 200 || isLate || isTooLong) {
                position += 1;
                address = undefined;
                await sleep(this.isConnected ? 20 : 100);
                continue;
            }
            const { body } = response;
            if (typeof body.heartbeat_addr === "string") {
                address = body.heartbeat_addr;
            }
            this.#advance();
            this.#execute(body, sentAtMs);
            await this.#waitForNextPing(body.retry_after_ms ?? 1500);
        }
    }

    /** Waits for the time that the response named, or for 50 ms after an end. */
    async #waitForNextPing(delayMs) {
        const endMs = performance.now() + delayMs;
        const count = this.endCount;
        while (this.isUp && performance.now() < endMs) {
            await sleep(10);
            this.#advance();
            if (this.endCount > count) {
                await sleep(FIRST_PING_DELAY_MS);
                return;
            }
        }
    }

    #ping(address) {
        this.sequence += 1;
        return sendFollowing({
            method: "PUT",
            url: `http://${address}/v1/instances/${this.id}`,
            timeoutMs: ANSWER_LIMIT_MS,
            body: this.report(),
        });
    }

    report() {
        return {
            service: this.service,
            address: "127.0.0.1:9",
            zone: this.zone,
            version: "v1",
            slots: 8,
            state: this.state,
            cold_left_ms: 0,
            machine: this.machine,
            born: this.born,
            capacity: this.capacity,
            labels: ["a", this.rack],
            clock_ms: Math.floor(performance.now() - this.startedMs),
            seq_no: this.sequence,
            ...this.remainingMs === undefined ? {} : { remaining_ms: this.remainingMs },
            running: [...this.running.values()].map(
                view => [view.task, view.run, "", this.#percentOf(view), this.#measurementOf(view)],
            ),
            ended: this.ended.slice(0, 500),
        };
    }

    #percentOf({ startedMs, durationMs, workedMs, isLasting }) {
        return isLasting
            ? (performance.now() - startedMs >= STARTUP_MS ? 100 : 0)
            : Math.min(99, Math.floor(workedMs / durationMs * 100));
    }

    /** The tail of a task that lasts, the `cpu` in use of any other. */
    #measurementOf({ isLasting, pace }) {
        return isLasting ? this.tailMs : Math.floor(1000 * pace / 100);
    }

    /** Ends what is done and, after the lease, everything. */
    #advance() {
        const nowMs = performance.now();
        if (nowMs >= this.leaseEndMs) {
            this.lapsedAtMs = nowMs;
        }
        for (const view of [...this.running.values()]) {
            view.workedMs += (nowMs - view.advancedMs) * view.pace / 100;
            view.advancedMs = nowMs;
            if (view.stopAtMs !== undefined && nowMs >= view.stopAtMs) {
                this.#end(view, "stopped");
            }
            else if (nowMs >= this.leaseEndMs) {
                this.#end(view, "lapsed");
            }
            else if (!view.isLasting && view.workedMs >= view.durationMs) {
                this.#end(view, "done");
            }
        }
    }

    #end({ task, run }, how) {
        this.running.delete(task);
        this.stoppedRuns.set(task, run);
        this.endCount += 1;
        this.ended.push([this.endCount, task, run, how, ""]);
        this.endedAtMs.set(this.endCount, performance.now());
        this.record("end", { worker: this.id, task, run, how });
        this.onEnd?.(task, run, how);
    }

    #execute(body, sentAtMs) {
        const token = body.fencing_token ?? 0;
        if (token < this.token) {
            return;
        }
        this.token = token;
        const acknowledged = body.ack_seq ?? 0;
        for (const [number, task, run, how] of this.ended.filter(([number]) => number <= acknowledged)) {
            const hasLapsed = this.lapsedAtMs >= this.endedAtMs.get(number);
            this.record("end-noted", { worker: this.id, number, task, run, how, hasLapsed });
            // An end counts as taken note of unless the lease has lapsed in between.
            if (!hasLapsed) {
                this.onNoted?.(task, run, how);
            }
        }
        this.ended = this.ended.filter(([number]) => number > acknowledged);
        for (const [task, run] of body.stop ?? []) {
            const view = this.running.get(task);
            if (view !== undefined && view.run === run) {
                view.stopAtMs ??= performance.now() + STOP_MS;
            }
        }
        for (const [task, run, percent] of body.rate ?? []) {
            const view = this.running.get(task);
            if (view !== undefined && view.run === run) {
                view.pace = percent;
                this.record("rate", { worker: this.id, task, run, percent });
            }
        }
        if (typeof body.hold_ms !== "number") {
            return;
        }
        const leaseEndMs = sentAtMs + Math.min(body.hold_ms, MAX_HOLD_MS);
        this.leaseEndMs = this.running.size === 0 ? leaseEndMs : Math.max(this.leaseEndMs, leaseEndMs);
        for (const [task, run, spec, saved] of body.start ?? []) {
            this.#start(task, run, spec, saved);
        }
    }

    #start(task, run, spec, saved) {
        const present = this.running.get(task);
        if (present !== undefined && present.run === run) {
            return;
        }
        if (run <= (this.stoppedRuns.get(task) ?? 0) || present !== undefined) {
            this.endCount += 1;
            this.ended.push([this.endCount, task, run, "refused", ""]);
            this.endedAtMs.set(this.endCount, performance.now());
            return;
        }
        const { durationMs, isLasting = false } = this.durationOf(task, spec);
        const nowMs = performance.now();
        this.running.set(task, {
            task,
            run,
            startedMs: nowMs,
            advancedMs: nowMs,
            workedMs: 0,
            pace: 100,
            durationMs,
            isLasting,
        });
        this.record("start", { worker: this.id, task, run, saved });
        this.onStart?.(task, run);
    }
}
