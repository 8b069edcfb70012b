import { collectDefaultMetrics, Registry } from "prom-client";
import { LABELS } from "./label-sets.js";
import { MetricFactory } from "./metric-factory.js";

/**
 * Cover the 2.1 s limit for latency-critical starts and longer waits, with the finest resolution at the expected 5 to
 * 50 ms.
 */
const SUBMIT_TO_START_BUCKETS_SECONDS = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.1, 5, 30, 300, 3_600];
/** From one disk sync plus one round trip between zones up to the timeout of a control call. */
const COMMIT_BUCKETS_SECONDS = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1];
const REQUEST_BUCKETS_SECONDS = [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10];

const createRequestMetrics = (factory: MetricFactory) => ({
    requests: factory.counter("requests", "Requests served, by operation and code", {
        operation: LABELS.operations,
        code: LABELS.codes,
    }),
    requestDuration: factory.duration(
        "request_duration",
        "Time from the arrival of a request to its response, long polls and waiting callers included",
        { operation: LABELS.operations },
        REQUEST_BUCKETS_SECONDS,
    ),
    connections: factory.gauge("connections", "Open connections, by listener", { listener: LABELS.listeners }),
    rejected: factory.counter("rejected", "Connections and requests rejected by a limit", {
        listener: LABELS.listeners,
        limit: LABELS.limits,
    }),
    waitingCallers: factory.gauge("waiting_callers", "Callers that wait for an outcome", {}),
    entryEvents: factory.counter("entry_events", "Events that the entry node counts", { event: LABELS.entryEvents }),
    dispatches: factory.counter("dispatches", "Starts sent to backend servers, by result", {
        result: LABELS.startResults,
    }),
    connectionsReplaced: factory.counter(
        "connections_replaced",
        "Connections replaced because a call passed its deadline",
        {},
    ),
});

const createReplicaMetrics = (factory: MetricFactory) => ({
    commit: factory.duration("commit", "Time from a proposal to its commit", {}, COMMIT_BUCKETS_SECONDS),
    elections: factory.counter("elections", "Elections that this replica started", {}),
    replicaRole: factory.gauge("replica_role", "1 for the current role of this replica, 0 for the others", {
        role: LABELS.replicaRoles,
    }),
    term: factory.gauge("term", "Current term", {}),
    commitIndex: factory.gauge("commit_index", "Index of the last committed log entry", {}),
    diskFull: factory.gauge("disk_full", "1 while the disk refuses writes for want of room", {}),
    logEntries: factory.gauge("log_entries", "Log entries since the last snapshot", {}),
    logBytes: factory.gauge("log_bytes", "Size of the log segments on disk", {}),
    blobBytes: factory.gauge("blob_bytes", "Size of the blob store on disk", {}),
});

const createSchedulerMetrics = (factory: MetricFactory) => ({
    submitToStart: factory.duration(
        "submit_to_start",
        "Time from the acceptance of a job to the report that its first attempt runs",
        { work_kind: LABELS.workKinds },
        SUBMIT_TO_START_BUCKETS_SECONDS,
    ),
    orders: factory.counter("orders", "Orders handed to entries, repeats included", { kind: LABELS.orderKinds }),
    reports: factory.counter("reports", "Facts received from entries", { kind: LABELS.reportKinds }),
    attemptsEnded: factory.counter("attempts_ended", "Attempts ended, by end", { end: LABELS.attemptEnds }),
    jobsEnded: factory.counter("jobs_ended", "Jobs ended, by outcome", { outcome: LABELS.outcomes }),
    evictions: factory.counter("evictions", "Attempts evicted, by reason", { reason: LABELS.reasons }),
    backendServers: factory.gauge("backend_servers", "Known backend servers, by health", { health: LABELS.health }),
    queuedJobs: factory.gauge("queued_jobs", "Jobs that wait for capacity", { work_kind: LABELS.workKinds }),
    runningTasks: factory.gauge("running_tasks", "Attempts that hold capacity", { work_kind: LABELS.workKinds }),
    configurationRevision: factory.gauge("configuration_revision", "Revision of the configuration in use", {}),
    journalDropped: factory.gauge("journal_dropped_events", "Events that the bounded journal has dropped", {}),
});

/** All metrics of a daemon process. Metrics of a role that the process does not run stay at zero. */
export type DaemonMetrics =
    & ReturnType<typeof createRequestMetrics>
    & ReturnType<typeof createReplicaMetrics>
    & ReturnType<typeof createSchedulerMetrics>
    & { readonly registry: Registry };

/** Creates all metrics in a new registry. `processMetrics` adds the default metrics of Node.js. */
export const createMetrics = (processMetrics = true): DaemonMetrics => {
    const registry = new Registry();
    const factory = new MetricFactory(registry);
    if (processMetrics) {
        collectDefaultMetrics({ register: registry });
    }
    return {
        registry,
        ...createRequestMetrics(factory),
        ...createReplicaMetrics(factory),
        ...createSchedulerMetrics(factory),
    };
};

/** Sets the gauge of the current role to 1 and those of all other roles to 0. */
export const setReplicaRole = (metrics: DaemonMetrics, current: string): void =>
    LABELS.replicaRoles.forEach(role => metrics.replicaRole.set({ role }, role === current ? 1 : 0));
