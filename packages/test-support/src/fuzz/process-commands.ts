import * as fc from "fast-check";
import { TornWrite } from "../fake-file-system.js";
import type { Fleet } from "./fleet.js";
import { anyProcess, control, entry, find, isUp, step } from "./step.js";
import type { Model, WeightedStep } from "./step.js";

const kill = (fleet: Fleet, name: string, model: Model): void => {
    if (find(fleet, name).host.alive) {
        find(fleet, name).kill();
    }
    model.down.add(name);
    model.frozen.delete(name);
};

const restart = (fleet: Fleet, name: string, model: Model): void => {
    fleet.controls.find(candidate => candidate.name === name)?.freeDisk();
    if (!find(fleet, name).host.alive) {
        find(fleet, name).start();
    }
    model.down.delete(name);
};

/**
 * Loses a disk and starts its repair. Does nothing unless all replicas are voters with their current disks, since only
 * then a majority still has all data.
 */
const loseDisk = (fleet: Fleet, name: string, repaired: () => void = () => undefined): void => {
    const lost = fleet.controls.find(candidate => candidate.name === name);
    const { leader, operators } = fleet;
    if (lost === undefined || leader === undefined || operators.repairsOpen > 0) {
        return;
    }
    const lostDiskId = lost.diskId;
    const complete = fleet.controls.every(({ diskId }) => leader.memberDiskIds.includes(diskId));
    if (lostDiskId === "" || !complete) {
        return;
    }
    lost.loseDisk();
    lost.start();
    operators.repair(lost, lostDiskId, repaired);
};

/** Commands that freeze, kill, restart and shut down processes, and lose disks. */
export const processCommands: WeightedStep[] = [
    step({
        weight: 5,
        argument: anyProcess,
        text: (name: string) => `freeze ${name}`,
        permitted: (model: Readonly<Model>, name: string) => isUp(model, name) && !model.frozen.has(name),
        act: (fleet: Fleet, name: string, model: Model) => {
            find(fleet, name).host.freeze();
            model.frozen.add(name);
        },
    }),
    step({
        weight: 6,
        argument: anyProcess,
        text: (name: string) => `thaw ${name}`,
        permitted: (model: Readonly<Model>, name: string) => model.frozen.has(name),
        act: (fleet: Fleet, name: string, model: Model) => {
            find(fleet, name).host.thaw();
            model.frozen.delete(name);
        },
    }),
    step({
        weight: 2,
        argument: fc.constant(undefined),
        text: () => "freeze the leader",
        act: (fleet: Fleet, _unused: undefined, model: Model) => {
            if (fleet.leader !== undefined) {
                fleet.leader.host.freeze();
                model.frozen.add(fleet.leader.name);
            }
        },
    }),
    step({
        weight: 3,
        argument: fc.constant(undefined),
        text: () => "kill and restart the leader",
        act: (fleet: Fleet, _unused: undefined, model: Model) => {
            const { leader } = fleet;
            if (leader !== undefined) {
                kill(fleet, leader.name, model);
                restart(fleet, leader.name, model);
            }
        },
    }),
    step({
        weight: 4,
        argument: anyProcess,
        text: (name: string) => `kill ${name}`,
        permitted: isUp,
        act: kill,
    }),
    step({
        weight: 8,
        argument: anyProcess,
        text: (name: string) => `restart ${name}`,
        permitted: (model: Readonly<Model>, name: string) => model.down.has(name),
        act: restart,
    }),
    step({
        weight: 3,
        argument: fc.tuple(control, fc.constantFrom(...Object.values(TornWrite))),
        text: ([name, torn]: [string, TornWrite]) => `kill and restart ${name}, unsynced data ${torn}`,
        permitted: (model: Readonly<Model>, [name]: [string, TornWrite]) => isUp(model, name),
        act: (fleet: Fleet, [name, torn]: [string, TornWrite], model: Model) => {
            fleet.controls.find(candidate => candidate.name === name)?.kill(torn);
            model.frozen.delete(name);
            restart(fleet, name, model);
        },
    }),
    step({
        weight: 3,
        argument: control,
        text: (name: string) => `lose the disk of ${name} and repair it`,
        permitted: isUp,
        act: (fleet: Fleet, name: string, model: Model) => {
            loseDisk(fleet, name);
            if (!find(fleet, name).host.frozen) {
                model.frozen.delete(name);
            }
        },
    }),
    step({
        weight: 2,
        argument: fc.tuple(control, control).filter(([first, second]) => first !== second),
        text: ([first, second]: [string, string]) =>
            `lose the disk of ${first}, and that of ${second} once it is repaired`,
        permitted: (model: Readonly<Model>, [name]: [string, string]) => isUp(model, name),
        act: (fleet: Fleet, [first, second]: [string, string]) => {
            loseDisk(fleet, first, () => {
                loseDisk(fleet, second);
            });
        },
    }),
    step({
        weight: 2,
        argument: fc.constant(undefined),
        text: () => "the leader hands over its leadership and keeps running",
        act: (fleet: Fleet) => {
            fleet.leader?.runner?.handOver(fleet.simulation.nowMs);
        },
    }),
    step({
        weight: 2,
        argument: fc.constant(undefined),
        text: () => "planned shutdown and restart of the leader",
        act: (fleet: Fleet) => {
            const { leader } = fleet;
            leader?.shutDown(() => {
                leader.start();
            });
        },
    }),
    step({
        weight: 2,
        argument: control,
        text: (name: string) => `only ${name} returns corrupted blobs`,
        act: (fleet: Fleet, name: string) => {
            fleet.controls.forEach(found => {
                found.damagesReads = found.name === name;
            });
        },
    }),
    step({
        weight: 1,
        argument: control,
        text: (name: string) => `fill the disk of ${name}`,
        permitted: isUp,
        act: (fleet: Fleet, name: string, model: Model) => {
            fleet.controls.find(candidate => candidate.name === name)?.fillDisk();
            model.down.add(name);
        },
    }),
    step({
        weight: 2,
        argument: entry,
        text: (name: string) => `planned shutdown and restart of ${name}`,
        permitted: (model: Readonly<Model>, name: string) => isUp(model, name) && !model.frozen.has(name),
        act: (fleet: Fleet, name: string) => {
            const found = fleet.entries.find(candidate => candidate.name === name);
            found?.shutDown(unanswered => {
                fleet.oracle.drained(name, unanswered);
                found.start();
            });
        },
    }),
    step({
        weight: 2,
        argument: control,
        text: (name: string) => `planned shutdown and restart of ${name}`,
        permitted: (model: Readonly<Model>, name: string) => isUp(model, name) && !model.frozen.has(name),
        act: (fleet: Fleet, name: string) => {
            const found = fleet.controls.find(candidate => candidate.name === name);
            found?.shutDown(() => {
                found.start();
            });
        },
    }),
];
