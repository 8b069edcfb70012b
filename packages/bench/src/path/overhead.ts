import { ManagedProcess } from "@waxwingspread/test-support";
import type { FleetMember } from "@waxwingspread/test-support";
import { readFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import { pause } from "./callers.js";
import { rounded } from "./figures.js";
import type { PathFleet } from "./path-fleet.js";
import { cpuSecondsOf } from "./processor-time.js";

const WINDOW_MS = 6_000;
const PAGE_BYTES = 4_096;
const MEGABYTE = 1_000_000;
const SETTLE_MS = 500;
const IDLE_SCRIPT = fileURLToPath(new URL("./idle-main.js", import.meta.url));

const residentMegabytesOf = async (pid: number): Promise<number> => {
    const [, pages = "0"] = (await readFile(`/proc/${pid}/statm`, "utf8")).split(" ");
    return Number(pages) * PAGE_BYTES / MEGABYTE;
};

/** Returns the resident memory of an idle Node process. */
const idleMegabytes = async (): Promise<number> => {
    const idle = new ManagedProcess("idle", IDLE_SCRIPT, []);
    await pause(SETTLE_MS);
    const megabytes = await residentMegabytesOf(idle.pid);
    await idle.kill();
    return megabytes;
};

const averageOf = (values: readonly number[]): number =>
    rounded(values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length));

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

const sampleOf = async (running: PathFleet, members: readonly FleetMember[]): Promise<Sample> => {
    const bytes = await running.relays.bytes();
    const ofEntries = [...bytes].filter(([key]) => key.startsWith("control of "));
    return {
        cpuSeconds: await Promise.all(members.map(member => cpuSecondsOf(member.process.pid))),
        bytes: ofEntries.reduce((sum, [, count]) => sum + count, 0),
    };
};

/** Measures the cost of the control path per node while 30 backend servers send announcements and no tasks run. */
export const measureOverhead = async (running: PathFleet): Promise<OverheadResult> => {
    const { entries, controls } = running.fleet;
    const leader = await running.fleet.leader();
    const members = [...entries, ...controls];
    const before = await sampleOf(running, members);
    const beganAtMs = performance.now();
    await pause(WINDOW_MS);
    const after = await sampleOf(running, members);
    const seconds = (performance.now() - beganAtMs) / 1_000;
    const cpuPercent = members.map((unused, position) =>
        ((after.cpuSeconds[position] ?? 0) - (before.cpuSeconds[position] ?? 0)) / seconds * 100
    );
    const percentOf = (group: readonly FleetMember[]): number =>
        averageOf(cpuPercent.filter((unused, position) => group.includes(members[position] ?? leader)));
    const idleProcessMegabytes = await idleMegabytes();
    const residentOf = async (group: readonly FleetMember[]): Promise<number> =>
        averageOf(await Promise.all(group.map(({ process }) => residentMegabytesOf(process.pid))));
    return {
        entryControlBytesPerSecond: Math.round((after.bytes - before.bytes) / seconds / entries.length),
        entryControlCpuPercent: percentOf(entries),
        entryControlMegabytes: rounded(await residentOf(entries) - idleProcessMegabytes),
        leaderCpuPercent: percentOf([leader]),
        followerCpuPercent: percentOf(controls.filter(member => member !== leader)),
        leaderMegabytes: rounded(await residentOf([leader]) - idleProcessMegabytes),
        idleProcessMegabytes: rounded(idleProcessMegabytes),
    };
};
