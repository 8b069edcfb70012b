import { expect, it } from "vitest";
import { configurationOf, jobOf, organisationOf, stepOf } from "../testing/fixtures.js";
import { LeaseFleet } from "../testing/lease-fleet.js";
import { SingleReplica } from "../testing/single-replica.js";

const TASK = { cpuMillicores: 1_000, memoryMebibytes: 1_000, accelerators: 0 };
const CAPACITY = { cpuMillicores: 8_000, memoryMebibytes: 64_000, accelerators: 0 };

// Guards against a gang that never starts because single tasks of its organisation take each freed part of the quota.
it("starts a gang that needs the whole quota although single tasks of its organisation keep coming", () => {
    const replica = SingleReplica.started();
    const quota = { cpuMillicores: 4_000, memoryMebibytes: 0, accelerators: 0 };
    const organisations = [organisationOf("a", { quota })];
    replica.node.configure(configurationOf(2, { organisations }), () => undefined, replica.times);
    replica.settle();
    let count = 0;
    const runTimeMs = (): number => 700 + 130 * (count % 7);
    const fleet = new LeaseFleet(replica, { count: 4, capacity: CAPACITY, runTimeMs });
    fleet.advance(300);
    const submitSingle = (): void => {
        count += 1;
        replica.submit({ ...jobOf(`single${count}`, stepOf({ amounts: TASK })), organisation: "a" });
    };
    Array.from({ length: 4 }).forEach(submitSingle);
    fleet.advance(300);
    const gang = stepOf({ taskCount: 4, isGang: true, amounts: TASK });
    replica.submit({ ...jobOf("gang", gang), organisation: "a" });
    let hasStarted = false;
    for (let round = 0; round < 75 && !hasStarted; round += 1) {
        submitSingle();
        fleet.advance(200);
        hasStarted = fleet.runningTasks.some(task => task.startsWith("gang"));
    }
    expect(hasStarted).toBe(true);
});
