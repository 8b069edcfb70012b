import { create } from "@bufbuild/protobuf";
import { saltedSha256 } from "@waxwingspread/common";
import {
    ContractSchema,
    ErrorCode,
    OperatorCommandSchema,
    ReplicaIdentitySchema,
    WorkKind,
    ZoneOutSchema,
} from "@waxwingspread/protocol";
import type { Contract, OperatorCommand, OperatorResult } from "@waxwingspread/protocol";
import { CREDENTIAL_ID, CUSTOMER, SECRET } from "./callers.js";
import type { ControlHost } from "./control-host.js";
import type { Network } from "./network.js";
import { Host } from "./simulation.js";
import type { Simulation } from "./simulation.js";

const CALL_TIMEOUT_MS = 1_500;
const RETRY_MS = 100;
const DRAIN_MS = 5_000;
const SALT = new Uint8Array(16);

type CommandKind = OperatorCommand["kind"];

const UNDECIDED: ReadonlySet<ErrorCode> = new Set([
    ErrorCode.NOT_LEADER,
    ErrorCode.UNCERTAIN,
    ErrorCode.TIMEOUT,
    ErrorCode.MEMBERSHIP_CHANGE_IN_PROGRESS,
]);

/** First conclusive answer to a command. */
export interface CommandOutcome {
    accepted: boolean;
    code: ErrorCode | undefined;
    revision: number;
    atMs: number;
}

/** A command with its outcome, which is undefined while no conclusive answer has arrived. */
export interface SentCommand {
    command: OperatorCommand;
    sentAtMs: number;
    outcome: CommandOutcome | undefined;
}

/** Returns the contract of the callers; `weight` distinguishes its versions. */
export const contractOf = (weight: number): Contract =>
    create(ContractSchema, {
        customer: CUSTOMER,
        weight,
        latencyCriticalShare: 1,
        batchShare: 1,
        answerRetentionMs: 3_600_000,
        quota: {
            resources: { cpuMillicores: 400_000, memoryMebibytes: 400_000, accelerators: 0 },
            concurrentTasks: 200,
            submissionsPerSecond: 500,
            submissionBurst: 500,
            queuedJobs: 500,
            retriesPerMinute: 600,
        },
        classes: [
            {
                name: "check",
                kind: WorkKind.LATENCY_CRITICAL,
                latencyTargetMs: 250,
                defaultResources: { cpuMillicores: 1_000, memoryMebibytes: 512, accelerators: 0 },
            },
            {
                name: "trial",
                kind: WorkKind.BATCH,
                neverRepeat: true,
                defaultResources: { cpuMillicores: 2_000, memoryMebibytes: 1_024, accelerators: 0 },
            },
            {
                name: "study",
                kind: WorkKind.BATCH,
                defaultResources: { cpuMillicores: 1_000, memoryMebibytes: 1_024, accelerators: 0 },
            },
            {
                name: "watch",
                kind: WorkKind.STANDING,
                defaultResources: { cpuMillicores: 500, memoryMebibytes: 256, accelerators: 0 },
            },
        ],
        credentials: [{ credentialId: CREDENTIAL_ID, salt: SALT, sha256: saltedSha256(SALT, SECRET) }],
    });

/** Operators that retry commands until they are answered, and repair replaced disks as in the operators' guide. */
export class Operators {
    readonly commands: SentCommand[] = [];
    readonly faults: string[] = [];
    /** Number of replaced disks whose repair is not reported as complete. */
    repairsOpen = 0;
    knownRevision = 0;
    journal: (text: string) => void = () => undefined;
    readonly #host: Host;
    #target = 0;
    #nextCommand = 1;

    constructor(readonly simulation: Simulation, readonly network: Network, readonly controls: readonly ControlHost[]) {
        this.#host = new Host(simulation, "operators", "operators");
        this.#host.started();
    }

    get host(): Host {
        return this.#host;
    }

    writeContract(weight: number, expectedRevision = this.knownRevision): SentCommand {
        return this.#issue({ case: "writeContract", value: contractOf(weight) }, expectedRevision);
    }

    takeZoneOut(availabilityZone: string): SentCommand {
        const value = create(ZoneOutSchema, { availabilityZone, drainWithinMs: DRAIN_MS });
        return this.#issue({ case: "takeZoneOut", value }, this.knownRevision);
    }

