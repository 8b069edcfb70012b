import * as fc from "fast-check";
import type { Fleet, Process } from "./fleet.js";
import { CALM_NETWORK } from "./network.js";
import type { NetworkFaults } from "./network.js";
import { anyProcess, find, step } from "./step.js";
import type { WeightedStep } from "./step.js";

const otherHosts = (fleet: Fleet, name: string): Process["host"][] => fleet.hosts.filter(host => host.name !== name);

/** Commands that block links, silence connections, set the rates of random faults, and heal the network. */
export const networkCommands: WeightedStep[] = [
    step({
        weight: 4,
        argument: fc.tuple(anyProcess, anyProcess, fc.boolean()),
        text: ([from, to, both]: [string, string, boolean]) => `block the link ${from} ${both ? "<->" : "->"} ${to}`,
        act: (fleet: Fleet, [from, to, both]: [string, string, boolean]) => {
            fleet.network.cut(find(fleet, from).host, find(fleet, to).host);
            if (both) {
                fleet.network.cut(find(fleet, to).host, find(fleet, from).host);
            }
        },
    }),
    step({
        weight: 2,
        argument: fc.boolean(),
        text: (both: boolean) => `isolate the leader${both ? "" : ", outbound only"}`,
        act: (fleet: Fleet, both: boolean) => {
            const name = fleet.leader?.name;
            if (name === undefined) {
                return;
            }
            const { host } = find(fleet, name);
            for (const other of otherHosts(fleet, name)) {
                fleet.network.cut(host, other);
                if (both) {
                    fleet.network.cut(other, host);
                }
            }
        },
    }),
    step({
        weight: 2,
        argument: fc.boolean(),
        text: (entries: boolean) => `isolate the leader from ${entries ? "the replicas only" : "the entries only"}`,
        act: (fleet: Fleet, entries: boolean) => {
            const { leader } = fleet;
            const others = entries ? fleet.controls : fleet.entries;
            for (const other of others) {
                if (leader !== undefined && other.name !== leader.name) {
                    fleet.network.cut(leader.host, other.host);
                    fleet.network.cut(other.host, leader.host);
                }
            }
        },
    }),
    step({
        weight: 3,
        argument: fc.tuple(anyProcess, anyProcess),
        text: ([from, to]: [string, string]) => `connection ${from} -> ${to} goes silent`,
        act: (fleet: Fleet, [from, to]: [string, string]) => {
            fleet.network.silence(find(fleet, from).host, find(fleet, to).host);
        },
    }),
    step({
        weight: 4,
        argument: fc.record({
            lossRatio: fc.constantFrom(0, 0.02, 0.1),
            duplicateRatio: fc.constantFrom(0, 0.05, 0.2),
            lateRatio: fc.constantFrom(0, 0.02, 0.1),
            silenceRatio: fc.constantFrom(0, 0.001),
        }),
        text: (faults: NetworkFaults) => `network ${JSON.stringify(faults)}`,
        act: (fleet: Fleet, faults: NetworkFaults) => {
            fleet.network.faults = faults;
        },
    }),
    step({
        weight: 7,
        argument: fc.constant(undefined),
        text: () => "heal the network",
        act: (fleet: Fleet) => {
            fleet.network.heal();
            fleet.network.faults = CALM_NETWORK;
        },
    }),
];
