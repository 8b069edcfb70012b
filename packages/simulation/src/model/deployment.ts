import { SeededRandom } from "@waxwingspread/common";
import { MaintenanceState, Refusal } from "@waxwingspread/workflow";
import type {
    HeartbeatOrders,
    HeartbeatReport,
    JobSpecification,
    JobState,
    LeaderSettings,
    MaintenanceOrder,
} from "@waxwingspread/workflow";
import { organisationOf } from "@waxwingspread/workflow/testing";
import { LivenessCheck } from "../checks/liveness.js";
import { Oracle } from "../checks/oracle.js";
import type { SubmittedJob } from "../checks/oracle.js";
import { QuotaCheck } from "../checks/quota-check.js";
import type { Quotas } from "../checks/quota-check.js";
import { StandingCheck } from "../checks/standing-check.js";
import { configurationWith, originOf, ownedJobOf } from "./callers.js";
import { ControlPlane } from "./control-plane.js";
import { EventQueue } from "./event-queue.js";
import { Gangs } from "./gangs.js";
import { JobBehaviours } from "./job-behaviours.js";
import type { JobBehaviour } from "./job-behaviours.js";
import { Network } from "./network.js";
import type { ServerRun } from "./server-run.js";
import { SimulatedServer } from "./simulated-server.js";
import type { ServerObserver, ServerOptions } from "./simulated-server.js";
import { VmPlatform } from "./vm-platform.js";

const START_MS = 1_000_000;
/** Time within which a read is answered. */
const READ_MS = 20;
const LIVENESS_INTERVAL_MS = 100;

/** Properties of a deployment. */
export interface DeploymentOptions {
    seed: number;
    servers: readonly Omit<ServerOptions, "id">[];
    settings: LeaderSettings;
    maxAttempts: number;
    maxNetworkDelayMs: number;
    maxCommitDelayMs: number;
    /** Organisations of the configuration, whose keys callers send; without them calls need no keys. */
    organisations?: readonly string[];
    /** Called with the processor time in milliseconds that a leader has used. */
    usedProcessor?: (durationMs: number) => void;
    /** Called with each step of the deployment that its callers and servers can observe. */
    trace?: (line: string) => void;
}

/** Simulates servers, callers, operators and a succession of leaders. All that happens follows from the seed. */
export class Deployment {
    readonly jobs = new Map<string, SubmittedJob>();
    readonly servers: SimulatedServer[];
    readonly oracle: Oracle;
    readonly liveness: LivenessCheck;
    readonly standing: StandingCheck;
    readonly quotas: QuotaCheck;
    readonly platform: VmPlatform;
    readonly #options: DeploymentOptions;
    readonly #events = new EventQueue(START_MS);
    readonly #network: Network;
    readonly #random: SeededRandom;
    readonly #behaviours = new JobBehaviours(this.jobs, () => this.nowMs);
    /** Accepted orders for maintenance. */
    readonly #maintenances: MaintenanceOrder[] = [];
    #maintenanceCount = 0;
    readonly #observers: Partial<ServerObserver>[] = [];
    readonly #control: ControlPlane;
    readonly #gangs: Gangs;
    #configurationVersion = 1;
    #heartbeats = 0;

    constructor(options: DeploymentOptions) {
        this.#options = options;
        this.#random = new SeededRandom(options.seed);
        const pick = (minimum: number, maximum: number): number => this.#random.nextInteger(minimum, maximum);
        this.#network = new Network({ events: this.#events, pick, maxDelayMs: options.maxNetworkDelayMs });
        const observer = this.#createObserver();
        const behaviour = this.#behaviours;
        this.servers = options.servers.map((properties, index) =>
            new SimulatedServer({ ...properties, id: `s${index}` }, {
                events: this.#events,
                behaviour,
                observer,
                send: (server, report) => this.#sendHeartbeat(server, report),
            })
        );
        this.oracle = new Oracle(this.jobs, this.servers);
        this.liveness = new LivenessCheck(this.jobs, this.servers, this.oracle);
        this.standing = new StandingCheck(this.jobs, this.servers, this.oracle);
        this.quotas = new QuotaCheck(this.jobs, this.servers);
        const { maintenanceMs } = options.settings;
        this.platform = new VmPlatform({ events: this.#events, servers: this.servers, pick, maintenanceMs });
        this.#gangs = new Gangs(this.servers, position => behaviour.stepOf(position));
        this.#control = new ControlPlane({
            events: this.#events,
            random: this.#random,
            settings: options.settings,
            configuration: configurationWith(options.maxAttempts, options.organisations),
            maxCommitDelayMs: options.maxCommitDelayMs,
            beginMaintenance: this.platform.begin,
            assigned: run => this.oracle.assigned(run, this.nowMs),
            usedProcessor: options.usedProcessor,
        });
    }

