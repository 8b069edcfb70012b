import * as fc from "fast-check";
import type { StandInFaults } from "../stand-in/options.js";
import type { Fleet } from "./fleet.js";
import { anyIndex, anyServer, anyZone, defineCommand, isUp } from "./fuzz-command.js";
import type { WeightedCommand } from "./fuzz-command.js";

/** Commands that make backend servers leave or misbehave, and commands of operators. */
export const serverAndOperatorCommands: WeightedCommand[] = [
    defineCommand({
        weight: 2,
        argument: anyServer,
        text: (name: string) => `${name} leaves`,
        isPermitted: isUp,
        execute: (fleet: Fleet, name: string) => {
            fleet.servers.find(candidate => candidate.name === name)?.leave();
        },
    }),
    defineCommand({
        weight: 4,
        argument: fc.tuple(
            anyServer,
            fc.record({
                speedRatio: fc.constantFrom(0.1, 1, 1),
                silent: fc.constantFrom(false, false, true),
                failEveryTask: fc.constantFrom(false, false, true),
            }),
        ),
        text: ([name, faults]: [string, StandInFaults]) => `${name} ${JSON.stringify(faults)}`,
        execute: (fleet: Fleet, [name, faults]: [string, StandInFaults]) => {
            fleet.servers.find(candidate => candidate.name === name)?.setFaults(faults);
        },
    }),
    defineCommand({
        weight: 3,
        argument: anyZone,
        text: (name: string) => `take zone ${name} out of service`,
        execute: (fleet: Fleet, name: string) => {
            fleet.operators.takeZoneOut(name);
        },
    }),
    defineCommand({
        weight: 3,
        argument: anyZone,
        text: (name: string) => `bring zone ${name} back into service`,
        execute: (fleet: Fleet, name: string) => {
            fleet.operators.bringZoneBack(name);
        },
    }),
    defineCommand({
        weight: 2,
        argument: fc.integer({ min: 1, max: 9 }),
        text: (weight: number) => `two operators write the contract, weights ${weight} and ${weight + 1}`,
        execute: (fleet: Fleet, weight: number) => {
            fleet.operators.writeContract(weight);
            fleet.operators.writeContract(weight + 1);
        },
    }),
    defineCommand({
        weight: 2,
        argument: fc.integer({ min: 1, max: 9 }),
        text: (weight: number) => `write the contract, weight ${weight}`,
        execute: (fleet: Fleet, weight: number) => {
            fleet.operators.writeContract(weight);
        },
    }),
    defineCommand({
        weight: 2,
        argument: anyIndex,
        text: (number: number) => `resend command ${number}`,
        execute: (fleet: Fleet, number: number) => {
            const { commands } = fleet.operators;
            const sent = commands[number % Math.max(1, commands.length)];
            if (sent !== undefined) {
                fleet.operators.resend(sent);
            }
        },
    }),
    defineCommand({
        weight: 2,
        argument: fc.constant(undefined),
        text: () => "wait",
        execute: () => undefined,
    }),
];
