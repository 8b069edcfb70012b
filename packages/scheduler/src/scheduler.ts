import { create } from "@bufbuild/protobuf";
import { jobKeyOf } from "@waxwingspread/common";
import type { SeededRandom } from "@waxwingspread/common";
import { ReportResponseSchema } from "@waxwingspread/protocol";
import type {
    AcknowledgeRequest,
    AcknowledgeResponse,
    CancelRequest,
    CancelResponse,
    Event,
    Job,
    LookUpRequest,
    LookUpResponse,
    OperatorCommand,
    OperatorQuery,
    OperatorQueryResult,
    OperatorResult,
    PollRequest,
    ReportRequest,
    ReportResponse,
    SubmitRequest,
    SubmitResponse,
} from "@waxwingspread/protocol";
import { Attempts } from "./attempts/attempts.js";
import { AttemptReports } from "./attempts/reports.js";
import { Decision, specificationOf } from "./decision.js";
import { JobRequests } from "./jobs/job-requests.js";
import { JobTimers } from "./jobs/job-timers.js";
import { Submission } from "./jobs/submission.js";
import { OperatorCommands } from "./operators/commands.js";
import { Explanations } from "./operators/explanations.js";
import { OperatorQueries } from "./operators/queries.js";
import { EntryRegistry } from "./orders/entry-registry.js";
import { OrderTracker } from "./orders/order-tracker.js";
import type { AddressedOrder } from "./orders/order-tracker.js";
import { Handover } from "./placement/handover.js";
import { Mitigations } from "./placement/mitigation.js";
import { Placer } from "./placement/placer.js";
import { AnnouncementCache } from "./servers/announcement-cache.js";
import { AnnouncementHandler } from "./servers/announcement-handler.js";
import { BackendClocks } from "./servers/backend-clocks.js";
import { LeaseMonitor } from "./servers/lease-monitor.js";
import type { SchedulerSettings } from "./settings.js";
import type { ClusterObserver, ClusterState } from "./state/cluster-state.js";
import { WorkView } from "./work-view.js";
import { ZoneOperations } from "./zones/zone-operations.js";

/** Everything decided since the last `takeDecision`. */
export interface SchedulerDecision {
    events: Event[];
    /** May be sent only after the events are committed. */
    orders: AddressedOrder[];
}

/**
 * Makes the scheduling decisions of the leader. Events are applied to the state as they are decided; responses and
 * orders may be released only once the events are committed. One instance serves one term.
 */
export class Scheduler {
    readonly #decision: Decision;
    readonly #clocks: BackendClocks;
    readonly #entries: EntryRegistry;
    readonly #view: WorkView;
    readonly #explanations = new Explanations();
    readonly #attempts: Attempts;
    readonly #orders: OrderTracker;
    readonly #placer: Placer;
    readonly #handover: Handover;
    readonly #zones: ZoneOperations;
    readonly #leaseMonitor: LeaseMonitor;
    readonly #reports: AttemptReports;
    readonly #announcementHandler: AnnouncementHandler;
    readonly #announcementCache: AnnouncementCache;
    readonly #jobTimers: JobTimers;
    readonly #mitigations: Mitigations;
    readonly #submission: Submission;
    readonly #jobRequests: JobRequests;
    readonly #commands: OperatorCommands;
    readonly #queries: OperatorQueries;

