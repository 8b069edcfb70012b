import { create } from "@bufbuild/protobuf";
import { SeededRandom, StepError } from "@waxwingspread/common";
import { ReplicaRole, ReplicaRunner, ReplicaStore } from "@waxwingspread/consensus";
import type { OpenedStore } from "@waxwingspread/consensus";
import {
    ControlEffectKind,
    ControlNode,
    createReplicatedLogPort,
    defaultControlSettings,
} from "@waxwingspread/control";
import type { ControlCall, ControlReply } from "@waxwingspread/control";
import {
    DescribeResponseSchema,
    ErrorCode,
    GetBlobResponseSchema,
    OperatorResultSchema,
    PutBlobResponseSchema,
} from "@waxwingspread/protocol";
import type {
    BlobReference,
    DescribeResponse,
    GetBlobRequest,
    GetBlobResponse,
    Membership,
    OperatorCommand,
    OperatorResult,
    PutBlobRequest,
    PutBlobResponse,
    ReplicaMessage,
} from "@waxwingspread/protocol";
import { defaultSchedulerSettings } from "@waxwingspread/scheduler";
import { FakeFileSystem } from "../fake-file-system.js";
import type { TornWrite } from "../fake-file-system.js";
import { BlobCopier } from "./blob-copier.js";
import { addSyncDelays, MemoryBlobStore } from "./disks.js";
import type { Network } from "./network.js";
import { Host } from "./simulation.js";
import type { Simulation } from "./simulation.js";

const FOLDER = "/data";
const TICK_MS = 20;
const BLOB_REPAIR_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 1_000;
const HANDOVER_TIMEOUT_MS = 2_000;
/** Small limits, so that snapshots and new segments occur within one run. */
const SNAPSHOT_INTERVAL_ENTRIES = 120;
const RETAINED_ENTRIES = 30;
const SEGMENT_BYTES = 32 * 1024;
const FULL_DISK_FREE_BYTES = 400;

const corruptCopy = (data: Uint8Array): Uint8Array => {
    const copy = Uint8Array.from(data);
    const middle = copy.length >> 1;
    copy[middle] = (copy[middle] ?? 0) ^ 1;
    return copy;
};

/** Host process of a control replica with its disk. It drives the replica as the daemon does. */
export class ControlHost {
    readonly host: Host;
    readonly files: FakeFileSystem;
    readonly blobs = new MemoryBlobStore();
    /** Error of the last process that failed, as opposed to being killed; kept when the process is restarted. */
    failure: Error | undefined;
    journal: (name: string, detail: string) => void = () => undefined;
    /** Whether blobs are returned with one wrong bit. */
    corruptsReads = false;
    #node: ControlNode | undefined;
    #runner: ReplicaRunner | undefined;
    #copier: BlobCopier | undefined;
    #pendingCalls = new Map<number, (reply: ControlReply) => void>();
    #nextCallId = 1;
    #isFlushScheduled = false;
    #diskCount = 0;

    constructor(
        readonly simulation: Simulation,
        readonly network: Network,
        readonly peer: (address: string) => ControlHost | undefined,
        name: string,
        zone: string,
    ) {
        this.host = new Host(simulation, name, zone);
        this.files = new FakeFileSystem(simulation.random);
    }

    get name(): string {
        return this.host.name;
    }

    get runner(): ReplicaRunner | undefined {
        return this.host.isAlive ? this.#runner : undefined;
    }

    get isLeader(): boolean {
        return this.host.isAlive && this.#node?.isServing === true;
    }

    /** Number of jobs with an attempt that holds capacity, according to this replica. */
    get activeTaskCount(): number {
        return this.#node?.state.activeJobKeys().size ?? 0;
    }

    /** Disk ids of the voting and learning members, according to this replica. */
    get memberDiskIds(): string[] {
        const members = this.runner?.replica.membership.members ?? [];
        return members.map(({ identity }) => identity?.diskId ?? "");
    }

    get diskId(): string {
        return this.#runner?.replica.identity.diskId ?? "";
    }

    get missingBlobs(): number {
        return this.#copier?.missingCount ?? 0;
    }

    /** Starts the process, which ends again if its store cannot be opened. */
    start(initialMembership?: Membership): void {
        this.host.beginProcess();
        this.#runner = undefined;
        this.#node = undefined;
        this.#pendingCalls = new Map();
        this.#isFlushScheduled = false;
        const { generation } = this.host;
        const opening = ReplicaStore.open({
            fileSystem: addSyncDelays(this.files, this.host),
            folder: FOLDER,
            name: this.name,
            address: this.name,
            segmentBytes: SEGMENT_BYTES,
            newDiskId: () => {
                this.#diskCount += 1;
                return `${this.name}-disk-${this.#diskCount}`;
            },
        });
        opening.then(opened => {
            if (generation === this.host.generation) {
                this.#startNode(opened, initialMembership);
            }
        }, (error: unknown) => {
            if (generation === this.host.generation) {
                this.#fail(error as Error);
            }
        });
    }

