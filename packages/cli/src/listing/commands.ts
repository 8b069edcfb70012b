import { QueryKind } from "@waxwingspread/protocol";
import type { Argv } from "yargs";
import { integerOption } from "../command-line/command.js";
import type { Command } from "../command-line/command.js";
import { describeBackendServers, describeExplanation, describeJobs, describeQuotas, describeVms } from "./describe.js";
import { listingCommand } from "./listing.js";

const DEFAULT_JOB_LIMIT = 100;

const addCustomerOption = (parser: Argv): Argv =>
    parser.option("customer", { type: "string", description: "Only this customer", requiresArg: true });

const addJobOptions = (parser: Argv): Argv =>
    addCustomerOption(parser).option("limit", {
        type: "string",
        description: `Maximum number of jobs; default ${DEFAULT_JOB_LIMIT}`,
        coerce: integerOption("limit", 1),
    });

/** Read-only commands. */
export const listingCommands: readonly Command[] = [
    listingCommand({
        syntax: "vms",
        description: "List entry and control VMs and the members of the replicated log",
        query: () => ({ kind: QueryKind.VMS }),
        describe: describeVms,
    }),
    listingCommand({
        syntax: "backend-servers",
        description: "List backend servers with health and capacity",
        query: () => ({ kind: QueryKind.BACKEND_SERVERS }),
        describe: describeBackendServers,
    }),
    listingCommand({
        syntax: "jobs",
        description: "List jobs",
        examples: [["jobs --customer archive-firm --limit 20 --output json", "for programs"]],
        options: addJobOptions,
        query: values => ({
            kind: QueryKind.JOBS,
            customer: values.optionalText("customer") ?? "",
            limit: values.optionalNumber("limit") ?? DEFAULT_JOB_LIMIT,
        }),
        describe: describeJobs,
    }),
    listingCommand({
        syntax: "quotas",
        description: "Show the use of each customer's quota",
        options: addCustomerOption,
        query: values => ({ kind: QueryKind.QUOTAS, customer: values.optionalText("customer") ?? "" }),
        describe: describeQuotas,
    }),
    listingCommand({
        syntax: "explain <customer> <requestId>",
        description: "Explain the state of one job",
        examples: [["explain filter-maker trial-1718", "why it waits, where it ran, how it ended"]],
        query: values => ({
            kind: QueryKind.EXPLAIN,
            customer: values.text("customer"),
            requestId: values.text("requestId"),
        }),
        describe: describeExplanation,
    }),
];
