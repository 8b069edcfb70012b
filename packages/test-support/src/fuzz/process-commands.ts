import * as fc from "fast-check";
import { TornWrite } from "../fake-file-system.js";
import type { Fleet } from "./fleet.js";
import { anyControl, anyEntry, anyProcess, defineCommand, findProcess, isUp } from "./fuzz-command.js";
import type { Model, WeightedCommand } from "./fuzz-command.js";

const kill = (fleet: Fleet, name: string, model: Model): void => {
    if (findProcess(fleet, name).host.isAlive) {
        findProcess(fleet, name).kill();
    }
    model.down.add(name);
    model.frozen.delete(name);
};

const restart = (fleet: Fleet, name: string, model: Model): void => {
    fleet.controls.find(candidate => candidate.name === name)?.freeDisk();
    if (!findProcess(fleet, name).host.isAlive) {
        findProcess(fleet, name).start();
    }
    model.down.delete(name);
};

/**
 * Loses a disk and starts its repair. Does nothing unless all replicas are voters with their current disks, since only
 * then a majority still has all data.
 */
const loseDisk = (fleet: Fleet, name: string, onRepaired: () => void = () => undefined): void => {
    const control = fleet.controls.find(candidate => candidate.name === name);
    const { leader, operators } = fleet;
    if (control === undefined || leader === undefined || operators.openRepairCount > 0) {
        return;
    }
    const lostDiskId = control.diskId;
    const areAllMembers = fleet.controls.every(({ diskId }) => leader.memberDiskIds.includes(diskId));
    if (lostDiskId === "" || !areAllMembers) {
        return;
    }
    control.loseDisk();
    control.start();
    operators.repair(control, lostDiskId, onRepaired);
};

