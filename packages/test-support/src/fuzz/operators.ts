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
const RETRY_DELAY_MS = 100;
const DRAIN_TIMEOUT_MS = 5_000;
const SALT = new Uint8Array(16);

type CommandKind = OperatorCommand["kind"];

const INCONCLUSIVE_CODES: ReadonlySet<ErrorCode> = new Set([
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
export const createContract = (weight: number): Contract =>
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
    readonly violations: string[] = [];
    /** Number of replaced disks whose repair is not reported as complete. */
    openRepairCount = 0;
    knownRevision = 0;
    journal: (text: string) => void = () => undefined;
    readonly #host: Host;
    #targetIndex = 0;
    #nextCommandNumber = 1;

    constructor(readonly simulation: Simulation, readonly network: Network, readonly controls: readonly ControlHost[]) {
        this.#host = new Host(simulation, "operators", "operators");
        this.#host.beginProcess();
    }

    get host(): Host {
        return this.#host;
    }

    writeContract(weight: number, expectedRevision = this.knownRevision): SentCommand {
        return this.#issue({ case: "writeContract", value: createContract(weight) }, expectedRevision);
    }

    takeZoneOut(availabilityZone: string): SentCommand {
        const value = create(ZoneOutSchema, { availabilityZone, drainWithinMs: DRAIN_TIMEOUT_MS });
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
    repair(control: ControlHost, lostDiskId: string, onRepaired: () => void): void {
        this.openRepairCount += 1;
        const tryRepair = (): void => {
            const identity = control.runner?.replica.identity;
            if (identity === undefined || identity.diskId === lostDiskId) {
                this.simulation.schedule(RETRY_DELAY_MS, tryRepair);
                return;
            }
            const value = create(ReplicaIdentitySchema, identity);
            this.#changeMembership({ case: "addReplica", value }, () => {
                this.#changeMembership({ case: "removeReplicaDiskId", value: lostDiskId }, () => {
                    this.#changeMembership({ case: "promoteReplicaDiskId", value: identity.diskId }, () => {
                        this.openRepairCount -= 1;
                        onRepaired();
                    });
                });
            });
        };
        tryRepair();
    }

    /** Sends a membership command until it succeeds. */
    #changeMembership(kind: CommandKind, done: () => void): void {
        const command = this.#createCommand(kind, 0);
        const send = (): void => {
            this.#call(command, result => {
                if (result !== undefined && result.error === undefined) {
                    done();
                    return;
                }
                this.simulation.schedule(RETRY_DELAY_MS, send);
            });
        };
        send();
    }

    #issue(kind: CommandKind, expectedRevision: number): SentCommand {
        const command = this.#createCommand(kind, expectedRevision);
        const sent: SentCommand = { command, sentAtMs: this.simulation.nowMs, outcome: undefined };
        this.commands.push(sent);
        this.journal(`sends ${command.commandId}: ${kind.case}, expecting revision ${expectedRevision}`);
        this.#send(sent);
        return sent;
    }

    #createCommand(kind: CommandKind, expectedRevision: number): OperatorCommand {
        const commandId = `command-${this.#nextCommandNumber}`;
        this.#nextCommandNumber += 1;
        return create(OperatorCommandSchema, { commandId, expectedRevision, operatorToken: "token", kind });
    }

    #send(sent: SentCommand): void {
        this.#call(sent.command, result => {
            if (result === undefined || result.error !== undefined && INCONCLUSIVE_CODES.has(result.error.code)) {
                this.simulation.schedule(RETRY_DELAY_MS, () => {
                    this.#send(sent);
                });
                return;
            }
            this.#handleResult(sent, result);
        });
    }

    #handleResult(sent: SentCommand, { error, revision }: OperatorResult): void {
        const outcome = { accepted: error === undefined, code: error?.code, revision, atMs: this.simulation.nowMs };
        this.knownRevision = Math.max(this.knownRevision, revision, error?.currentRevision ?? 0);
        const answer = outcome.accepted ? "accepted" : `refused, ${ErrorCode[error?.code ?? 0]}`;
        this.journal(`${sent.command.commandId} is ${answer}, revision ${revision}`);
        const previousOutcome = sent.outcome;
        sent.outcome ??= outcome;
        if (
            previousOutcome !== undefined
            && (previousOutcome.accepted !== outcome.accepted || previousOutcome.code !== outcome.code)
        ) {
            this.violations.push(`${sent.command.commandId}: different outcome on a resend`);
        }
        if (previousOutcome?.accepted === true && previousOutcome.revision !== outcome.revision) {
            this.violations.push(`${sent.command.commandId}: different revision on a resend`);
        }
    }

    #call(command: OperatorCommand, done: (result: OperatorResult | undefined) => void): void {
        const control = this.controls[this.#targetIndex % this.controls.length];
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
                    const leaderIndex = this.controls.findIndex(({ name }) => name === leaderAddress);
                    this.#targetIndex = leaderIndex < 0 ? this.#targetIndex + 1 : leaderIndex;
                }
                done(result);
            },
            failed: () => {
                this.#targetIndex += 1;
                done(undefined);
            },
        });
    }
}
