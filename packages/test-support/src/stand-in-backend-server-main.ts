import { SeededRandom } from "@waxwingspread/common";
import { randomUUID } from "node:crypto";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { StandInBackendServerProcess } from "./stand-in-backend-server-process.js";

const LEAVE_POLL_MS = 50;

const log = (event: string, fields: Record<string, unknown> = {}): void => {
    process.stdout.write(`${JSON.stringify({ event, ...fields })}\n`);
};

const readFlags = () =>
    yargs(hideBin(process.argv))
        .usage("Stands in for a backend server: announces itself to entries and runs timed tasks.")
        .option("id", {
            type: "string",
            array: true,
            demandOption: true,
            describe: "backend server id, may be repeated; with --count, a number is appended to a single id",
        })
        .option("count", { type: "number", default: 1, describe: "stand-ins in this process, on successive ports" })
        .option("entry", { type: "string", array: true, demandOption: true, describe: "host:port of an entry" })
        .option("host", { type: "string", default: "127.0.0.1", describe: "address to listen on" })
        .option("port", {
            type: "number",
            array: true,
            default: [0],
            describe: "port to listen on for each id, 0 for a free one",
        })
        .option("zone", {
            type: "string",
            array: true,
            default: ["zone-a"],
            describe: "availability zone; with several, stand-ins are assigned to them in turn",
        })
        .option("rack", { type: "string", default: "rack", describe: "rack; with --count, part of each rack's name" })
        .option("rack-size", { type: "number", default: 8, describe: "number of stand-ins of a zone in one rack" })
        .option("cpu-millicores", { type: "number", default: 16_000, describe: "CPU capacity" })
        .option("memory-mebibytes", { type: "number", default: 61_440, describe: "memory capacity" })
        .option("accelerators", { type: "number", default: 0, describe: "number of accelerators" })
        .option("slots", { type: "number", default: 8, describe: "maximum number of concurrent tasks" })
        .option("seed", {
            type: "number",
            default: 1,
            describe: "random seed for the choice of the entry and for jitter",
        })
        .option("speed-ratio", { type: "number", default: 1, describe: "speed of tasks relative to normal" })
        .option("fail-every-task", { type: "boolean", default: false, describe: "every task fails" })
        .option("usage-lag-ms", { type: "number", default: 3_000, describe: "delay of usage reports" })
        .option("tick-ms", { type: "number", default: 5, describe: "interval at which the stand-in is updated" })
        .option("address-translations", {
            type: "string",
            default: "",
            describe: "entries to call at another address: own=other, separated by commas",
        })
        .option("leave-timeout-ms", {
            type: "number",
            default: 30_000,
            describe: "on SIGTERM, how long to wait until all tasks have been moved and all results are settled",
        })
        .strict()
        .parseSync();

type Flags = ReturnType<typeof readFlags>;

const idAt = ({ id, count }: Flags, position: number): string =>
    id.length === 1 && count > 1 ? `${id[0]}-${position + 1}` : id[position] ?? "";

const portAt = ({ port }: Flags, position: number): number => {
    const [first = 0] = port;
    return port[position] ?? (first === 0 ? 0 : first + position);
};

const parseAddressTranslations = ({ addressTranslations }: Flags): Map<string, string> =>
    new Map(
        addressTranslations.split(",").filter(pair => pair !== "").map(pair => {
            const [ownAddress = "", otherAddress = ""] = pair.split("=");
            return [ownAddress, otherAddress];
        }),
    );

const startStandIn = (flags: Flags, position: number): Promise<StandInBackendServerProcess> => {
    const zone = flags.zone[position % flags.zone.length] ?? "";
    const rackNumber = Math.floor(position / flags.zone.length / flags.rackSize) + 1;
    return StandInBackendServerProcess.start({
        backendServerId: idAt(flags, position),
        incarnation: randomUUID(),
        availabilityZone: zone,
        rack: flags.count === 1 ? flags.rack : `${zone}-${flags.rack}-${rackNumber}`,
        capacity: {
            cpuMillicores: flags.cpuMillicores,
            memoryMebibytes: flags.memoryMebibytes,
            accelerators: flags.accelerators,
        },
        slots: flags.slots,
        entries: flags.entry,
        random: new SeededRandom(flags.seed + position),
        timing: { usageLagMs: flags.usageLagMs },
        faults: { speedRatio: flags.speedRatio, failEveryTask: flags.failEveryTask },
        host: flags.host,
        port: portAt(flags, position),
        tickMs: flags.tickMs,
        addressTranslations: parseAddressTranslations(flags),
    });
};

const leave = async (running: StandInBackendServerProcess[], timeoutMs: number): Promise<void> => {
    const deadlineMs = performance.now() + timeoutMs;
    const haveAllLeft = (): boolean => running.every(({ core }) => core.hasLeft);
    running.forEach(standIn => {
        standIn.leave();
    });
    log("leaving");
    while (!haveAllLeft() && performance.now() < deadlineMs) {
        await new Promise(resolve => setTimeout(resolve, LEAVE_POLL_MS));
    }
    log("left", { complete: haveAllLeft() });
    await Promise.all(running.map(standIn => standIn.terminate()));
};

const main = async (): Promise<void> => {
    const flags = readFlags();
    const positions = Array.from({ length: Math.max(flags.count, flags.id.length) }, (_unused, position) => position);
    const running = await Promise.all(positions.map(position => startStandIn(flags, position)));
    for (const { core, address } of running) {
        log("listening", { backendServerId: core.backendServerId, address, incarnation: core.incarnation });
    }
    process.once("SIGTERM", () => {
        leave(running, flags.leaveTimeoutMs).then(() => process.exit(0), () => process.exit(1));
    });
};

main().catch((error: unknown) => {
    log("failed", { message: error instanceof Error ? error.message : String(error) });
    process.exit(1);
});
