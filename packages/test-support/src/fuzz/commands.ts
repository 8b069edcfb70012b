import * as fc from "fast-check";
import { TornWrite } from "../fake-file-system.js";
import type { JobWish } from "./callers.js";
import { ZONES } from "./fleet.js";
import type { Fleet, Process } from "./fleet.js";
import { CALM_NETWORK } from "./network.js";

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

interface Kind<T> {
    weight: number;
    argument: fc.Arbitrary<T>;
    text: (argument: T) => string;
    permitted?: (model: Readonly<Model>, argument: T) => boolean;
    act: (fleet: Fleet, argument: T, model: Model) => void;
}

interface WeightedStep {
    weight: number;
    arbitrary: fc.Arbitrary<Step>;
}

const afterMs = fc.oneof(
    { weight: 3, arbitrary: fc.nat({ max: 20 }) },
    { weight: 4, arbitrary: fc.nat({ max: 400 }) },
    { weight: 3, arbitrary: fc.nat({ max: 2_000 }) },
    { weight: 1, arbitrary: fc.nat({ max: 13_000 }) },
);

const step = <T>({ weight, argument, text, permitted, act }: Kind<T>): WeightedStep => ({
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

const control = fc.constantFrom(...CONTROLS);
const entry = fc.constantFrom(...ENTRIES);
const server = fc.constantFrom(...SERVERS);
const anyProcess = fc.constantFrom(...CONTROLS, ...ENTRIES, ...SERVERS);
const zone = fc.constantFrom(...ZONES);
const position = fc.nat({ max: 999 });

const wish: fc.Arbitrary<JobWish> = fc.record({
    workClass: fc.constantFrom("check", "trial", "study", "study", "watch"),
    runMs: fc.constantFrom(30, 300, 1_500, 6_000),
    fail: fc.constantFrom(false, false, false, false, false, true),
    repeatable: fc.constantFrom(true, true, true, false),
});

const find = (fleet: Fleet, name: string): Process => {
    const found = fleet.processes.find(({ host }) => host.name === name);
    if (found === undefined) {
        throw new Error(`no process ${name}`);
    }
    return found;
};

const isUp = (model: Readonly<Model>, name: string): boolean => !model.down.has(name);

const kill = (fleet: Fleet, name: string, model: Model): void => {
    if (find(fleet, name).host.alive) {
        find(fleet, name).kill();
    }
    model.down.add(name);
    model.frozen.delete(name);
};

const restart = (fleet: Fleet, name: string, model: Model): void => {
    if (!find(fleet, name).host.alive) {
        find(fleet, name).start();
    }
    model.down.delete(name);
};

const pickJob = (fleet: Fleet, number: number): Fleet["callers"]["jobs"][number] | undefined =>
    fleet.callers.jobs[number % Math.max(1, fleet.callers.jobs.length)];

const hasJobs = (model: Readonly<Model>): boolean => model.jobs > 0;

/** A disk may be lost while all members are voters with their disks, so that a majority keeps everything. */
const loseDisk = (fleet: Fleet, name: string): void => {
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
    operators.repair(lost, lostDiskId);
};

const otherHosts = (fleet: Fleet, name: string): Process["host"][] => fleet.hosts.filter(host => host.name !== name);

const callerCommands: WeightedStep[] = [
    step({
        weight: 14,
        argument: wish,
        text: ({ workClass, runMs, fail, repeatable }: JobWish) =>
            `submit ${workClass} of ${runMs} ms${fail ? ", fails" : ""}${repeatable ? "" : ", not repeatable"}`,
        act: (fleet: Fleet, argument: JobWish, model: Model) => {
            fleet.callers.submit(argument);
            model.jobs += 1;
        },
    }),
    step({
        weight: 3,
        argument: fc.integer({ min: 4, max: 30 }),
        text: (count: number) => `submit ${count} batch jobs`,
        act: (fleet: Fleet, count: number, model: Model) => {
            for (let number = 0; number < count; number += 1) {
                const workClass = number % 3 === 0 ? "trial" : "study";
                fleet.callers.submit({ workClass, runMs: 3_000 });
            }
            model.jobs += count;
        },
    }),
    step({
        weight: 3,
        argument: fc.integer({ min: 2, max: 12 }),
        text: (count: number) => `submit ${count} urgent jobs`,
        act: (fleet: Fleet, count: number, model: Model) => {
            for (let number = 0; number < count; number += 1) {
                fleet.callers.submit({ workClass: "check", runMs: 200 });
            }
            model.jobs += count;
        },
    }),
    step({
        weight: 2,
        argument: wish,
        text: ({ workClass }: JobWish) => `submit two contents of ${workClass} under one id`,
        act: (fleet: Fleet, argument: JobWish, model: Model) => {
            fleet.callers.submit(argument, 2);
            model.jobs += 1;
        },
    }),
    step({
        weight: 2,
        argument: position,
        text: (number: number) => `submit job ${number} with other content`,
        permitted: hasJobs,
        act: (fleet: Fleet, number: number) => {
            const job = pickJob(fleet, number);
            if (job?.winner !== undefined) {
                fleet.callers.submitOther(job);
            }
        },
    }),
    step({
        weight: 2,
        argument: position,
        text: (number: number) => `submit job ${number} again at another entry`,
        permitted: hasJobs,
        act: (fleet: Fleet, number: number) => {
            const job = pickJob(fleet, number);
            if (job !== undefined) {
                fleet.callers.putOnce(job, job.body);
            }
        },
    }),
    step({
        weight: 2,
        argument: fc.constant(undefined),
        text: () => "lose the answers to all callers",
        act: (fleet: Fleet) => {
            fleet.callers.loseAnswers();
        },
    }),
    step({
        weight: 3,
        argument: position,
        text: (number: number) => `cancel job ${number}`,
        permitted: hasJobs,
        act: (fleet: Fleet, number: number) => {
            const job = pickJob(fleet, number);
            if (job !== undefined) {
                fleet.callers.cancel([job]);
            }
        },
    }),
    step({
        weight: 2,
        argument: fc.constant(undefined),
        text: () => "cancel a wave of jobs",
        permitted: hasJobs,
        act: (fleet: Fleet) => {
            fleet.callers.cancel(fleet.callers.open.filter((_unused, number) => number % 2 === 0));
        },
    }),
    step({
        weight: 2,
        argument: position,
        text: (number: number) => `ask about job ${number}`,
        permitted: hasJobs,
        act: (fleet: Fleet, number: number) => {
            const job = pickJob(fleet, number);
            if (job?.winner !== undefined) {
                fleet.callers.askAgain(job);
            }
        },
    }),
];

const processCommands: WeightedStep[] = [
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
        text: (name: string) => `shut ${name} down as planned`,
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
        text: (name: string) => `shut ${name} down as planned`,
        permitted: (model: Readonly<Model>, name: string) => isUp(model, name) && !model.frozen.has(name),
        act: (fleet: Fleet, name: string) => {
            const found = fleet.controls.find(candidate => candidate.name === name);
            found?.shutDown(() => {
                found.start();
            });
        },
    }),
];