    get nowMs(): number {
        return this.#events.nowMs;
    }

    /** Number of heartbeats that the servers have sent. */
    get heartbeats(): number {
        return this.#heartbeats;
    }

    /** Violations that any check has found so far. */
    get violations(): string[] {
        return [
            ...this.oracle.violations,
            ...this.liveness.violations,
            ...this.standing.violations,
            ...this.quotas.violations,
            ...this.platform.violations,
        ];
    }

    /** Makes further checks or measurements follow the servers. */
    observe(observer: Partial<ServerObserver>): void {
        this.#observers.push(observer);
    }

    advance(durationMs: number): void {
        this.#events.advance(durationMs);
    }

    /** Advances the simulated time and checks that standing tasks are at work; to be called between disruptions. */
    advanceCheckingStanding(durationMs: number): void {
        this.#advanceInSteps(durationMs, LIVENESS_INTERVAL_MS, () => this.standing.observe(this.nowMs));
    }

    /** Advances the simulated time without disruptions while it checks that all tasks with capacity are at work. */
    advanceCheckingLiveness(durationMs: number, intervalMs = LIVENESS_INTERVAL_MS): void {
        this.#advanceInSteps(durationMs, intervalMs, () => this.liveness.observe(this.nowMs));
    }

    /** Tells the check of standing tasks that a disruption lasts until the given time from now. */
    recordDisruption(durationMs: number): void {
        this.standing.recordDisruption(this.nowMs + durationMs);
    }

    /** Submits a job. The leader receives the submission after the given delay, as from the queue of a suspended entry. */
    submit(submitted: JobSpecification, behaviour: JobBehaviour, delayMs = 0): void {
        const specification = ownedJobOf(submitted, this.#options.organisations);
        const job: SubmittedJob = this.jobs.get(specification.id) ?? {
            specification,
            maxAttempts: this.#options.maxAttempts,
            crashesServers: behaviour.crashesServers === true,
            isAccepted: false,
            cancelledAtMs: undefined,
            possibleCancellations: 0,
        };
        this.jobs.set(specification.id, job);
        this.#behaviours.set(specification.id, behaviour);
        const origin = originOf(specification, behaviour.queue);
        const deliver = (): void => {
            this.#control.call(({ node }, times) =>
                node.submit(origin, specification, result => {
                    job.isAccepted ||= result.ok;
                }, times)
            );
        };
        if (delayMs === 0) {
            deliver();
        }
        else {
            this.#events.after(delayMs, deliver);
        }
    }