    bringZoneBack(zone: string): SentCommand {
        return this.#issue({ case: "bringZoneBack", value: zone }, this.knownRevision);
    }

    /** Sends an earlier command once more. */
    resend(sent: SentCommand): void {
        this.#send(sent);
    }

    /** Adds the new disk of a control VM, removes the lost one and promotes the new one. */
    repair(control: ControlHost, lostDiskId: string, repaired: () => void): void {
        this.repairsOpen += 1;
        const again = (): void => {
            const identity = control.runner?.replica.identity;
            if (identity === undefined || identity.diskId === lostDiskId) {
                this.simulation.schedule(RETRY_MS, again);
                return;
            }
            const value = create(ReplicaIdentitySchema, identity);
            this.#change({ case: "addReplica", value }, () => {
                this.#change({ case: "removeReplicaDiskId", value: lostDiskId }, () => {
                    this.#change({ case: "promoteReplicaDiskId", value: identity.diskId }, () => {
                        this.repairsOpen -= 1;
                        repaired();
                    });
                });
            });
        };
        again();
    }

    /** Sends a membership command until it succeeds. */
    #change(kind: CommandKind, done: () => void): void {
        const command = this.#command(kind, 0);
        const send = (): void => {
            this.#call(command, result => {
                if (result !== undefined && result.error === undefined) {
                    done();
                    return;
                }
                this.simulation.schedule(RETRY_MS, send);
            });
        };
        send();
    }

    #issue(kind: CommandKind, expectedRevision: number): SentCommand {
        const command = this.#command(kind, expectedRevision);
        const sent: SentCommand = { command, sentAtMs: this.simulation.nowMs, outcome: undefined };
        this.commands.push(sent);
        this.journal(`sends ${command.commandId}: ${kind.case}, expecting revision ${expectedRevision}`);
        this.#send(sent);
        return sent;
    }

    #command(kind: CommandKind, expectedRevision: number): OperatorCommand {
        const commandId = `command-${this.#nextCommand}`;
        this.#nextCommand += 1;
        return create(OperatorCommandSchema, { commandId, expectedRevision, operatorToken: "token", kind });
    }

    #send(sent: SentCommand): void {
        this.#call(sent.command, result => {
            if (result === undefined || result.error !== undefined && UNDECIDED.has(result.error.code)) {
                this.simulation.schedule(RETRY_MS, () => {
                    this.#send(sent);
                });
                return;
            }
            this.#answered(sent, result);
        });
    }

    #answered(sent: SentCommand, { error, revision }: OperatorResult): void {
        const outcome = { accepted: error === undefined, code: error?.code, revision, atMs: this.simulation.nowMs };
        this.knownRevision = Math.max(this.knownRevision, revision, error?.currentRevision ?? 0);
        const answer = outcome.accepted ? "accepted" : `refused, ${ErrorCode[error?.code ?? 0]}`;
        this.journal(`${sent.command.commandId} is ${answer}, revision ${revision}`);
        const first = sent.outcome;
        sent.outcome ??= outcome;
        if (first !== undefined && (first.accepted !== outcome.accepted || first.code !== outcome.code)) {
            this.faults.push(`${sent.command.commandId}: different outcome on a resend`);
        }
        if (first?.accepted === true && first.revision !== outcome.revision) {
            this.faults.push(`${sent.command.commandId}: different revision on a resend`);
        }
    }

    #call(command: OperatorCommand, done: (result: OperatorResult | undefined) => void): void {
        const control = this.controls[this.#target % this.controls.length];
        this.network.call<OperatorResult>({
            from: this.#host,
            to: control?.host,
            timeoutMs: CALL_TIMEOUT_MS,
            handle: reply => {
                control?.execute(command, reply);
            },
            done: result => {
                if (result.error?.code === ErrorCode.NOT_LEADER) {
                    const { leaderAddress } = result.error;
                    const hinted = this.controls.findIndex(({ name }) => name === leaderAddress);
                    this.#target = hinted < 0 ? this.#target + 1 : hinted;
                }
                done(result);
            },
            failed: () => {
                this.#target += 1;
                done(undefined);
            },
        });
    }
}