const networkCommands: WeightedStep[] = [
    step({
        weight: 4,
        argument: fc.tuple(anyProcess, anyProcess, fc.boolean()),
        text: ([from, to, both]: [string, string, boolean]) => `cut ${from} ${both ? "<->" : "->"} ${to}`,
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
        text: (both: boolean) => `isolate the leader${both ? "" : " from what it sends"}`,
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
        text: (entries: boolean) => `isolate the leader from ${entries ? "replicas only" : "entries only"}`,
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
        text: (faults: object) => `network ${JSON.stringify(faults)}`,
        act: (fleet: Fleet, faults: typeof CALM_NETWORK) => {
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

const serverAndOperatorCommands: WeightedStep[] = [
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
        text: ([name, faults]: [string, object]) => `${name} ${JSON.stringify(faults)}`,
        act: (fleet: Fleet, [name, faults]: [string, object]) => {
            fleet.servers.find(candidate => candidate.name === name)?.setFaults(faults);
        },
    }),
    step({
        weight: 3,
        argument: zone,
        text: (name: string) => `zone out ${name}`,
        act: (fleet: Fleet, name: string) => {
            fleet.operators.takeZoneOut(name);
        },
    }),
    step({
        weight: 3,
        argument: zone,
        text: (name: string) => `zone back ${name}`,
        act: (fleet: Fleet, name: string) => {
            fleet.operators.bringZoneBack(name);
        },
    }),
    step({
        weight: 2,
        argument: fc.integer({ min: 1, max: 9 }),
        text: (weight: number) => `two operators amend the contract, weights ${weight} and ${weight + 1}`,
        act: (fleet: Fleet, weight: number) => {
            fleet.operators.writeContract(weight);
            fleet.operators.writeContract(weight + 1);
        },
    }),
    step({
        weight: 2,
        argument: fc.integer({ min: 1, max: 9 }),
        text: (weight: number) => `amend the contract, weight ${weight}`,
        act: (fleet: Fleet, weight: number) => {
            fleet.operators.writeContract(weight);
        },
    }),
    step({
        weight: 2,
        argument: position,
        text: (number: number) => `send command ${number} again`,
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
        text: () => "wait for the leases to expire",
        act: () => undefined,
    }),
];

/** All commands of a run. */
export const command: fc.Arbitrary<fc.AsyncCommand<Model, Fleet>> = fc.oneof(
    ...callerCommands,
    ...processCommands,
    ...networkCommands,
    ...serverAndOperatorCommands,
);
