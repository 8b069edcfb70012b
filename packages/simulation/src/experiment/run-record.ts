import type { TaskKind } from "@waxwingspread/workflow";
import { RunEnd } from "@waxwingspread/workflow";
import type { ServerRun } from "../model/server-run.js";
import type { ServerObserver } from "../model/simulated-server.js";
import type { Scenario, ScenarioJob } from "./scenario.js";

/** Counts of one kind of task. */
export interface KindCounts {
    tasks: number;
    starts: number;
    /** Starts of tasks beyond their first. */
    restarts: number;
    stops: number;
}

/** How long a job took. */
export interface JobFinish {
    kind: TaskKind;
    lengthMs: number;
    tasks: number;
    finishMs: number;
    /** Longest chain of its work. */
    boundMs: number;
}

/** Follows the runs of a scenario: starts, stops and the ends of jobs. */
export class RunRecord {
    readonly #jobs: ReadonlyMap<string, ScenarioJob>;
    readonly #starts = new Map<string, number>();
    readonly #stops = new Map<string, number>();
    readonly #openTasks = new Map<string, number>();
    readonly #finishedAtMs = new Map<string, number>();
    readonly #startMs: number;
    readonly #nowMs: () => number;
    largestAnswerBytes = 0;

    constructor(scenario: Scenario, nowMs: () => number) {
        this.#jobs = new Map(scenario.jobs.map(job => [job.specification.id, job]));
        this.#nowMs = nowMs;
        this.#startMs = nowMs();
        this.#jobs.forEach(({ specification }, id) =>
            this.#openTasks.set(id, specification.steps.reduce((sum, { taskCount }) => sum + taskCount, 0))
        );
    }

    readonly observer: Partial<ServerObserver> = {
        started: (unusedServer, { task }) => increment(this.#starts, task),
        stopOrdered: (unusedServer, { task }) => increment(this.#stops, task),
        ended: (unusedServer, run, end) => this.#recordEnd(run, end),
        answered: (unusedServer, bytes) => {
            this.largestAnswerBytes = Math.max(this.largestAnswerBytes, bytes);
        },
    };

    get startCount(): number {
        return [...this.#starts.values()].reduce((sum, count) => sum + count, 0);
    }

    /** Returns the tasks that were started more than once, or stopped. */
    findRestarted(): string[] {
        const restarted = [...this.#starts].filter(([, count]) => count > 1)
            .map(([task, count]) => `${task} was started ${count} times`);
        const stopped = [...this.#stops].map(([task, count]) => `${task} was stopped ${count} times`);
        return [...restarted, ...stopped];
    }

    countsOf(kind: TaskKind): KindCounts {
        const isOfKind = (task: string): boolean => this.#jobOf(task)?.kind === kind;
        const starts = [...this.#starts].filter(([task]) => isOfKind(task));
        const total = starts.reduce((sum, [, count]) => sum + count, 0);
        const stops = [...this.#stops].filter(([task]) => isOfKind(task)).reduce((sum, [, count]) => sum + count, 0);
        return { tasks: starts.length, starts: total, restarts: total - starts.length, stops };
    }

    /** Returns how long the jobs took that have ended. */
    finishes(): JobFinish[] {
        return [...this.#finishedAtMs].flatMap(([id, atMs]) => {
            const job = this.#jobs.get(id);
            if (job === undefined) {
                return [];
            }
            const { kind, lengthMs, submittedAtMs, specification: { steps } } = job;
            const tasks = steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
            const finishMs = atMs - this.#startMs - submittedAtMs;
            return [{ kind, lengthMs, tasks, finishMs, boundMs: lengthMs * steps.length }];
        });
    }

    #recordEnd({ task }: ServerRun, end: RunEnd): void {
        const id = this.#jobOf(task)?.specification.id;
        if (id === undefined || end !== RunEnd.Done) {
            return;
        }
        const open = (this.#openTasks.get(id) ?? 0) - 1;
        this.#openTasks.set(id, open);
        if (open === 0) {
            this.#finishedAtMs.set(id, this.#nowMs());
        }
    }

    #jobOf(task: string): ScenarioJob | undefined {
        return this.#jobs.get(task.split(".", 1)[0] ?? "");
    }
}

const increment = (counts: Map<string, number>, key: string): void => {
    counts.set(key, (counts.get(key) ?? 0) + 1);
};