    /** Repeats the submissions that were not acknowledged, as callers do. */
    resubmit(): void {
        for (const [id, job] of this.jobs) {
            if (!job.isAccepted) {
                this.submit(job.specification, this.#behaviours.of(id));
            }
        }
    }

    /** Cancels a submitted job. The answer that no such job is known acknowledges the cancellation as well. */
    cancel(id: string): void {
        const job = this.jobs.get(id);
        if (job === undefined) {
            return;
        }
        this.#control.call(({ node }, times) => {
            job.possibleCancellations += 1;
            node.cancel(
                id,
                result => {
                    if (result.ok || result.refusal === Refusal.UnknownJob) {
                        job.cancelledAtMs ??= this.nowMs;
                    }
                    else if (result.refusal !== Refusal.Uncertain) {
                        job.possibleCancellations -= 1;
                    }
                },
                times,
                originOf(this.jobs.get(id)?.specification ?? { id }),
            );
        });
    }

    /** Sends a configuration with organisations that have the given quotas and equal weights. */
    setQuotas(quotas: Quotas): void {
        this.#configurationVersion += 1;
        const version = this.#configurationVersion;
        const organisations = [...quotas].map(([name, quota]) => organisationOf(name, { quota }));
        const configuration = { ...configurationWith(this.#options.maxAttempts), version, organisations };
        this.quotas.recordSent(version, quotas);
        this.#control.call(({ node }, times) =>
            node.configure(configuration, result => {
                if (result.ok) {
                    this.quotas.recordAcknowledged(version, this.nowMs);
                }
            }, times)
        );
    }

    /** Removes all quotas, if there were any. */
    liftQuotas(): void {
        if (this.#configurationVersion > 1) {
            const unlimited = { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };
            this.setQuotas(new Map(this.#options.organisations?.map(name => [name, unlimited])));
        }
    }

    setZone(zone: string, isOut: boolean): void {
        if (!isOut) {
            this.oracle.zonesOutSinceMs.delete(zone);
        }
        this.#control.call(({ node }, times) =>
            node.setZone(zone, isOut, result => {
                if (result.ok && isOut) {
                    this.oracle.zonesOutSinceMs.set(zone, this.nowMs);
                }
                else if (result.ok) {
                    this.oracle.zonesOutSinceMs.delete(zone);
                }
            }, times)
        );
    }

    /** Orders the maintenance of the VMs of some servers. */
    orderMaintenance(serverIndexes: readonly number[], maxConcurrent: number, allowedMs: number): void {
        const vmIds = [...new Set(serverIndexes)].map(index => `vm-s${index}`);
        this.#maintenanceCount += 1;
        const order = { id: this.#maintenanceCount, vmIds, allowedMs, maxConcurrent };
        this.platform.recordOrder(order);
        this.#control.call(({ node }, times) =>
            node.orderMaintenance(order, result => {
                if (result.ok) {
                    this.#maintenances.push(order);
                }
            }, times)
        );
    }

    /** Returns the accepted orders whose VMs were not all maintained, or that are not shown as completed. */
    openMaintenances(): number[] {
        return this.#maintenances
            .filter(({ id, vmIds }) =>
                !vmIds.every(vmId => this.platform.isDone(id, vmId))
                || this.#maintenanceStateOf(id) !== MaintenanceState.Completed
            )
            .map(({ id }) => id);
    }

    /** Drops the leader; its answers in flight still arrive. */
    loseLeader(): void {
        this.#control.loseLeader();
    }

    /** Suspends the leader's process, so that it may act after it has been replaced. */
    suspendLeader(durationMs: number): void {
        this.#control.suspendLeader(durationMs);
    }

    /** Stops all commits for the given time. */
    stallLog(durationMs: number): void {
        this.#control.stallLog(durationMs);
    }

    /** Crashes a server that is up again at once. */
    restartServer(index: number): void {
        const server = this.servers[index];
        if (server?.isUp === true) {
            this.oracle.crashed(server, this.nowMs);
            this.liveness.recordCrash(this.nowMs);
            server.restart();
        }
    }

    /** Crashes a server by a fault of its own. */
    crashServer(index: number, downMs: number): void {
        this.servers[index]?.crash(downMs);
    }

    drainServer(index: number): void {
        const server = this.servers[index];
        if (server !== undefined) {
            server.isDraining = true;
        }
    }

    partitionServer(index: number, durationMs: number): void {
        this.#network.partition(`s${index}`, durationMs);
    }

    /** Delays the messages from and to a server. */
    slowDownNetwork(index: number, durationMs: number): void {
        this.#network.slowDown(`s${index}`, durationMs);
    }

    failServer(index: number, durationMs: number): void {
        this.#behaviours.failServer(`s${index}`, this.nowMs + durationMs);
    }

    /** Sets the share of their targets at which the tails of standing tasks lie without fillers. */
    setTailRatio(ratio: number): void {
        this.#behaviours.setTailRatio(ratio);
    }

    /** Sets the share of its normal speed at which the tasks of a server proceed. */
    setSpeed(index: number, speed: number): void {
        this.servers[index]?.setSpeed(speed);
    }

    /** Changes a server's capacity to a share of its full capacity. */
    resizeServer(index: number, cpuRatio: number, memoryRatio: number): void {
        const server = this.servers[index];
        if (server !== undefined) {
            const { cpuMillicores, memoryMebibytes, accelerators } = server.options.capacity;
            server.capacity.change({
                cpuMillicores: Math.floor(cpuMillicores * cpuRatio),
                memoryMebibytes: Math.floor(memoryMebibytes * memoryRatio),
                accelerators,
            }, this.nowMs);
        }
    }

    /** Ends all disruptions. */
    heal(): void {
        this.#network.heal();
        this.#behaviours.heal();
        this.#control.heal();
        this.servers.filter(server => server.isDraining || !server.isUp).forEach(server => server.restart());
        this.servers.forEach(server => {
            server.setSpeed(1);
            server.capacity.change(server.options.capacity, this.nowMs);
        });
        const zones = new Set(this.servers.map(({ options }) => options.availabilityZone));
        zones.forEach(zone => this.setZone(zone, false));
    }

    /** Returns a job's state as reported to its caller; undefined without an answer. */
    stateOf(id: string): JobState | undefined {
        let state: JobState | undefined;
        this.#control.call(({ node }, times) =>
            node.jobState(
                id,
                result => {
                    state = result.ok ? result.value : undefined;
                },
                times,
                originOf(this.jobs.get(id)?.specification ?? { id }),
            )
        );
        if (state === undefined) {
            this.advance(READ_MS);
        }
        return state;
    }

    #advanceInSteps(durationMs: number, intervalMs: number, observe: () => void): void {
        const endMs = this.nowMs + durationMs;
        while (this.nowMs < endMs) {
            this.advance(Math.min(intervalMs, endMs - this.nowMs));
            observe();
        }
    }

    #maintenanceStateOf(id: number): MaintenanceState | undefined {
        let state: MaintenanceState | undefined;
        this.#control.call(({ node }, times) =>
            node.maintenanceState(id, result => {
                state = result.ok ? result.value : undefined;
            }, times)
        );
        this.advance(READ_MS);
        return state;
    }

    #createObserver(): ServerObserver {
        const trace = (server: SimulatedServer, run: ServerRun, event: string): void =>
            this.#options.trace?.(`${this.nowMs} ${server.id} ${event} ${run.task} ${run.run}`);
        const notify = <Name extends keyof ServerObserver>(name: Name, ...values: Parameters<ServerObserver[Name]>) =>
            this.#observers.forEach(observer =>
                (observer[name] as ((...all: typeof values) => void) | undefined)?.(...values)
            );
        return {
            started: (server, order, run, nowMs) => {
                trace(server, run, "started");
                this.oracle.started(server, order, run, nowMs);
                this.quotas.started(run.position.jobId, nowMs);
                this.#gangs.recordStart(run.position);
                notify("started", server, order, run, nowMs);
            },
            rejected: (server, run, nowMs) => this.oracle.rejected(server, run, nowMs),
            stopOrdered: (server, run, nowMs) => {
                trace(server, run, "stop-ordered");
                notify("stopOrdered", server, run, nowMs);
            },
            saved: (run, checkpoint) => this.oracle.saved(run, checkpoint),
            ended: (server, run, end) => {
                trace(server, run, end);
                this.oracle.ended(run, end);
                this.#gangs.recordEnd(run.position, end);
                notify("ended", server, run, end);
            },
            acknowledged: (task, run, end) => this.oracle.acknowledged(task, run, end),
            crashed: (server, nowMs) => {
                this.oracle.crashed(server, nowMs);
                this.liveness.recordCrash(nowMs);
            },
            answered: (server, bytes, isTooLong, nowMs) => {
                this.oracle.answered(server, bytes, isTooLong, nowMs);
                notify("answered", server, bytes, isTooLong, nowMs);
            },
        };
    }

    #sendHeartbeat(server: SimulatedServer, report: HeartbeatReport): void {
        this.#heartbeats += 1;
        if (this.#network.isPartitioned(server.id)) {
            return;
        }
        const { sequence, incarnation, isDraining } = report;
        const respond = (orders: HeartbeatOrders | undefined): void => {
            if (isDraining) {
                const key = `${server.id}/${incarnation}`;
                const sinceMs = this.oracle.drainingSinceMs.get(key) ?? this.nowMs;
                this.oracle.drainingSinceMs.set(key, sinceMs);
            }
            this.#network.send(server.id, () => {
                if (!this.#network.isPartitioned(server.id)) {
                    server.answer(sequence, incarnation, orders);
                }
            });
        };
        this.#network.send(server.id, () => this.#control.passOn(report, respond));
    }
}