    constructor(state: ClusterState, settings: SchedulerSettings, random: SeededRandom) {
        const decision = new Decision(state, settings, random, settings.createPolicies(random));
        this.#decision = decision;
        this.#clocks = new BackendClocks(settings);
        this.#entries = new EntryRegistry(settings.entryTimeoutMs);
        this.#view = new WorkView(decision, this.#clocks);
        this.#attempts = new Attempts(decision, this.#view, this.#explanations);
        this.#orders = new OrderTracker(decision, this.#clocks, this.#entries, this.#view);
        this.#placer = new Placer(decision, this.#view, this.#clocks, this.#attempts, this.#explanations);
        this.#handover = new Handover(decision, this.#view, this.#placer, this.#attempts);
        this.#zones = new ZoneOperations(decision, this.#view, this.#attempts, this.#handover);
        this.#leaseMonitor = new LeaseMonitor(decision, this.#clocks, this.#view, this.#attempts);
        this.#reports = new AttemptReports(decision, this.#attempts, this.#orders);
        this.#announcementHandler = new AnnouncementHandler(
            decision,
            this.#view,
            this.#clocks,
            this.#attempts,
            this.#reports,
            this.#leaseMonitor,
        );
        this.#announcementCache = new AnnouncementCache(this.#announcementHandler, settings.leaseMs);
        this.#jobTimers = new JobTimers(decision, this.#attempts);
        this.#mitigations = new Mitigations(decision, this.#attempts);
        this.#submission = new Submission(decision, this.#view, this.#placer, this.#attempts, this.#orders);
        this.#jobRequests = new JobRequests(decision, this.#attempts);
        this.#commands = new OperatorCommands(decision, this.#view, this.#attempts, this.#zones, this.#entries);
        this.#queries = new OperatorQueries(decision, this.#view, this.#zones, this.#entries, this.#explanations);
        this.#attempts.onEnded((attempt, end) => this.#zones.attemptEnded(attempt, end));
        this.#attempts.onRequeued(key => this.#handover.requeued(key));
    }

    /** Takes over the state as the leader of a new term and observes its changes from then on. */
    startTerm(term: number, leaderId: string, nowMs: number): void {
        const { state } = this.#decision;
        this.#decision.advance(nowMs);
        this.#decision.term = term;
        this.#clocks.startTerm(nowMs);
        this.#view.load();
        for (const job of state.jobs()) {
            this.#jobLoaded(job);
        }
        this.#leaseMonitor.startTerm();
        this.#decision.record({ case: "termStarted", value: { term, leaderId } });
        state.observe(this.#createObserver());
    }

    /**
     * Accepts or refuses a request, or returns the job of a request that was sent before. The response carries the
     * start order if the job was placed at once.
     */
    submit(request: SubmitRequest, nowMs: number): SubmitResponse {
        this.#decision.advance(nowMs);
        // After a pause of this process, servers that have become silent meanwhile must not be chosen.
        this.#leaseMonitor.tick();
        return this.#submission.submit(request);
    }

    cancel(request: CancelRequest, nowMs: number): CancelResponse {
        this.#decision.advance(nowMs);
        return this.#jobRequests.cancel(request);
    }

    acknowledge(request: AcknowledgeRequest, nowMs: number): AcknowledgeResponse {
        this.#decision.advance(nowMs);
        return this.#jobRequests.acknowledge(request);
    }

    /**
     * Processes ends, then starts, then announcements, so that a task list never takes effect before the end of a task
     * that it no longer contains.
     */
    report(request: ReportRequest, nowMs: number): ReportResponse {
        this.#decision.advance(nowMs);
        request.ends.forEach(end => this.#reports.handleEndReport(end));
        request.starts.forEach(start => this.#reports.handleStartReport(start));
        const leases = request.announcements
            .map(announcement => this.#announcementCache.handleAnnouncement(announcement))
            .filter(lease => lease !== undefined);
        return create(ReportResponseSchema, {
            ...this.#announcementCache.heartbeats(request.heartbeats),
            term: this.#decision.term,
            leases,
            settledEnds: request.ends.map((unusedEnd, position) => position),
        });
    }

    execute(command: OperatorCommand, nowMs: number): OperatorResult {
        this.#decision.advance(nowMs);
        return this.#commands.execute(command);
    }

    /** Returns the recorded result of a command that is executed outside the scheduler; undefined if it is new. */
    findCommandResult(command: OperatorCommand): OperatorResult | undefined {
        return this.#commands.findResult(command);
    }

    /** Records the success of a command that was executed outside the scheduler. */
    recordCommandSuccess(command: OperatorCommand, nowMs: number): OperatorResult {
        this.#decision.advance(nowMs);
        return this.#commands.recordResult(command, undefined);
    }

    /** Records that an entry is alive and how it can be reached. */
    recordEntryPoll(poll: PollRequest, nowMs: number): void {
        this.#decision.advance(nowMs);
        this.#entries.recordPoll(poll, nowMs);
    }

    /** Processes everything that is due (leases, health, zones, timers, mitigations) and places queued jobs. */
    tick(nowMs: number): void {
        this.#decision.advance(nowMs);
        this.#leaseMonitor.tick();
        this.#decision.policies.health.applyDueChanges(nowMs).forEach(change => this.#attempts.recordHealth(change));
        this.#zones.tick();
        this.#jobTimers.tick();
        this.#mitigations.tick();
        this.#placer.placeQueued(this.#decision.settings.placementsPerRound);
    }

    lookUp(request: LookUpRequest): LookUpResponse {
        return this.#jobRequests.lookUp(request);
    }

    query(query: OperatorQuery): OperatorQueryResult {
        return this.#queries.query(query);
    }

    /** Number of choices of the placement policy that the state did not permit. */
    get rejectedPlacements(): number {
        return this.#placer.rejectedPlacements;
    }

    /** Returns and clears the decided events and the orders that are due. */
    takeDecision(): SchedulerDecision {
        const orders = this.#orders.takeDue();
        return { events: this.#decision.takeEvents(), orders };
    }

    #jobLoaded(job: Job): void {
        const key = jobKeyOf(specificationOf(job));
        this.#orders.jobChanged(key, undefined, job);
        this.#jobTimers.jobChanged(key, job);
    }

    #createObserver(): ClusterObserver {
        return {
            jobChanged: (key, before, after) => {
                this.#view.jobChanged(key, before, after);
                this.#orders.jobChanged(key, before, after);
                this.#jobTimers.jobChanged(key, after);
                this.#handover.jobChanged(key, after);
                this.#zones.jobChanged(before, after);
                if (after === undefined) {
                    this.#explanations.forget(key);
                    this.#placer.forget(key);
                }
            },
            backendServerChanged: (id, before, after) => this.#view.backendServerChanged(id, before, after),
            contractChanged: (customer, unusedBefore, after) => this.#view.contractChanged(customer, after),
            zoneChanged: (name, unusedBefore, after) => this.#zones.zoneChanged(name, after),
        };
    }
}
