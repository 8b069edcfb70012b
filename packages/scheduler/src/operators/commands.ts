import { create, toBinary } from "@bufbuild/protobuf";
import { StepError } from "@waxwingspread/common";
import {
    ErrorCode,
    JobState,
    OperatorCommandSchema,
    OperatorResultSchema,
    Outcome,
    Reason,
    WorkKind,
    ZoneState,
} from "@waxwingspread/protocol";
import type { CommandCompleted, Contract, Job, OperatorCommand, OperatorResult } from "@waxwingspread/protocol";
import { createHash } from "node:crypto";
import type { Attempts } from "../attempts/attempts.js";
import { specificationOf } from "../decision.js";
import type { Decision } from "../decision.js";
import type { EntryRegistry } from "../orders/entry-registry.js";
import type { WorkView } from "../work-view.js";
import type { ZoneOperations } from "../zones/zone-operations.js";

const STEP = "execute";

type CommandKind = OperatorCommand["kind"];
type CommandCase = Exclude<CommandKind["case"], undefined>;
type CommandValue<C extends CommandCase> = Extract<CommandKind, { case: C }>["value"];
type SchedulerCommand = "writeContract" | "removeContract" | "takeZoneOut" | "bringZoneBack";

/** Executes the command, or returns the error for which it is refused. */
type CommandHandler<V> = (value: V) => StepError | undefined;

const digestOf = (command: OperatorCommand): Uint8Array => {
    const bytes = toBinary(OperatorCommandSchema, { ...command, operatorToken: "" });
    return new Uint8Array(createHash("sha256").update(bytes).digest());
};

const invalidError = (peer: string, message: string): StepError =>
    new StepError(ErrorCode.INVALID, STEP, peer, message);

