import * as fc from "fast-check";
import type { StandInFaults } from "../stand-in/options.js";
import type { Fleet } from "./fleet.js";
import { isUp, position, server, step, zone } from "./step.js";
import type { WeightedStep } from "./step.js";

/** Commands that make backend servers leave or misbehave, and commands of operators. */
export const serverAndOperatorCommands: WeightedStep[] = [
    step({
        weight: 2,
        argument: server,
        text: (name: string) => `${name} leaves`,
        permitted: isUp,
        act: (fleet: Fleet, name: string) => {
            fleet.servers.find(candidate => candidate.name === name)?.leave();
        },
    }),
    step({
        weight: 4,
        argument: fc.tuple(
            server,
            fc.record({
                speedRatio: fc.constantFrom(0.1, 1, 1),
                silent: fc.constantFrom(false, false, true),
                failEveryTask: fc.constantFrom(false, false, true),
            }),
        ),
        text: ([name, faults]: [string, StandInFaults]) => `${name} ${JSON.stringify(faults)}`,
        act: (fleet: Fleet, [name, faults]: [string, StandInFaults]) => {
            fleet.servers.find(candidate => candidate.name === name)?.setFaults(faults);
        },
    }),
    step({
        weight: 3,
        argument: zone,
        text: (name: string) => `take zone ${name} out of service`,
        act: (fleet: Fleet, name: string) => {
            fleet.operators.takeZoneOut(name);
        },
    }),
    step({
        weight: 3,
        argument: zone,
        text: (name: string) => `bring zone ${name} back into service`,
        act: (fleet: Fleet, name: string) => {
            fleet.operators.bringZoneBack(name);
        },
    }),
    step({
        weight: 2,
        argument: fc.integer({ min: 1, max: 9 }),
        text: (weight: number) => `two operators write the contract, weights ${weight} and ${weight + 1}`,
        act: (fleet: Fleet, weight: number) => {
            fleet.operators.writeContract(weight);
            fleet.operators.writeContract(weight + 1);
        },
    }),
    step({
        weight: 2,
        argument: fc.integer({ min: 1, max: 9 }),
        text: (weight: number) => `write the contract, weight ${weight}`,
        act: (fleet: Fleet, weight: number) => {
            fleet.operators.writeContract(weight);
        },
    }),
    step({
        weight: 2,
        argument: position,
        text: (number: number) => `resend command ${number}`,
        act: (fleet: Fleet, number: number) => {
            const { commands } = fleet.operators;
            const sent = commands[number % Math.max(1, commands.length)];
            if (sent !== undefined) {
                fleet.operators.resend(sent);
            }
        },
    }),
    step({
        weight: 2,
        argument: fc.constant(undefined),
        text: () => "wait",
        act: () => undefined,
    }),
];