    /** Ends the process as a power failure does; `torn` selects what remains of unsynced data, at random by default. */
    kill(torn?: TornWrite): void {
        this.host.endProcess();
        this.files.crash(torn);
    }

    /** Ends only the process: unsynced data is still there at the next start, but lost with the power. */
    killProcess(): void {
        this.host.endProcess();
        this.files.endProcess();
    }

    /** Ends the process and erases its disk. */
    loseDisk(): void {
        this.host.endProcess();
        this.files.wipe();
        this.blobs.wipe();
    }

    /** Leaves only a few bytes of free space on the disk. */
    fillDisk(): void {
        this.files.capacityBytes = this.files.usedBytes + FULL_DISK_FREE_BYTES;
        this.blobs.isFull = true;
    }

    freeDisk(): void {
        this.files.capacityBytes = Infinity;
        this.blobs.isFull = false;
    }

    /** Ends the process after a handover of the leadership, which is tried until a timeout. */
    shutDown(done: () => void): void {
        const deadlineMs = this.simulation.nowMs + HANDOVER_TIMEOUT_MS;
        const handOverAndEnd = this.host.bind(() => {
            if (this.#runner?.replica.role === ReplicaRole.Leader && this.simulation.nowMs < deadlineMs) {
                this.#runner.handOver(this.simulation.nowMs);
                this.simulation.schedule(TICK_MS, handOverAndEnd);
                return;
            }
            this.kill();
            done();
        });
        handOverAndEnd();
    }

    call(call: ControlCall, reply: (value: ControlReply) => void): void {
        if (this.#node === undefined) {
            return;
        }
        const callId = this.#nextCallId;
        this.#nextCallId += 1;
        this.#pendingCalls.set(callId, reply);
        this.#node.call(callId, call, this.simulation.nowMs);
        this.#scheduleFlush();
    }

    receive(message: ReplicaMessage): void {
        this.#runner?.receive(message, this.simulation.nowMs);
    }

    describe(): DescribeResponse {
        return create(DescribeResponseSchema, {
            identity: this.#runner?.replica.identity,
            missingBlobs: this.missingBlobs,
        });
    }

    putBlob({ reference, data }: PutBlobRequest, reply: (value: PutBlobResponse) => void): void {
        const identity = this.#runner?.replica.identity;
        if (reference === undefined || identity === undefined) {
            return;
        }
        this.blobs.put(this.host, reference, data, stored => {
            const error = stored ? undefined : { code: ErrorCode.DISK_FAILED, message: "disk full" };
            reply(create(PutBlobResponseSchema, { diskId: identity.diskId, error }));
        });
    }

    getBlob({ reference }: GetBlobRequest): GetBlobResponse {
        const storedData = reference && this.blobs.get(reference);
        const data = this.corruptsReads && storedData !== undefined ? corruptCopy(storedData) : storedData;
        const error = data ? undefined : { code: ErrorCode.UNKNOWN_REQUEST, message: "the blob is not here" };
        return create(GetBlobResponseSchema, { data, error });
    }

    /** Executes an operator's command. Refuses to promote a replica that still copies blobs, as the daemon does. */
    execute(command: OperatorCommand, reply: (value: OperatorResult) => void): void {
        const run = (): void => {
            this.call({ method: "execute", request: command } as ControlCall, value => {
                reply(value.response as OperatorResult);
            });
        };
        if (command.kind.case !== "promoteReplicaDiskId") {
            run();
            return;
        }
        const diskId = command.kind.value;
        const members = this.#runner?.replica.membership.members ?? [];
        const learner = this.peer(members.find(item => item.identity?.diskId === diskId)?.identity?.address ?? "");
        const refuse = (message: string): void => {
            const error = new StepError(ErrorCode.UNAVAILABLE, "promote replica", diskId, message);
            reply(create(OperatorResultSchema, { error: error.toDetail() }));
        };
        this.network.call<DescribeResponse>({
            from: this.host,
            to: learner?.host,
            timeoutMs: CALL_TIMEOUT_MS,
            handle: answer => {
                if (learner?.runner !== undefined) {
                    answer(learner.describe());
                }
            },
            done: ({ missingBlobs }) => {
                if (missingBlobs === 0) {
                    run();
                    return;
                }
                refuse(`the replica still copies ${missingBlobs} blobs`);
            },
            failed: () => {
                refuse("the replica doesn't answer");
            },
        });
    }

