import { expect, it } from "vitest";
import type { QueueContract } from "../model/configuration.js";
import { configurationOf, heartbeatOf, jobOf, stepOf } from "../testing/fixtures.js";
import { SingleReplica } from "../testing/single-replica.js";
import { EventKind } from "./events.js";
import { JobRecord } from "./job-record.js";
import { WorkflowState } from "./workflow-state.js";

const [BATCH] = configurationOf(1).queues as [QueueContract];
const OTHER: QueueContract = { ...BATCH, pathPrefix: "/other/", service: "other-pool" };

/** Returns the service that runs a job of a queue after the configurations have come into force in turn. */
const serviceAfter = (queue: QueueContract, ...queues: readonly QueueContract[][]): string => {
    const state = new WorkflowState();
    const job = jobOf("j", stepOf());
    state.apply({ kind: EventKind.JobAccepted, job, queue, acceptedAtMs: 0 });
    queues.forEach((changed, index) =>
        state.apply({
            kind: EventKind.ConfigurationAccepted,
            configuration: configurationOf(index + 1, { queues: changed }),
        })
    );
    const record = state.job("j");
    return record === undefined ? "" : state.currentQueueOf(record).service;
};

const [RENAMED, MOVED] = [{ ...OTHER, name: "new", service: "new-pool" }, {
    ...OTHER,
    pathPrefix: "/x/",
    service: "x",
}];

// Guards against tasks that run on the servers of another queue's service (review/13), because the name of their queue was
// taken for the queue.
it.each([
    ["of the second of two queues that share a name", OTHER, [[BATCH, OTHER]], "other-pool"],
    ["of the first of two queues that share a name", BATCH, [[BATCH, OTHER]], "pool"],
    ["whose queue is given the name of another one later", { ...OTHER, name: "own" }, [[BATCH, OTHER]], "other-pool"],
    ["whose queue is renamed", OTHER, [[BATCH, RENAMED]], "new-pool"],
    ["whose queue is taken out while another one has its name", OTHER, [[BATCH]], "other-pool"],
    ["whose queue's name is used again at another address", OTHER, [[BATCH, MOVED]], "other-pool"],
    ["whose queue is taken out and comes back with another service", OTHER, [[BATCH], [BATCH, RENAMED]], "new-pool"],
])("runs a job %s on the service of its own address", (unusedName, queue, configurations, service) => {
    expect(serviceAfter(queue, ...configurations)).toBe(service);
});

// Guards against jobs of former versions, whose records have the contract as it was, that change to another queue's service.
it("reads the queue of a job that was recorded before its name was shared", () => {
    const state = WorkflowState.fromSnapshot({
        configuration: configurationOf(4, { queues: [BATCH, OTHER] }),
        zonesOutOfService: [],
        jobs: [JobRecord.accepted(jobOf("j", stepOf()), OTHER, 0).toContent()],
        acknowledged: [],
        pressures: {},
        maintenances: [],
        longestLeaseMs: undefined,
    });
    const job = state.job("j");
    expect(job === undefined ? undefined : state.currentQueueOf(job)).toEqual(OTHER);
});

// Guards against starts on the servers of the other queue's service, also after a change of the leader.
it("starts a job of the second of two queues that share a name on the servers of its service", () => {
    const replica = SingleReplica.started();
    replica.node.configure(configurationOf(2, { queues: [OTHER, BATCH] }), () => undefined, replica.times);
    replica.submit(jobOf("j", stepOf()));
    const startsOn = (service: string, sequence: number) =>
        replica.heartbeat(heartbeatOf(`server of ${service}`, sequence, { service }))?.starts.length ?? 0;
    replica.failOver();
    replica.advance(600);
    const services = ["other-pool", "pool"];
    const starts = services.map(service => [1, 2, 3].map(sequence => startsOn(service, sequence)));
    expect(starts.map(counts => Math.max(...counts))).toEqual([0, 1]);
});
