import { StandInBackendServer } from "../stand-in-backend-server.js";
import type { StandInReply, StandInRequest } from "../stand-in-backend-server.js";
import { readJson, startSchema } from "../stand-in/messages.js";
import type { Observations, RunSegment } from "../stand-in/observations.js";
import type { ResourceAmounts, StandInFaults } from "../stand-in/options.js";
import type { EntryHost } from "./entry-host.js";
import type { Network } from "./network.js";
import { Host } from "./simulation.js";
import type { Simulation } from "./simulation.js";

const TICK_MS = 20;
const MAX_CLOCK_RATE_ERROR_RATIO = 0.009;

/** Capacity of each backend server. */
export const SERVER_CAPACITY: ResourceAmounts = { cpuMillicores: 4_000, memoryMebibytes: 4_096, accelerators: 0 };
/** Maximum number of concurrent tasks of each backend server. */
export const SERVER_SLOTS = 4;

/** A start that a server refused although the deadline of the start had not passed. */
export interface RefusalBeforeDeadline {
    atMs: number;
    reason: string;
    job: string;
}

/** Host process of a stand-in backend server. Its observations are kept when the process is killed or restarted. */
export class ServerHost {
    readonly host: Host;
    readonly refusalsBeforeDeadline: RefusalBeforeDeadline[] = [];
    /** Time at which the server was asked to leave; undefined if it was not. */
    leavingSinceMs: number | undefined;
    /** Time at which the server learned that the leader had accepted an announcement that it is leaving. */
    leavingAcceptedAtMs: number | undefined;
    /** Times at which the process was killed, so that tasks may have been lost together with their checkpoints. */
    readonly interruptionTimesMs: number[] = [];
    readonly #previousObservations: Observations[] = [];
    #server: StandInBackendServer | undefined;
    #incarnation = 0;
    #faults: Partial<StandInFaults> = {};

    constructor(
        readonly simulation: Simulation,
        readonly network: Network,
        readonly entry: (address: string) => EntryHost | undefined,
        readonly entryAddresses: string[],
        name: string,
        zone: string,
    ) {
        this.host = new Host(simulation, name, zone);
    }

    get name(): string {
        return this.host.name;
    }

    get segments(): RunSegment[] {
        return this.#collectObservations().flatMap(({ segments }) => segments);
    }

    get used(): ResourceAmounts {
        return this.#server?.used() ?? { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };
    }

    get observations(): Observations[] {
        return this.#collectObservations();
    }

    start(): void {
        const { simulation } = this;
        this.host.beginProcess();
        this.#incarnation += 1;
        this.leavingSinceMs = undefined;
        this.leavingAcceptedAtMs = undefined;
        this.#server = new StandInBackendServer({
            backendServerId: this.name,
            incarnation: String(this.#incarnation),
            address: this.name,
            availabilityZone: this.host.zone,
            rack: `rack-${this.name}`,
            capacity: SERVER_CAPACITY,
            slots: SERVER_SLOTS,
            entries: this.entryAddresses,
            random: simulation.random,
            faults: this.#faults,
            clockStartMs: simulation.random.nextInteger(0, 1_000_000),
            clockRateRatio: 1 + (simulation.random.nextRatio() * 2 - 1) * MAX_CLOCK_RATE_ERROR_RATIO,
        }, simulation.nowMs);
        this.host.scheduleEvery(TICK_MS, () => {
            this.#server?.tick(simulation.nowMs);
            this.#processEffects();
        });
    }

    kill(): void {
        if (this.#server === undefined) {
            return;
        }
        this.interruptionTimesMs.push(this.simulation.nowMs);
        this.#server.terminate(this.simulation.nowMs);
        this.#previousObservations.push(this.#server.observations);
        this.#server = undefined;
        this.host.endProcess();
    }

    leave(): void {
        this.leavingSinceMs = this.simulation.nowMs;
        this.#server?.leave(this.simulation.nowMs);
        this.#processEffects();
    }

    /** Sets faults, which also apply to the processes that are started later. */
    setFaults(faults: Partial<StandInFaults>): void {
        this.#faults = { ...this.#faults, ...faults };
        this.#server?.setFaults(faults, this.simulation.nowMs);
    }

    /** Updates the observations to the current time, even while the process is frozen. */
    updateObservations(): void {
        this.#server?.setFaults({}, this.simulation.nowMs);
    }

    handle(request: StandInRequest): StandInReply | undefined {
        const server = this.#server;
        if (server === undefined) {
            return undefined;
        }
        const refusedBefore = { ...server.observations.startsRefused };
        const reply = server.handle(request, this.simulation.nowMs);
        const start = request.path === "/v1/tasks" ? readJson(startSchema, request.body) : undefined;
        if (start !== undefined && server.clockAt(this.simulation.nowMs) <= start.startDeadlineMs) {
            for (const [reason, count] of Object.entries(server.observations.startsRefused)) {
                if (count > (refusedBefore[reason] ?? 0)) {
                    const job = `${start.requestId} attempt ${start.attemptNumber}`;
                    this.refusalsBeforeDeadline.push({ atMs: this.simulation.nowMs, reason, job });
                }
            }
        }
        this.#processEffects();
        return reply;
    }

    #collectObservations(): Observations[] {
        return this.#server ? [...this.#previousObservations, this.#server.observations] : this.#previousObservations;
    }

    #processEffects(): void {
        for (const { callId, address, path, body, timeoutMs } of this.#server?.takeEffects() ?? []) {
            const entry = this.entry(address);
            const isLeavingAnnouncement = path === "/backend/v1/announce" && this.leavingSinceMs !== undefined;
            this.network.call<StandInReply>({
                from: this.host,
                to: entry?.host,
                timeoutMs,
                handle: reply => {
                    entry?.handleBackendServerRequest(path, body, ({ status, json }) => {
                        reply({ status, body: json });
                    });
                },
                done: reply => {
                    if (isLeavingAnnouncement && reply.body.includes("\"lease\"")) {
                        this.leavingAcceptedAtMs ??= this.simulation.nowMs;
                    }
                    this.#server?.handleEntryReply(callId, reply, this.simulation.nowMs);
                    this.#processEffects();
                },
                failed: () => {
                    this.#server?.handleCallFailure(callId, this.simulation.nowMs);
                    this.#processEffects();
                },
            });
        }
    }
}
