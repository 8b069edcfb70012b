import { toJson } from "@bufbuild/protobuf";
import { messageOf, StepError } from "@waxwingspread/common";
import { ErrorCode, JournalEventSchema, QueryKind } from "@waxwingspread/protocol";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { Argv } from "yargs";
import { CliFailure, ExitCode, usageFailure } from "../command-line/cli-failure.js";
import { integerOption } from "../command-line/command.js";
import type { Command, CommandArguments, CommandContext, CommandResult } from "../command-line/command.js";
import { parseAddresses } from "../connection/connection-settings.js";
import type { JournalClient } from "../connection/journal-client.js";
import { mergeJournals } from "./merge-journals.js";
import type { JournalPart, RequestFilter, Timeline, UnreachableProcess } from "./merge-journals.js";
import { renderHtml } from "./render-html.js";
import { renderText } from "./render-text.js";

const DEFAULT_LIMIT_EVENTS = 4_000;
const MAXIMUM_PORT = 65_535;

interface JournalRequest {
    readonly customer: string;
    readonly requestId: string;
    readonly sinceWallMs: number;
    readonly limit: number;
}

/** An operators' listener, with the VM's name if it is known from the leader. */
interface ProcessTarget {
    readonly process: string | undefined;
    readonly address: string;
}

type JournalReadResult = Result<JournalPart, UnreachableProcess & { readonly code: ErrorCode }>;

const withPort = (address: string, port: number | undefined): string =>
    port === undefined ? address : address.replace(/:\d+$/, `:${port}`);

/** Removes duplicates: a VM with both roles may be listed once for each role. */
const distinctTargets = (targets: readonly ProcessTarget[]): ProcessTarget[] => [
    ...new Map(targets.map(target => [`${target.process} ${target.address}`, target])).values(),
];

/** Returns the operators' listeners given in the arguments, or else those of all VMs that the leader knows. */
const resolveTargets = async (
    context: CommandContext,
    values: CommandArguments,
): Promise<Result<ProcessTarget[], CliFailure>> => {
    const given = values.optionalText("processes");
    if (given !== undefined) {
        const addresses = parseAddresses("--processes", given);
        return addresses.map(items => items.map(address => ({ process: undefined, address })));
    }
    const client = await context.client();
    if (client.isErr()) {
        return client;
    }
    const answer = await client.value.query({ kind: QueryKind.VMS });
    const port = values.optionalNumber("operators-port");
    return answer
        .map(({ vms }) =>
            distinctTargets(vms.map(vm => ({
                process: vm.name,
                address: withPort(vm.operatorsAddress || vm.address, port),
            })))
        )
        .mapErr(failure => {
            const hint = "; give the operators' listeners with --processes to read journals without a leader";
            return new CliFailure(failure.exitCode, failure.message + hint, failure.stepError);
        });
};

const readJournal = async (
    client: JournalClient,
    target: ProcessTarget,
    request: JournalRequest,
): Promise<JournalReadResult> => {
    const { address } = target;
    const answer = await client.read(address, request);
    return answer
        .map(({ process, events, dropped }) => ({
            process,
            address,
            events,
            dropped,
            limited: events.length >= request.limit,
        }))
        .mapErr(error => ({ ...target, message: error.message, code: error.code }));
};

/** Reads all journals concurrently, so that they end at about the same time. */
const readJournals = async (
    client: JournalClient,
    targets: readonly ProcessTarget[],
    request: JournalRequest,
): Promise<Result<Timeline, CliFailure>> => {
    const results = await Promise.all(targets.map(target => readJournal(client, target, request)));
    const parts = results.filter(item => item.isOk()).map(item => item.value);
    const failures = results.filter(item => item.isErr()).map(item => item.error);
    const unreachable = failures.map(({ process, address, message }) => ({ process, address, message }));
    if (parts.length === 0) {
        const refused = failures.find(item => item.code === ErrorCode.UNAUTHENTICATED);
        const text = `no journal could be read: ${failures.map(item => `${item.address}: ${item.message}`).join("; ")}`;
        const error = refused && new StepError(refused.code, "read-journal", refused.address, refused.message);
        return Err(new CliFailure(refused ? ExitCode.Refused : ExitCode.Unavailable, text, error));
    }
    const filter: RequestFilter | undefined = request.requestId === "" ? undefined : request;
    const subject = filter && { customer: filter.customer, requestId: filter.requestId };
    return Ok(mergeJournals(parts, unreachable, subject));
};

const writePage = async (
    context: CommandContext,
    path: string | undefined,
    timeline: Timeline,
): Promise<Result<string, CliFailure>> => {
    if (path === undefined) {
        return Ok("");
    }
    try {
        await context.io.writeFile(path, renderHtml(timeline));
        return Ok(`page written to ${path}\n`);
    }
    catch (error) {
        return Err(usageFailure(`--html: cannot write ${path}: ${messageOf(error)}`));
    }
};

const showTimeline = async (context: CommandContext, values: CommandArguments): Promise<CommandResult> => {
    const targets = await resolveTargets(context, values);
    if (targets.isErr()) {
        return targets;
    }
    const client = await context.journalClient();
    if (client.isErr()) {
        return client;
    }
    const timeline = await readJournals(client.value, targets.value, {
        customer: values.optionalText("customer") ?? "",
        requestId: values.optionalText("request-id") ?? "",
        sinceWallMs: values.optionalNumber("since-ms") ?? 0,
        limit: values.optionalNumber("limit") ?? DEFAULT_LIMIT_EVENTS,
    });
    if (timeline.isErr()) {
        return timeline;
    }
    const written = await writePage(context, values.optionalText("html"), timeline.value);
    return written.map(pageMessage => ({
        table: renderText(timeline.value) + pageMessage,
        json: { ...timeline.value, events: timeline.value.events.map(event => toJson(JournalEventSchema, event)) },
    }));
};

const addTimelineOptions = (parser: Argv): Argv =>
    parser
        .option("customer", { type: "string", description: "Customer of the request to follow", implies: "request-id" })
        .option("request-id", { type: "string", description: "Request to follow", implies: "customer" })
        .option("html", { type: "string", description: "Also write one self-contained page", requiresArg: true })
        .option("processes", {
            type: "string",
            description: "Operators' listeners host:port,... instead of those that the leader knows",
            requiresArg: true,
        })
        .option("operators-port", {
            type: "string",
            description: "Port of the operators' listeners, when the VMs' addresses name other listeners",
            conflicts: "processes",
            coerce: (value: unknown) => {
                const port = integerOption("operators-port", 1)(value);
                if (port !== undefined && port > MAXIMUM_PORT) {
                    throw new Error(`--operators-port: given ${port}; allowed: integer up to ${MAXIMUM_PORT}`);
                }
                return port;
            },
        })
        .option("since-ms", {
            type: "string",
            description: "Leave out events before this time, in milliseconds since the epoch",
            coerce: integerOption("since-ms", 0),
        })
        .option("limit", {
            type: "string",
            description: `Maximum number of events per process; default ${DEFAULT_LIMIT_EVENTS}`,
            coerce: integerOption("limit", 1),
        });

/** Command that merges the journals of all processes. */
export const timelineCommand: Command = {
    syntax: "timeline",
    description: "Merge the journals of all processes into one timeline",
    examples: [
        ["timeline --customer filter-maker --request-id trial-1718", "follows one request"],
        ["timeline --processes 10.0.0.1:7002,10.0.1.1:7002 --html t.html", "works without a leader"],
    ],
    options: addTimelineOptions,
    handle: showTimeline,
};