/** Executes each operator command once, in the order of the configuration's revisions. */
export class OperatorCommands {
    readonly #decision: Decision;
    readonly #view: WorkView;
    readonly #attempts: Attempts;
    readonly #zones: ZoneOperations;
    readonly #entries: EntryRegistry;
    readonly #handlers: { readonly [C in SchedulerCommand]: CommandHandler<CommandValue<C>> } = {
        writeContract: contract => this.#writeContract(contract),
        removeContract: customer => this.#removeContract(customer),
        takeZoneOut: ({ availabilityZone, drainWithinMs }) => this.#takeZoneOut(availabilityZone, drainWithinMs),
        bringZoneBack: name => this.#bringZoneBack(name),
    };

    constructor(
        decision: Decision,
        view: WorkView,
        attempts: Attempts,
        zones: ZoneOperations,
        entries: EntryRegistry,
    ) {
        this.#decision = decision;
        this.#view = view;
        this.#attempts = attempts;
        this.#zones = zones;
        this.#entries = entries;
    }

    execute(command: OperatorCommand): OperatorResult {
        if (command.commandId === "") {
            return this.#toResult(invalidError("", "the command id is missing"));
        }
        return this.findResult(command) ?? this.recordResult(command, this.#executeNew(command));
    }

    /** Returns the recorded result of a command that was sent before; undefined if it is new. */
    findResult(command: OperatorCommand): OperatorResult | undefined {
        const recorded = this.#decision.state.command(command.commandId);
        return recorded === undefined ? undefined : this.#toRepeatedResult(recorded, digestOf(command));
    }

    /** Records a command's result, which is returned if the command is sent again. */
    recordResult(command: OperatorCommand, error: StepError | undefined): OperatorResult {
        this.#decision.record({
            case: "commandCompleted",
            value: {
                commandId: command.commandId,
                accepted: error === undefined,
                revision: this.#decision.state.revision,
                errorCode: error === undefined ? "" : ErrorCode[error.code],
                errorMessage: error?.message ?? "",
                contentSha256: digestOf(command),
            },
        });
        return this.#toResult(error);
    }

    #executeNew(command: OperatorCommand): StepError | undefined {
        const { case: kind, value } = command.kind;
        if (kind === undefined || !(kind in this.#handlers)) {
            return invalidError(command.commandId, "not a command for the scheduler");
        }
        const { revision } = this.#decision.state;
        if (command.expectedRevision !== revision) {
            const message = `expected revision ${command.expectedRevision}, but ${revision} is current`;
            const extras = { currentRevision: revision };
            return new StepError(ErrorCode.REVISION_CONFLICT, STEP, command.commandId, message, extras);
        }
        const handler = this.#handlers[kind as SchedulerCommand] as CommandHandler<typeof value>;
        return handler(value);
    }

    #toRepeatedResult(recorded: CommandCompleted, contentSha256: Uint8Array): OperatorResult {
        if (!Buffer.from(recorded.contentSha256).equals(contentSha256)) {
            const message = "the command id was used before with other content";
            return this.#toResult(new StepError(ErrorCode.COMMAND_ID_REUSED, STEP, recorded.commandId, message));
        }
        const { accepted, errorCode, errorMessage, commandId, revision } = recorded;
        const code = ErrorCode[errorCode as keyof typeof ErrorCode] ?? ErrorCode.INVALID;
        const error = new StepError(code, STEP, commandId, errorMessage, { currentRevision: revision });
        return create(OperatorResultSchema, {
            error: accepted ? undefined : error.toDetail(),
            revision,
            repeatedCommand: true,
        });
    }

    #toResult(error: StepError | undefined): OperatorResult {
        return create(OperatorResultSchema, { error: error?.toDetail(), revision: this.#decision.state.revision });
    }

    #writeContract(contract: Contract): StepError | undefined {
        const violation = violationOf(contract);
        if (violation !== undefined) {
            return invalidError(contract.customer, violation);
        }
        const revision = this.#decision.state.revision + 1;
        this.#decision.record({ case: "contractWritten", value: { revision, contract } });
        const names = new Set(contract.classes.map(workClass => workClass.name));
        for (const job of this.#jobsOf(contract.customer, JobState.QUEUED)) {
            if (!names.has(specificationOf(job).workClass)) {
                this.#attempts.endQueued(job, Outcome.INTERRUPTED, Reason.CLASS_NOT_IN_CONTRACT);
            }
        }
        return undefined;
    }

    #removeContract(customer: string): StepError | undefined {
        const { state } = this.#decision;
        if (state.contract(customer) === undefined) {
            return invalidError(customer, `customer ${customer} has no contract`);
        }
        this.#decision.record({ case: "contractRemoved", value: { revision: state.revision + 1, customer } });
        for (const job of this.#jobsOf(customer, JobState.QUEUED)) {
            this.#attempts.endQueued(job, Outcome.INTERRUPTED, Reason.CUSTOMER_REMOVED);
        }
        for (const job of this.#jobsOf(customer, JobState.ACTIVE)) {
            this.#attempts.stop(job, Reason.CUSTOMER_REMOVED, `Stopped because customer ${customer} was removed.`);
        }
        return undefined;
    }

    #jobsOf(customer: string, jobState: JobState.QUEUED | JobState.ACTIVE): Job[] {
        const { state } = this.#decision;
        const keys = jobState === JobState.ACTIVE ? state.useOfCustomer(customer).jobKeys : state.queuedJobKeys();
        return [...keys].map(key => state.job(key))
            .filter(job => job !== undefined)
            .filter(job => specificationOf(job).customer === customer);
    }

    #takeZoneOut(name: string, drainWithinMs: number): StepError | undefined {
        if (!this.#isKnownZone(name)) {
            return invalidError(name, `availability zone ${name} is not known`);
        }
        this.#zones.takeOut(name, drainWithinMs);
        return undefined;
    }

    #bringZoneBack(name: string): StepError | undefined {
        if (!this.#isKnownZone(name)) {
            return invalidError(name, `availability zone ${name} is not known`);
        }
        if (this.#decision.state.zoneState(name) === ZoneState.OUT_OF_SERVICE) {
            this.#zones.bringBack(name);
        }
        return undefined;
    }

    #isKnownZone(name: string): boolean {
        return this.#view.hasZone(name) || this.#entries.all().some(entry => entry.availabilityZone === name);
    }
}

const isShare = (ratio: number): boolean => ratio >= 0 && ratio <= 1;

/** Returns a message for the first rule that a contract violates; undefined if it is valid. */
const violationOf = (contract: Contract): string | undefined => {
    const names = contract.classes.map(workClass => workClass.name);
    const checks: [boolean, string][] = [
        [contract.customer !== "" && !contract.customer.includes("\u0000"), "the customer is not valid"],
        [contract.quota?.resources !== undefined, "the quota names no resources"],
        [contract.weight > 0, "the weight must be above 0"],
        [isShare(contract.latencyCriticalShare) && isShare(contract.batchShare), "a share is not from 0 to 1"],
        [names.every(name => name !== "") && new Set(names).size === names.length, "a class name is empty or repeated"],
        [contract.classes.every(({ kind }) => kind !== WorkKind.UNSPECIFIED), "a class has no kind"],
        [contract.answerRetentionMs >= 0, "the retention is negative"],
    ];
    return checks.find(([passed]) => !passed)?.[1];
};
