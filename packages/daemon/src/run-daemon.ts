import { Journal, messageOf } from "@waxwingspread/common";
import type { HttpListener } from "./http/http-listener.js";
import { createOperatorsListener } from "./http/operators-listener.js";
import { createLogger } from "./logging/index.js";
import { createMetrics } from "./metrics/index.js";
import type { ControlRole } from "./roles/control-role.js";
import type { EntryRole } from "./roles/entry-role.js";
import { journalRoutes } from "./roles/journal-routes.js";
import { createOperatorCheck } from "./roles/operator-token.js";
import type { ProcessContext } from "./roles/process-context.js";
import { createAddressTranslator, DaemonRole, formatSettings, parseSettings, settingsHelp } from "./settings/index.js";
import type { DaemonSettings } from "./settings/index.js";
import { PeerClients } from "./transport/peer-clients.js";
import { clientTimeInterceptor } from "./transport/time-propagation.js";

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

/** The running roles of this process and its listener for operators. */
interface RunningDaemon {
    context: ProcessContext;
    control: ControlRole | undefined;
    entry: EntryRole | undefined;
    operators: HttpListener;
}

/**
 * Runs the daemon until SIGTERM or SIGINT. The exit code is 0 after a planned shutdown, 2 for invalid settings and 1
 * for any other failure.
 */
export const runDaemon = async (args: string[], environment: NodeJS.ProcessEnv): Promise<void> => {
    if (args.includes("--help")) {
        process.stdout.write(`${await settingsHelp()}\n`);
        return;
    }
    const parsed = parseSettings(args, environment);
    if (parsed.isErr()) {
        process.stderr.write(`${parsed.error.message}\n`);
        process.exitCode = EXIT_USAGE;
        return;
    }
    const settings = parsed.value;
    if (settings.printSettings) {
        process.stdout.write(`${formatSettings(settings)}\n`);
        return;
    }
    const context = createContext(settings);
    try {
        const daemon = await start(context);
        stopOnSignals(daemon);
    }
    catch (error) {
        context.fail(error instanceof Error ? error : new Error(messageOf(error)));
    }
};

const createContext = (settings: DaemonSettings): ProcessContext => {
    const logger = createLogger({
        level: settings.logLevel,
        vmName: settings.vmName,
        availabilityZone: settings.availabilityZone,
        role: settings.role,
    });
    const journal = new Journal(settings.vmName);
    return {
        settings,
        logger,
        journal,
        metrics: createMetrics(),
        clients: new PeerClients(
            [clientTimeInterceptor(journal.clock)],
            createAddressTranslator(settings.addressTranslations),
        ),
        authorizeOperator: createOperatorCheck(settings.operatorTokenHash),
        fail: error => {
            logger.fatal({ err: error }, "fatal error, exiting");
            process.exit(EXIT_FAILURE);
        },
    };
};

// Modules of a role are loaded only in processes that run it, which saves memory and startup time.
const startControl = async (context: ProcessContext): Promise<ControlRole> =>
    (await import("./roles/control-role.js")).ControlRole.start(context);

const startEntry = async (context: ProcessContext): Promise<EntryRole> =>
    (await import("./roles/entry-role.js")).EntryRole.start(context);

const start = async (context: ProcessContext): Promise<RunningDaemon> => {
    const { settings } = context;
    const control = settings.role === DaemonRole.Entry ? undefined : await startControl(context);
    const entry = settings.role === DaemonRole.Control ? undefined : await startEntry(context);
    const operators = createOperatorsListener({
        address: settings.listeners.operators,
        maxConnections: settings.limits.connectionsPerListener,
        registry: context.metrics.registry,
        isLive: () => true,
        isReady: () => (control?.isReady ?? true) && (entry?.isReady ?? true),
        isLeader: () => control?.isLeader ?? false,
        routes: journalRoutes(context.journal, context.authorizeOperator),
        logger: context.logger,
        onConnectionRefused: () => context.metrics.rejected.add({ listener: "operators", limit: "connections" }),
    });
    await operators.listen();
    context.logger.info({ role: settings.role, availabilityZone: settings.availabilityZone }, "started");
    return { context, control, entry, operators };
};

const stopOnSignals = (daemon: RunningDaemon): void => {
    let isStopping = false;
    const stop = (signal: NodeJS.Signals): void => {
        if (isStopping) {
            return;
        }
        isStopping = true;
        daemon.context.logger.info({ signal }, "shutting down");
        void shutDown(daemon).then(() => process.exit(0), daemon.context.fail);
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
};

const shutDown = async ({ context, control, entry, operators }: RunningDaemon): Promise<void> => {
    const graceMs = context.settings.timings.shutdownGraceMs;
    await entry?.stop(graceMs);
    await control?.stop(graceMs);
    await operators.close(0);
    context.clients.close();
    context.logger.info("stopped");
};
