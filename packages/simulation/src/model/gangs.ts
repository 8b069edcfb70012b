import { RunEnd } from "@waxwingspread/workflow";
import type { StepSpecification, TaskPosition } from "@waxwingspread/workflow";
import type { ServerRun } from "./server-run.js";
import type { SimulatedServer } from "./simulated-server.js";

/** Lets the members of gangs work, and end, together. */
export class Gangs {
    readonly #servers: readonly SimulatedServer[];
    readonly #stepOf: (position: TaskPosition) => StepSpecification | undefined;

    constructor(
        servers: readonly SimulatedServer[],
        stepOf: (position: TaskPosition) => StepSpecification | undefined,
    ) {
        this.#servers = servers;
        this.#stepOf = stepOf;
    }

    /** Starts the work of a gang once all members of one run are present. */
    recordStart(position: TaskPosition): void {
        const members = this.#presentMembers(position);
        if (members.length > 0 && members.length === this.#stepOf(position)?.taskCount) {
            members.forEach(({ server, run }) => server.completeGang(run.task));
        }
    }

    /** Ends the other members of a gang. */
    recordEnd(position: TaskPosition, end: RunEnd): void {
        if (end === RunEnd.GangBroken) {
            return;
        }
        const membersEnd = end === RunEnd.Done ? RunEnd.Done : RunEnd.GangBroken;
        this.#presentMembers(position)
            .filter(({ run }) => run.isGangComplete)
            .forEach(({ server, run }) => server.endGangMember(run.task, membersEnd));
    }

    #presentMembers(position: TaskPosition): { server: SimulatedServer; run: ServerRun }[] {
        if (this.#stepOf(position)?.isGang !== true) {
            return [];
        }
        const isMember = (other: TaskPosition): boolean =>
            other.jobId === position.jobId && other.step === position.step && other.occurrence === position.occurrence;
        return this.#servers.flatMap(server =>
            [...server.runs.values()].filter(run => isMember(run.position)).map(run => ({ server, run }))
        );
    }
}
