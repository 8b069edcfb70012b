import { expect, it } from "vitest";
import { Refusal, succeeded } from "../model/calls.js";
import type { CallResult } from "../model/calls.js";
import { TaskKind } from "../model/specification.js";
import type { JobSpecification } from "../model/specification.js";
import {
    configurationOf,
    fillerStepOf,
    heartbeatOf,
    HOST,
    jobOf,
    standingStepOf,
    stepOf,
} from "../testing/fixtures.js";
import { LEADER_SETTINGS, SingleReplica } from "../testing/single-replica.js";
import type { JobPreview } from "./job-preview.js";
import { Exclusion } from "./placement.js";

const LARGE = { cpuMillicores: 8_000_000, memoryMebibytes: 1, accelerators: 0 };

const previewOf = (replica: SingleReplica, job: JobSpecification, host = HOST): CallResult<JobPreview> | undefined => {
    const results: CallResult<JobPreview>[] = [];
    const [{ pathPrefix } = { pathPrefix: "/" }] = configurationOf(1).queues;
    replica.node.previewJob({ host, path: pathPrefix }, job, result => results.push(result), replica.times);
    replica.advance(10);
    return results[0];
};

// Guards against an answer that differs from what the leader then does.
it("names the server that a job's tasks go to, and what excludes the others", () => {
    const replica = SingleReplica.started();
    for (const sequence of [1, 2]) {
        replica.heartbeat(heartbeatOf("free", sequence));
        replica.heartbeat(heartbeatOf("draining", sequence, { isDraining: true }));
    }
    const job = jobOf("j", stepOf(), stepOf({ dependsOn: [0], amounts: LARGE }), standingStepOf(), fillerStepOf());
    const preview = previewOf(replica, job);
    const common = { serversWithRoom: 1, serverId: "free", excludedServers: { [Exclusion.Draining]: 1 } };
    expect(preview).toMatchObject(succeeded({
        isKnown: false,
        refusal: undefined,
        steps: [
            { step: 0, kind: TaskKind.Finite, ...common },
            {
                step: 1,
                dependsOn: [0],
                serversWithRoom: 0,
                serverId: undefined,
                excludedServers: { [Exclusion.Draining]: 1, [Exclusion.NoRoom]: 1 },
            },
            { step: 2, kind: TaskKind.Standing, ...common },
            { step: 3, kind: TaskKind.Filler, ...common },
        ],
    }));
    replica.submit(job);
    expect(replica.heartbeat(heartbeatOf("free", 3))?.starts.length).toBeGreaterThan(0);
    expect(previewOf(replica, job)).toMatchObject(succeeded({ isKnown: true, refusal: undefined }));
});

// Guards against a preview that records, reserves or counts something.
it("changes nothing", () => {
    const replica = SingleReplica.started({}, { ...LEADER_SETTINGS, maxJobBytes: 5_000 });
    replica.heartbeat(heartbeatOf("s", 1));
    replica.heartbeat(heartbeatOf("s", 2));
    replica.advance(1_000);
    const before = { records: replica.log.length, utilization: replica.node.session?.utilization() };
    for (let index = 0; index < 20; index += 1) {
        expect(previewOf(replica, jobOf(`j${index}`, stepOf()))).toMatchObject(succeeded({ refusal: undefined }));
    }
    expect({ records: replica.log.length, utilization: replica.node.session?.utilization() }).toEqual(before);
    expect(replica.node.state.jobs.size).toBe(0);
});

// Guards against a preview that accepts what the hand-in refuses.
it("tells why a submission would be refused", () => {
    const replica = SingleReplica.started({}, { ...LEADER_SETTINGS, maxJobBytes: 1_000 });
    expect(previewOf(replica, jobOf("j", stepOf()))).toMatchObject(succeeded({ refusal: Refusal.Overloaded }));
    expect(previewOf(replica, jobOf("j", stepOf()), "other.example")).toMatchObject({ refusal: Refusal.UnknownQueue });
    replica.isLeader = false;
    replica.advance(10);
    expect(previewOf(replica, jobOf("j", stepOf()))).toMatchObject({ refusal: Refusal.NotLeader });
});
