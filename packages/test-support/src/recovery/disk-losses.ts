import type { RecoverySimulation } from "./recovery-simulation.js";

/** Time from a machine's start until its process runs. */
export const START_UP_MS = 1_200;
/** Shortest and longest time without power. */
const MIN_OUTAGE_MS = 200;
const MAX_OUTAGE_MS = 3_000;
/** Time after which an empty machine replaces one that is gone for good. */
const REPLACEMENT_DELAY_MS = 1_000;

/** Loss of machines or disks within the tolerance. */
export interface Loss {
    description: string;
    /** Time until the last machine is back, without the start of its process. */
    outageMs: number;
}

type LossHandler = (simulation: RecoverySimulation, maxLostDisks: number) => Promise<Loss> | Loss;

const pickOutageMs = ({ random }: RecoverySimulation): number => random.nextInteger(MIN_OUTAGE_MS, MAX_OUTAGE_MS);

const pickLostMachines = (simulation: RecoverySimulation, maxLostDisks: number): string[] =>
    simulation.pickMachines(simulation.random.nextInteger(1, maxLostDisks));

const powerOff = ({ cluster }: RecoverySimulation, name: string, outageMs: number): void =>
    cluster.crash(name, outageMs + START_UP_MS);

const wipe = (simulation: RecoverySimulation, name: string, outageMs: number): void => {
    powerOff(simulation, name, outageMs);
    simulation.cluster.nodes.get(name)?.fileSystem.wipe();
};

const loseDisks: LossHandler = (simulation, maxLostDisks) => {
    const lost = pickLostMachines(simulation, maxLostDisks);
    const outageMs = pickOutageMs(simulation);
    lost.forEach(name => wipe(simulation, name, outageMs));
    return { description: `disks of ${lost.join(", ")} lost`, outageMs };
};

const loseDisksAndAllPower: LossHandler = (simulation, maxLostDisks) => {
    const lost = pickLostMachines(simulation, maxLostDisks);
    const outageMs = pickOutageMs(simulation);
    simulation.machines.forEach(name =>
        lost.includes(name) ? wipe(simulation, name, outageMs) : powerOff(simulation, name, outageMs)
    );
    return { description: `disks of ${lost.join(", ")} and all power lost`, outageMs };
};

const loseAllPower: LossHandler = simulation => {
    const outageMs = pickOutageMs(simulation);
    simulation.machines.forEach(name => powerOff(simulation, name, outageMs));
    return { description: "all power lost", outageMs };
};

/** What the killed processes wrote without syncing it is read back by their successors before the power is lost. */
const killProcessesBeforeLossOfPower: LossHandler = async simulation => {
    const killed = simulation.pickMachines(simulation.random.nextInteger(1, simulation.machines.size));
    killed.forEach(name => simulation.cluster.kill(name, simulation.random.nextInteger(1, MIN_OUTAGE_MS)));
    const delayMs = simulation.random.nextInteger(0, MAX_OUTAGE_MS);
    await simulation.run(delayMs);
    const { outageMs } = await loseAllPower(simulation, 0);
    return {
        description: `processes of ${killed.join(", ")} killed ${delayMs} ms before all power was lost`,
        outageMs,
    };
};

/** Other machines without power while disks are lost exceed the tolerated losses, but not the tolerated lost disks. */
const loseDisksDuringOutage: LossHandler = async (simulation, maxLostDisks) => {
    const dark = simulation.pickMachines(simulation.random.nextInteger(1, simulation.machines.size - 1));
    dark.forEach(name => powerOff(simulation, name, MAX_OUTAGE_MS));
    const delayMs = simulation.random.nextInteger(0, MIN_OUTAGE_MS);
    await simulation.run(delayMs);
    const lost = pickLostMachines(simulation, maxLostDisks).filter(name => !dark.includes(name));
    lost.forEach(name => wipe(simulation, name, MIN_OUTAGE_MS));
    return {
        description: `disks of ${lost.join(", ")} lost while ${dark.join(", ")} are off`,
        outageMs: MAX_OUTAGE_MS,
    };
};

/** A machine counts as lost until it has had time to catch up, so that its disk may be lost again meanwhile. */
const loseOneDiskTwice: LossHandler = async simulation => {
    const [name = ""] = simulation.pickMachines(1);
    wipe(simulation, name, MIN_OUTAGE_MS);
    const delayMs = simulation.random.nextInteger(MIN_OUTAGE_MS + START_UP_MS, MAX_OUTAGE_MS);
    await simulation.run(delayMs);
    wipe(simulation, name, MIN_OUTAGE_MS);
    return { description: `disk of ${name} lost twice within ${delayMs} ms`, outageMs: MIN_OUTAGE_MS };
};

const replaceMachine: LossHandler = simulation => {
    const [name = ""] = simulation.pickMachines(1);
    const zone = simulation.cluster.nodes.get(name)?.availabilityZone ?? "";
    simulation.removeMachine(name);
    const successor = simulation.addMachine(zone);
    successor.restartAtMs = simulation.cluster.nowMs + REPLACEMENT_DELAY_MS + START_UP_MS;
    return { description: `${name} replaced by ${successor.name}`, outageMs: REPLACEMENT_DELAY_MS };
};

const loseZonePower: LossHandler = simulation => {
    const zones = [...simulation.cluster.nodes.values()].map(node => node.availabilityZone);
    const zone = simulation.random.pick(zones);
    const outageMs = pickOutageMs(simulation);
    for (const node of simulation.cluster.nodes.values()) {
        if (node.availabilityZone === zone) {
            powerOff(simulation, node.name, outageMs);
        }
    }
    return { description: `power of ${zone} lost`, outageMs };
};

const exchangeSeeds: LossHandler = simulation => {
    simulation.exchangeSeeds();
    return { description: "seeds exchanged", outageMs: 0 };
};

const LOSS_HANDLERS: readonly LossHandler[] = [
    loseDisks,
    loseDisks,
    loseDisksAndAllPower,
    loseDisksAndAllPower,
    loseAllPower,
    killProcessesBeforeLossOfPower,
    killProcessesBeforeLossOfPower,
    loseDisksDuringOutage,
    loseOneDiskTwice,
    replaceMachine,
    replaceMachine,
    loseZonePower,
    exchangeSeeds,
];

/** Causes a random loss; the result says when its machines are back. */
export const causeRandomLoss = async (simulation: RecoverySimulation, maxLostDisks: number): Promise<Loss> =>
    simulation.random.pick(LOSS_HANDLERS)(simulation, maxLostDisks);
