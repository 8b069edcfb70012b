import * as fc from "fast-check";
import { ZONES } from "./fleet.js";
import type { Fleet, Process } from "./fleet.js";

/** What the model of a run knows: processes and zones that a command may act on. */
export interface Model {
    down: Set<string>;
    frozen: Set<string>;
    zonesOut: Set<string>;
    jobs: number;
}

export const initialModel = (): Model => ({ down: new Set(), frozen: new Set(), zonesOut: new Set(), jobs: 0 });

type Run = (fleet: Fleet, model: Model) => void;

/** One command of a run, followed by some time in which nothing else happens. */
class Step implements fc.AsyncCommand<Model, Fleet> {
    constructor(
        readonly text: string,
        readonly afterMs: number,
        readonly permitted: (model: Readonly<Model>) => boolean,
        readonly act: Run,
    ) {}

    check(model: Readonly<Model>): boolean {
        return this.permitted(model);
    }

    async run(model: Model, fleet: Fleet): Promise<void> {
        fleet.trace.push(this.toString());
        this.act(fleet, model);
        await fleet.advance(this.afterMs);
    }

    toString(): string {
        return `${this.text}, ${this.afterMs} ms`;
    }
}

/** A kind of command, its argument, and when and how it acts. */
export interface Kind<T> {
    weight: number;
    argument: fc.Arbitrary<T>;
    text: (argument: T) => string;
    permitted?: (model: Readonly<Model>, argument: T) => boolean;
    act: (fleet: Fleet, argument: T, model: Model) => void;
}

/** A command with the weight of its choice. */
export interface WeightedStep {
    weight: number;
    arbitrary: fc.Arbitrary<Step>;
}

const afterMs = fc.oneof(
    { weight: 3, arbitrary: fc.nat({ max: 20 }) },
    { weight: 4, arbitrary: fc.nat({ max: 400 }) },
    { weight: 3, arbitrary: fc.nat({ max: 2_000 }) },
    { weight: 1, arbitrary: fc.nat({ max: 13_000 }) },
);

/** Makes a command of a kind. */
export const step = <T>({ weight, argument, text, permitted, act }: Kind<T>): WeightedStep => ({
    weight,
    arbitrary: fc.tuple(argument, afterMs).map(([value, delayMs]) =>
        new Step(
            text(value),
            delayMs,
            model => permitted?.(model, value) ?? true,
            (fleet, model) => {
                act(fleet, value, model);
            },
        )
    ),
});

const CONTROLS = ["c1", "c2", "c3"];
const ENTRIES = ["e1", "e2", "e3"];
const SERVERS = ["s1", "s2", "s3", "s4", "s5", "s6"];

export const control = fc.constantFrom(...CONTROLS);
export const entry = fc.constantFrom(...ENTRIES);
export const server = fc.constantFrom(...SERVERS);
export const anyProcess = fc.constantFrom(...CONTROLS, ...ENTRIES, ...SERVERS);
export const zone = fc.constantFrom(...ZONES);
export const position = fc.nat({ max: 999 });

/** Returns the process with the given name. */
export const find = (fleet: Fleet, name: string): Process => {
    const found = fleet.processes.find(({ host }) => host.name === name);
    if (found === undefined) {
        throw new Error(`no process ${name}`);
    }
    return found;
};

/** Whether no command has ended the process. */
export const isUp = (model: Readonly<Model>, name: string): boolean => !model.down.has(name);
