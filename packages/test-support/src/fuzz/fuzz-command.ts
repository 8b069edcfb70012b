import * as fc from "fast-check";
import { ZONES } from "./fleet.js";
import type { Fleet, Process } from "./fleet.js";

/** Simplified state of a run (the model of fast-check), from which commands derive whether they are permitted. */
export interface Model {
    /** Names of the processes that commands have ended, or whose disks they have filled. */
    down: Set<string>;
    /** Names of the processes that commands have frozen. */
    frozen: Set<string>;
    zonesOutOfService: Set<string>;
    /** Number of submitted jobs. */
    jobs: number;
}

/** Returns the model at the start of a run: all processes are up and no job has been submitted. */
export const initialModel = (): Model => ({
    down: new Set(),
    frozen: new Set(),
    zonesOutOfService: new Set(),
    jobs: 0,
});

type CommandAction = (fleet: Fleet, model: Model) => void;

/** One command of a run, followed by a pause before the next command. */
class FuzzCommand implements fc.AsyncCommand<Model, Fleet> {
    constructor(
        readonly text: string,
        readonly pauseMs: number,
        readonly isPermitted: (model: Readonly<Model>) => boolean,
        readonly execute: CommandAction,
    ) {}

    check(model: Readonly<Model>): boolean {
        return this.isPermitted(model);
    }

    async run(model: Model, fleet: Fleet): Promise<void> {
        fleet.trace.push(this.toString());
        this.execute(fleet, model);
        await fleet.advance(this.pauseMs);
    }

    toString(): string {
        return `${this.text}, ${this.pauseMs} ms`;
    }
}

/** A kind of command: its weight, its argument, its text in traces, when it is permitted and what it does. */
export interface CommandDefinition<T> {
    weight: number;
    argument: fc.Arbitrary<T>;
    text: (argument: T) => string;
    isPermitted?: (model: Readonly<Model>, argument: T) => boolean;
    execute: (fleet: Fleet, argument: T, model: Model) => void;
}

/** An arbitrary for commands of one kind, with its weight among the kinds. */
export interface WeightedCommand {
    weight: number;
    arbitrary: fc.Arbitrary<FuzzCommand>;
}

/** Mostly short pauses. The longest ones, of up to 13 s, outlast the task leases of 10 s, so that leases expire. */
const anyPauseMs = fc.oneof(
    { weight: 3, arbitrary: fc.nat({ max: 20 }) },
    { weight: 4, arbitrary: fc.nat({ max: 400 }) },
    { weight: 3, arbitrary: fc.nat({ max: 2_000 }) },
    { weight: 1, arbitrary: fc.nat({ max: 13_000 }) },
);

/** Defines a kind of command. Each command is followed by a random pause. */
export const defineCommand = <T>(
    { weight, argument, text, isPermitted, execute }: CommandDefinition<T>,
): WeightedCommand => ({
    weight,
    arbitrary: fc.tuple(argument, anyPauseMs).map(([value, pauseMs]) =>
        new FuzzCommand(
            text(value),
            pauseMs,
            model => isPermitted?.(model, value) ?? true,
            (fleet, model) => {
                execute(fleet, value, model);
            },
        )
    ),
});

const CONTROLS = ["c1", "c2", "c3"];
const ENTRIES = ["e1", "e2", "e3"];
const SERVERS = ["s1", "s2", "s3", "s4", "s5", "s6"];

/** Name of a control replica. */
export const anyControl = fc.constantFrom(...CONTROLS);
/** Name of an entry. */
export const anyEntry = fc.constantFrom(...ENTRIES);
/** Name of a backend server. */
export const anyServer = fc.constantFrom(...SERVERS);
/** Name of any process. */
export const anyProcess = fc.constantFrom(...CONTROLS, ...ENTRIES, ...SERVERS);
/** Name of an availability zone. */
export const anyZone = fc.constantFrom(...ZONES);
/** Number that selects a job or a command, modulo their count. */
export const anyIndex = fc.nat({ max: 999 });

/** Returns the process with the given name; throws if there is none. */
export const findProcess = (fleet: Fleet, name: string): Process => {
    const process = fleet.processes.find(({ host }) => host.name === name);
    if (process === undefined) {
        throw new Error(`unknown process ${name}`);
    }
    return process;
};

/** Returns whether no command has ended the process; a failure may still have ended it. */
export const isUp = (model: Readonly<Model>, name: string): boolean => !model.down.has(name);