/** Commands that freeze, kill, restart and shut down processes, and lose disks. */
export const processCommands: WeightedCommand[] = [
    defineCommand({
        weight: 5,
        argument: anyProcess,
        text: (name: string) => `freeze ${name}`,
        isPermitted: (model: Readonly<Model>, name: string) => isUp(model, name) && !model.frozen.has(name),
        execute: (fleet: Fleet, name: string, model: Model) => {
            findProcess(fleet, name).host.freeze();
            model.frozen.add(name);
        },
    }),
    defineCommand({
        weight: 6,
        argument: anyProcess,
        text: (name: string) => `thaw ${name}`,
        isPermitted: (model: Readonly<Model>, name: string) => model.frozen.has(name),
        execute: (fleet: Fleet, name: string, model: Model) => {
            findProcess(fleet, name).host.thaw();
            model.frozen.delete(name);
        },
    }),
    defineCommand({
        weight: 2,
        argument: fc.constant(undefined),
        text: () => "freeze the leader",
        execute: (fleet: Fleet, _unused: undefined, model: Model) => {
            if (fleet.leader !== undefined) {
                fleet.leader.host.freeze();
                model.frozen.add(fleet.leader.name);
            }
        },
    }),
    defineCommand({
        weight: 3,
        argument: fc.constant(undefined),
        text: () => "kill and restart the leader",
        execute: (fleet: Fleet, _unused: undefined, model: Model) => {
            const { leader } = fleet;
            if (leader !== undefined) {
                kill(fleet, leader.name, model);
                restart(fleet, leader.name, model);
            }
        },
    }),
    defineCommand({
        weight: 4,
        argument: anyProcess,
        text: (name: string) => `kill ${name}`,
        isPermitted: isUp,
        execute: kill,
    }),
    defineCommand({
        weight: 8,
        argument: anyProcess,
        text: (name: string) => `restart ${name}`,
        isPermitted: (model: Readonly<Model>, name: string) => model.down.has(name),
        execute: restart,
    }),
    defineCommand({
        weight: 3,
        argument: fc.tuple(anyControl, fc.constantFrom(...Object.values(TornWrite))),
        text: ([name, torn]: [string, TornWrite]) => `kill and restart ${name}, unsynced data ${torn}`,
        isPermitted: (model: Readonly<Model>, [name]: [string, TornWrite]) => isUp(model, name),
        execute: (fleet: Fleet, [name, torn]: [string, TornWrite], model: Model) => {
            fleet.controls.find(candidate => candidate.name === name)?.kill(torn);
            model.frozen.delete(name);
            restart(fleet, name, model);
        },
    }),
    defineCommand({
        weight: 3,
        argument: anyControl,
        text: (name: string) => `kill and restart only the process of ${name}`,
        isPermitted: isUp,
        execute: (fleet: Fleet, name: string, model: Model) => {
            fleet.controls.find(candidate => candidate.name === name)?.killProcess();
            model.frozen.delete(name);
            restart(fleet, name, model);
        },
    }),
    defineCommand({
        weight: 3,
        argument: anyControl,
        text: (name: string) => `lose the disk of ${name} and repair it`,
        isPermitted: isUp,
        execute: (fleet: Fleet, name: string, model: Model) => {
            loseDisk(fleet, name);
            if (!findProcess(fleet, name).host.isFrozen) {
                model.frozen.delete(name);
            }
        },
    }),
    defineCommand({
        weight: 2,
        argument: fc.tuple(anyControl, anyControl).filter(([first, second]) => first !== second),
        text: ([first, second]: [string, string]) =>
            `lose the disk of ${first}, and that of ${second} once it is repaired`,
        isPermitted: (model: Readonly<Model>, [name]: [string, string]) => isUp(model, name),
        execute: (fleet: Fleet, [first, second]: [string, string]) => {
            loseDisk(fleet, first, () => {
                loseDisk(fleet, second);
            });
        },
    }),
    defineCommand({
        weight: 2,
        argument: fc.constant(undefined),
        text: () => "the leader hands over its leadership and keeps running",
        execute: (fleet: Fleet) => {
            fleet.leader?.runner?.handOver(fleet.simulation.nowMs);
        },
    }),
    defineCommand({
        weight: 2,
        argument: fc.constant(undefined),
        text: () => "planned shutdown and restart of the leader",
        execute: (fleet: Fleet) => {
            const { leader } = fleet;
            leader?.shutDown(() => {
                leader.start();
            });
        },
    }),
    defineCommand({
        weight: 2,
        argument: anyControl,
        text: (name: string) => `only ${name} returns corrupted blobs`,
        execute: (fleet: Fleet, name: string) => {
            fleet.controls.forEach(control => {
                control.corruptsReads = control.name === name;
            });
        },
    }),
    defineCommand({
        weight: 1,
        argument: anyControl,
        text: (name: string) => `fill the disk of ${name}`,
        isPermitted: isUp,
        execute: (fleet: Fleet, name: string, model: Model) => {
            fleet.controls.find(candidate => candidate.name === name)?.fillDisk();
            model.down.add(name);
        },
    }),
    defineCommand({
        weight: 2,
        argument: anyEntry,
        text: (name: string) => `planned shutdown and restart of ${name}`,
        isPermitted: (model: Readonly<Model>, name: string) => isUp(model, name) && !model.frozen.has(name),
        execute: (fleet: Fleet, name: string) => {
            const entry = fleet.entries.find(candidate => candidate.name === name);
            entry?.shutDown(unanswered => {
                fleet.oracle.recordEntryShutdown(name, unanswered);
                entry.start();
            });
        },
    }),
    defineCommand({
        weight: 2,
        argument: anyControl,
        text: (name: string) => `planned shutdown and restart of ${name}`,
        isPermitted: (model: Readonly<Model>, name: string) => isUp(model, name) && !model.frozen.has(name),
        execute: (fleet: Fleet, name: string) => {
            const control = fleet.controls.find(candidate => candidate.name === name);
            control?.shutDown(() => {
                control.start();
            });
        },
    }),
];
