import { errorCodeName } from "@waxwingspread/common";
import { EntryMetric } from "@waxwingspread/entry";
import {
    AttemptEnd,
    ErrorCode,
    HealthState,
    OrderKind,
    Outcome,
    Reason,
    StartResult,
    WorkKind,
} from "@waxwingspread/protocol";
import { OTHER_LABEL } from "./bounded.js";

type NumericEnum = Record<string, string | number>;

/** Returns an enum member's name in lower case with dashes, as in JSON and metrics; `other` for an unknown value. */
export const enumLabel = (members: NumericEnum, value: number): string =>
    String(members[value] ?? OTHER_LABEL).toLowerCase().replaceAll("_", "-");

const enumLabels = (members: NumericEnum): string[] => {
    const numbers = Object.values(members).filter(value => typeof value === "number");
    return [...numbers.filter(value => value !== 0).map(value => enumLabel(members, value)), OTHER_LABEL];
};

const errorCodes = Object.values(ErrorCode).filter(value => typeof value === "number" && value !== 0) as ErrorCode[];

/** Value of the label `code` for a request that succeeded. */
export const OK_LABEL = "ok";

/** Allowed values of the labels of all metrics. */
export const LABELS = {
    operations: [
        "submit",
        "look-up",
        "answer",
        "cancel",
        "acknowledge",
        "announce",
        "result",
        "report",
        "poll",
        "execute",
        "query",
        "put-blob",
        "get-blob",
        "replica-send",
        "describe",
        "read-journal",
        OTHER_LABEL,
    ],
    codes: [OK_LABEL, ...errorCodes.map(errorCodeName), OTHER_LABEL],
    workKinds: enumLabels(WorkKind),
    replicaRoles: ["follower", "pre-candidate", "candidate", "leader", "learner", OTHER_LABEL],
    orderKinds: enumLabels(OrderKind),
    entryEvents: [...Object.values(EntryMetric), OTHER_LABEL],
    reportKinds: ["announcement", "start", "end", OTHER_LABEL],
    startResults: enumLabels(StartResult),
    attemptEnds: enumLabels(AttemptEnd),
    outcomes: enumLabels(Outcome),
    reasons: enumLabels(Reason),
    health: enumLabels(HealthState),
    listeners: ["callers", "control", "operators", OTHER_LABEL],
    limits: ["connections", "requests-per-second", "payload-bytes", "answer-bytes", "waiting-callers", OTHER_LABEL],
} as const;
