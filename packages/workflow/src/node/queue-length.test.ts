import { expect, it } from "vitest";
import type { QueueContract } from "../model/configuration.js";
import { configurationOf, HOST, jobOf, stepOf } from "../testing/fixtures.js";
import { resultOf, SingleReplica } from "../testing/single-replica.js";

// Guards against a queue whose length counts the jobs of another queue that has the same name.
it("counts only the jobs of the queue at the address of the call", () => {
    const replica = SingleReplica.started();
    const [batch] = configurationOf(2).queues as [QueueContract];
    const queues = [batch, { ...batch, pathPrefix: "/other/" }];
    replica.node.configure(configurationOf(2, { queues }), () => undefined, replica.times);
    replica.submit(jobOf("j", stepOf()));
    const lengthOf = (path: string): unknown =>
        resultOf(respond => {
            replica.node.pendingJobs({ host: HOST, path }, respond, replica.times);
            replica.settle();
        });
    expect(lengthOf("/batch/")).toEqual({ ok: true, value: 1 });
    expect(lengthOf("/other/")).toEqual({ ok: true, value: 0 });
});
