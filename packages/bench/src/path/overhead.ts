import { ManagedProcess } from "@waxwingspread/test-support";
import type { FleetMember } from "@waxwingspread/test-support";
import { readFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import { pause } from "./callers.js";
import { readCpuSeconds } from "./cpu-time.js";
import { roundToHundredths } from "./statistics.js";
import type { Testbed } from "./testbed.js";

const WINDOW_MS = 6_000;
const PAGE_BYTES = 4_096;
const BYTES_PER_MEGABYTE = 1_000_000;
const SETTLE_MS = 500;
const IDLE_SCRIPT = fileURLToPath(new URL("./idle-main.js", import.meta.url));

const readResidentMegabytes = async (pid: number): Promise<number> => {
    const [, pages = "0"] = (await readFile(`/proc/${pid}/statm`, "utf8")).split(" ");
    return Number(pages) * PAGE_BYTES / BYTES_PER_MEGABYTE;
};

/** Returns the resident memory of an idle Node process. */
const measureIdleMegabytes = async (): Promise<number> => {
    const idle = new ManagedProcess("idle", IDLE_SCRIPT, []);
    await pause(SETTLE_MS);
    const megabytes = await readResidentMegabytes(idle.pid);
    await idle.kill();
    return megabytes;
};

const computeAverage = (values: readonly number[]): number =>
    roundToHundredths(values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length));

/**
 * Cost of the control path while no work runs, as averages over the processes of each role. The memory of an idle Node
 * process is subtracted from that of entries and the leader.
 */
export interface OverheadResult {
    entryControlBytesPerSecond: number;
    entryControlCpuPercent: number;
    entryControlMegabytes: number;
    leaderCpuPercent: number;
    followerCpuPercent: number;
    leaderMegabytes: number;
    idleProcessMegabytes: number;
}

interface Sample {
    cpuSeconds: number[];
    bytes: number;
}

const takeSample = async (testbed: Testbed, members: readonly FleetMember[]): Promise<Sample> => {
    const bytes = await testbed.relays.bytes();
    const ofEntries = [...bytes].filter(([key]) => key.startsWith("control of "));
    return {
        cpuSeconds: await Promise.all(members.map(member => readCpuSeconds(member.process.pid))),
        bytes: ofEntries.reduce((sum, [, count]) => sum + count, 0),
    };
};

/** Measures the cost of the control path per node while 30 backend servers send announcements and no tasks run. */
export const measureOverhead = async (testbed: Testbed): Promise<OverheadResult> => {
    const { entries, controls } = testbed.fleet;
    const leader = await testbed.fleet.leader();
    const members = [...entries, ...controls];
    const before = await takeSample(testbed, members);
    const beganAtMs = performance.now();
    await pause(WINDOW_MS);
    const after = await takeSample(testbed, members);
    const seconds = (performance.now() - beganAtMs) / 1_000;
    const cpuPercent = members.map((unused, position) =>
        ((after.cpuSeconds[position] ?? 0) - (before.cpuSeconds[position] ?? 0)) / seconds * 100
    );
    const percentOf = (group: readonly FleetMember[]): number =>
        computeAverage(cpuPercent.filter((unused, position) => group.includes(members[position] ?? leader)));
    const idleProcessMegabytes = await measureIdleMegabytes();
    const residentOf = async (group: readonly FleetMember[]): Promise<number> =>
        computeAverage(await Promise.all(group.map(({ process }) => readResidentMegabytes(process.pid))));
    return {
        entryControlBytesPerSecond: Math.round((after.bytes - before.bytes) / seconds / entries.length),
        entryControlCpuPercent: percentOf(entries),
        entryControlMegabytes: roundToHundredths(await residentOf(entries) - idleProcessMegabytes),
        leaderCpuPercent: percentOf([leader]),
        followerCpuPercent: percentOf(controls.filter(member => member !== leader)),
        leaderMegabytes: roundToHundredths(await residentOf([leader]) - idleProcessMegabytes),
        idleProcessMegabytes: roundToHundredths(idleProcessMegabytes),
    };
};