    #startNode(opened: OpenedStore, initialMembership: Membership | undefined): void {
        const { simulation } = this;
        this.#copier = new BlobCopier(
            this.blobs,
            (reference, done) => {
                this.#fetchBlob(reference, done);
            },
            (reference, data) => {
                this.blobs.put(this.host, reference, data, () => undefined);
            },
        );
        const node = new ControlNode({
            name: this.name,
            settings: defaultControlSettings,
            schedulerSettings: defaultSchedulerSettings,
            random: new SeededRandom(simulation.random.nextInteger(0, 1_000_000)),
            authorizeOperator: () => true,
            log: createReplicatedLogPort(() => this.#runner),
        });
        this.#node = node;
        this.#runner = this.#createRunner(opened, node);
        if (initialMembership !== undefined) {
            this.#runner.form(initialMembership, simulation.nowMs);
        }
        this.host.scheduleEvery(TICK_MS, () => {
            this.#runner?.tick(simulation.nowMs);
            node.tick(simulation.nowMs);
            this.#processEffects();
        });
        this.host.scheduleEvery(BLOB_REPAIR_INTERVAL_MS, () => this.#copier?.run(simulation.nowMs));
    }

    #createRunner(opened: OpenedStore, node: ControlNode): ReplicaRunner {
        const { simulation, host } = this;
        const { generation } = host;
        // Promises of a killed process still settle; their effects must not reach the next process.
        const isCurrent = (): boolean => generation === host.generation;
        const ifCurrent = (task: () => void): void => {
            if (isCurrent()) {
                task();
            }
        };
        return new ReplicaRunner({
            opened,
            random: new SeededRandom(simulation.random.nextInteger(0, 1_000_000)),
            snapshotIntervalEntries: SNAPSHOT_INTERVAL_ENTRIES,
            limits: { retainedEntries: RETAINED_ENTRIES },
            defer: task => {
                ifCurrent(() => {
                    simulation.schedule(0, host.bind(task));
                });
            },
            hooks: {
                send: (to, message) => {
                    ifCurrent(() => {
                        this.#sendMessage(to.address, message);
                    });
                },
                onCommit: entries => {
                    ifCurrent(() => {
                        node.applyCommitted(entries, simulation.nowMs);
                        this.#processEffects();
                    });
                },
                onRestoreSnapshot: (header, bytes) => {
                    ifCurrent(() => {
                        node.restoreSnapshot(bytes, header.lastIndex);
                        this.#processEffects();
                    });
                },
                onRoleChange: change => {
                    if (change.role !== ReplicaRole.Leader && isCurrent()) {
                        node.handleLeadershipLost();
                        this.#processEffects();
                    }
                },
                takeSnapshot: () => node.snapshot().bytes,
                onFailed: error => {
                    ifCurrent(() => {
                        simulation.schedule(
                            0,
                            host.bind(() => {
                                this.#fail(error);
                            }),
                        );
                    });
                },
            },
        }, simulation.nowMs);
    }

    #sendMessage(address: string, message: ReplicaMessage): void {
        const peer = this.peer(address);
        if (peer !== undefined) {
            this.network.send(this.host, peer.host, () => {
                peer.receive(message);
            });
        }
    }

    #fail(error: Error): void {
        this.failure = error;
        this.journal("process failed", error.message);
        this.kill();
    }

    #scheduleFlush(): void {
        if (this.#isFlushScheduled) {
            return;
        }
        this.#isFlushScheduled = true;
        this.simulation.schedule(
            0,
            this.host.bind(() => {
                this.#isFlushScheduled = false;
                this.#node?.flush(this.simulation.nowMs);
                this.#processEffects();
            }),
        );
    }

    #processEffects(): void {
        for (const effect of this.#node?.takeEffects() ?? []) {
            if (effect.kind === ControlEffectKind.Reply) {
                this.#pendingCalls.get(effect.callId)?.(effect.reply);
                this.#pendingCalls.delete(effect.callId);
            }
            else if (effect.kind === ControlEffectKind.BlobsReferenced) {
                this.#copier?.enqueue(effect.references, this.simulation.nowMs);
            }
            else if (effect.kind === ControlEffectKind.Journal) {
                const { name, customer, requestId, peer, detail } = effect.record;
                this.journal(name, [customer, requestId, peer, detail].filter(Boolean).join(" "));
            }
        }
    }

    #fetchBlob(reference: BlobReference, done: (data: Uint8Array | undefined) => void): void {
        const members = this.#runner?.replica.membership.members ?? [];
        const others = members.map(({ identity }) => identity?.address ?? "").filter(address => address !== this.name);
        const other = others.length === 0 ? undefined : this.peer(this.simulation.random.pick(others));
        if (other === undefined) {
            return;
        }
        this.network.call<GetBlobResponse>({
            from: this.host,
            to: other.host,
            timeoutMs: CALL_TIMEOUT_MS,
            handle: answer => {
                answer(other.getBlob({ reference } as GetBlobRequest));
            },
            done: ({ error, data }) => {
                done(error === undefined ? data : undefined);
            },
            failed: () => {
                done(undefined);
            },
        });
    }
}
