import { create } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { SeededRandom } from "@waxwingspread/common";
import { EventSchema } from "@waxwingspread/protocol";
import type { Event, Job, JobSpecification } from "@waxwingspread/protocol";
import type { PolicySet } from "./policy/types.js";
import type { SchedulerSettings } from "./settings.js";
import type { ClusterState } from "./state/cluster-state.js";

type EventKindInit = NonNullable<MessageInitShape<typeof EventSchema>["kind"]>;

/**
 * Context shared by all parts of the scheduler: the state, the settings, the policies and the current time. Decided
 * events are applied to the state at once and collected until `takeEvents`.
 */
export class Decision {
    #events: Event[] = [];
    #nowMs = 0;
    term = 0;

    constructor(
        readonly state: ClusterState,
        readonly settings: SchedulerSettings,
        readonly random: SeededRandom,
        readonly policies: PolicySet,
    ) {}

    get nowMs(): number {
        return this.#nowMs;
    }

    /** Sets the time of the following decisions; a time before the current one has no effect. */
    advance(nowMs: number): void {
        this.#nowMs = Math.max(this.#nowMs, nowMs);
    }

    /** Applies an event to the state and adds it to the next batch. */
    record(kind: EventKindInit): void {
        const event = create(EventSchema, { atMs: this.#nowMs, kind });
        this.state.apply(event);
        this.#events.push(event);
    }

    /** Returns and clears the collected events. */
    takeEvents(): Event[] {
        const events = this.#events;
        this.#events = [];
        return events;
    }
}

/** Returns the specification, which every job in the state has. */
export const specificationOf = (job: Job): JobSpecification => job.specification as JobSpecification;
