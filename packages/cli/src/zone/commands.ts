import { QueryKind, ZoneState } from "@waxwingspread/protocol";
import type { ZoneProgress } from "@waxwingspread/protocol";
import { Err, Ok } from "ts-results-es";
import { CliFailure, ExitCode } from "../command-line/cli-failure.js";
import { integerOption } from "../command-line/command.js";
import type {
    CommandArguments,
    CommandContext,
    CommandGroup,
    CommandOutput,
    CommandResult,
} from "../command-line/command.js";
import { addChangeOptions, execute } from "../command-line/execute-command.js";
import { enumName, formatTime } from "../output/format-values.js";
import { formatTable } from "../output/table.js";

const DEFAULT_DRAIN_WITHIN_MS = 60_000;
const FOLLOW_INTERVAL_MS = 1_000;

const HEADERS = [
    "ZONE",
    "STATE",
    "CHANGED",
    "DRAIN-DEADLINE",
    "LATENCY-CRITICAL",
    "BATCH",
    "STANDING",
    "MOVED",
    "LOST",
];

const zoneRow = (zone: ZoneProgress): string[] => [
    zone.availabilityZone?.name ?? "",
    enumName(ZoneState, zone.availabilityZone?.state ?? 0),
    formatTime(zone.availabilityZone?.changedAtMs ?? 0),
    formatTime(zone.availabilityZone?.drainDeadlineMs ?? 0),
    ...[zone.runningLatencyCritical, zone.runningBatch, zone.runningStanding, zone.moved, zone.lost].map(String),
];

const zoneJson = (zone: ZoneProgress): unknown => ({
    availabilityZone: zone.availabilityZone?.name,
    state: enumName(ZoneState, zone.availabilityZone?.state ?? 0),
    changedAtMs: zone.availabilityZone?.changedAtMs,
    drainDeadlineMs: zone.availabilityZone?.drainDeadlineMs,
    runningLatencyCritical: zone.runningLatencyCritical,
    runningBatch: zone.runningBatch,
    runningStanding: zone.runningStanding,
    moved: zone.moved,
    lost: zone.lost,
});

const describeZones = (zones: readonly ZoneProgress[]): CommandOutput => ({
    table: formatTable(HEADERS, zones.map(zoneRow)),
    json: { zones: zones.map(zoneJson) },
});

/** Returns whether no work is left to move out of or back into the zone. */
const isSettled = (zone: ZoneProgress): boolean => {
    const state = zone.availabilityZone?.state;
    const running = zone.runningLatencyCritical + zone.runningBatch + zone.runningStanding;
    return state === ZoneState.IN_SERVICE || (state === ZoneState.OUT_OF_SERVICE && running === 0);
};

const progress = async (context: CommandContext, values: CommandArguments): Promise<CommandResult> => {
    const client = await context.client();
    if (client.isErr()) {
        return client;
    }
    const name = values.optionalText("zone");
    for (;;) {
        const answer = await client.value.query({ kind: QueryKind.ZONES });
        if (answer.isErr()) {
            return answer;
        }
        const zones = answer.value.zones.filter(zone => name === undefined || zone.availabilityZone?.name === name);
        if (name !== undefined && zones.length === 0) {
            return Err(new CliFailure(ExitCode.Refused, `unknown availability zone ${name}`));
        }
        if (!values.isSet("follow") || zones.every(isSettled)) {
            return Ok(describeZones(zones));
        }
        context.print(describeZones(zones));
        await context.io.sleep(FOLLOW_INTERVAL_MS);
    }
};

const takeOut = (context: CommandContext, values: CommandArguments): Promise<CommandResult> => {
    const availabilityZone = values.text("zone");
    const drainWithinMs = values.optionalNumber("drain-within-ms") ?? DEFAULT_DRAIN_WITHIN_MS;
    const kind = { case: "takeZoneOut" as const, value: { availabilityZone, drainWithinMs } };
    return execute(context, values, `${availabilityZone} out of service`, kind);
};

const bringBack = (context: CommandContext, values: CommandArguments): Promise<CommandResult> => {
    const zone = values.text("zone");
    return execute(context, values, `${zone} back in service`, { case: "bringZoneBack", value: zone });
};

/** Commands on availability zones. */
export const zoneCommands: CommandGroup = {
    name: "zone",
    description: "Take availability zones out of service and bring them back",
    commands: [
        {
            syntax: "out <zone>",
            description: "Take an availability zone out of service and move its work",
            examples: [["zone out kosice-b --drain-within-ms 120000", "batch work has two minutes to checkpoint"]],
            options: parser =>
                addChangeOptions(parser).option("drain-within-ms", {
                    type: "string",
                    description: `Time within which batch work must have left; default ${DEFAULT_DRAIN_WITHIN_MS}`,
                    coerce: integerOption("drain-within-ms", 0),
                }),
            handle: takeOut,
        },
        {
            syntax: "back <zone>",
            description: "Bring an availability zone back; it is filled at a bounded rate",
            options: addChangeOptions,
            handle: bringBack,
        },
        {
            syntax: "progress [zone]",
            description: "Show what still runs in each availability zone",
            examples: [["zone progress kosice-b --follow", "prints every second until the zone is empty or back"]],
            options: parser =>
                parser.option("follow", { type: "boolean", description: "Repeat until nothing is left to move" }),
            handle: progress,
        },
    ],
};
