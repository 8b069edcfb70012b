import * as fc from "fast-check";
import type { Fleet, Process } from "./fleet.js";
import { anyProcess, defineCommand, findProcess } from "./fuzz-command.js";
import type { WeightedCommand } from "./fuzz-command.js";
import { NO_NETWORK_FAULTS } from "./network.js";
import type { NetworkFaults } from "./network.js";

const otherHosts = (fleet: Fleet, name: string): Process["host"][] => fleet.hosts.filter(host => host.name !== name);

/** Commands that block links, silence connections, set the rates of random faults, and heal the network. */
export const networkCommands: WeightedCommand[] = [
    defineCommand({
        weight: 4,
        argument: fc.tuple(anyProcess, anyProcess, fc.boolean()),
        text: ([from, to, isBidirectional]: [string, string, boolean]) =>
            `block the link ${from} ${isBidirectional ? "<->" : "->"} ${to}`,
        execute: (fleet: Fleet, [from, to, isBidirectional]: [string, string, boolean]) => {
            fleet.network.blockLink(findProcess(fleet, from).host, findProcess(fleet, to).host);
            if (isBidirectional) {
                fleet.network.blockLink(findProcess(fleet, to).host, findProcess(fleet, from).host);
            }
        },
    }),
    defineCommand({
        weight: 2,
        argument: fc.boolean(),
        text: (isBidirectional: boolean) => `isolate the leader${isBidirectional ? "" : ", outbound only"}`,
        execute: (fleet: Fleet, isBidirectional: boolean) => {
            const name = fleet.leader?.name;
            if (name === undefined) {
                return;
            }
            const { host } = findProcess(fleet, name);
            for (const other of otherHosts(fleet, name)) {
                fleet.network.blockLink(host, other);
                if (isBidirectional) {
                    fleet.network.blockLink(other, host);
                }
            }
        },
    }),
    defineCommand({
        weight: 2,
        argument: fc.boolean(),
        text: (isFromReplicas: boolean) =>
            `isolate the leader from ${isFromReplicas ? "the replicas only" : "the entries only"}`,
        execute: (fleet: Fleet, isFromReplicas: boolean) => {
            const { leader } = fleet;
            const others = isFromReplicas ? fleet.controls : fleet.entries;
            for (const other of others) {
                if (leader !== undefined && other.name !== leader.name) {
                    fleet.network.blockLink(leader.host, other.host);
                    fleet.network.blockLink(other.host, leader.host);
                }
            }
        },
    }),
    defineCommand({
        weight: 3,
        argument: fc.tuple(anyProcess, anyProcess),
        text: ([from, to]: [string, string]) => `connection ${from} -> ${to} goes silent`,
        execute: (fleet: Fleet, [from, to]: [string, string]) => {
            fleet.network.silenceConnection(findProcess(fleet, from).host, findProcess(fleet, to).host);
        },
    }),
    defineCommand({
        weight: 4,
        argument: fc.record({
            lossRatio: fc.constantFrom(0, 0.02, 0.1),
            duplicateRatio: fc.constantFrom(0, 0.05, 0.2),
            lateRatio: fc.constantFrom(0, 0.02, 0.1),
            silenceRatio: fc.constantFrom(0, 0.001),
        }),
        text: (faults: NetworkFaults) => `network ${JSON.stringify(faults)}`,
        execute: (fleet: Fleet, faults: NetworkFaults) => {
            fleet.network.faults = faults;
        },
    }),
    defineCommand({
        weight: 7,
        argument: fc.constant(undefined),
        text: () => "heal the network",
        execute: (fleet: Fleet) => {
            fleet.network.heal();
            fleet.network.faults = NO_NETWORK_FAULTS;
        },
    }),
];
