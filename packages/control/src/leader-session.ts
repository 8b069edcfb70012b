import { create, toBinary } from "@bufbuild/protobuf";
import { StepError } from "@waxwingspread/common";
import { ErrorCode, EventBatchSchema, MemberRole, PollResponseSchema } from "@waxwingspread/protocol";
import type { Configuration, Event, PollRequest, PollResponse } from "@waxwingspread/protocol";
import type { AddressedOrder, ClusterState, Scheduler } from "@waxwingspread/scheduler";
import { ControlMethod, errorReply } from "./calls.js";
import type { ControlReply } from "./calls.js";
import { CommitQueue } from "./commit-queue.js";
import { ControlEffectKind } from "./control-effects.js";
import type { ControlEffect } from "./control-effects.js";
import type { ControlSettings } from "./control-settings.js";
import { EntryDirectory } from "./entry-directory.js";
import { EntryOutboxes } from "./entry-outboxes.js";
import { HeldPolls } from "./held-polls.js";
import type { HeldPoll } from "./held-polls.js";
import type { ReplicatedLogPort } from "./replicated-log-port.js";

/** A response that is held until the decision that it reports is committed. */
interface HeldReply {
    callId: number;
    reply: ControlReply;
}

const CONFIGURATION_EVENTS = new Set<Event["kind"]["case"]>(["contractWritten", "contractRemoved", "zoneChanged"]);

/** State that a leader keeps in memory for one term: held polls and replies, outboxes and known entries. */
export class LeaderSession {
    readonly #log: ReplicatedLogPort;
    readonly #state: ClusterState;
    readonly #settings: ControlSettings;
    readonly #emit: (effect: ControlEffect) => void;
    readonly #outboxes = new EntryOutboxes();
    readonly #polls = new HeldPolls();
    readonly #commitQueue = new CommitQueue();
    readonly entries = new EntryDirectory();
    /** Events of the batches that are proposed but not committed, by log index; they are already applied. */
    readonly #proposedEvents = new Map<number, readonly Event[]>();
    #replies: HeldReply[] = [];
    #lastProposedIndex: number;
    #committedConfiguration: Configuration;

    constructor(
        readonly scheduler: Scheduler,
        readonly term: number,
        options: {
            log: ReplicatedLogPort;
            state: ClusterState;
            settings: ControlSettings;
            emit: (effect: ControlEffect) => void;
        },
    ) {
        this.#log = options.log;
        this.#state = options.state;
        this.#settings = options.settings;
        this.#emit = options.emit;
        this.#lastProposedIndex = options.log.commitIndex;
        this.#committedConfiguration = options.state.configuration;
    }

    get pendingCount(): number {
        return this.#commitQueue.size;
    }

    /** Queues a response that is sent once all decisions made so far are committed. */
    reply(callId: number, reply: ControlReply): void {
        this.#replies.push({ callId, reply });
    }

    /** Makes the replies since the last flush wait for the commit of the given log index. */
    awaitIndex(index: number): void {
        this.#lastProposedIndex = Math.max(this.#lastProposedIndex, index);
    }

    /** Holds a poll until there is an update for its entry. */
    holdPoll(callId: number, request: PollRequest, nowMs: number): void {
        this.entries.recordPoll(request, nowMs);
        if (request.sequenceTerm === this.term) {
            this.#outboxes.acknowledge(request.entryId, request.acknowledgedSequence);
        }
        const earlier = this.#polls.hold({ callId, request, heldSinceMs: nowMs });
        if (earlier !== undefined) {
            this.#answerPoll(earlier);
        }
        this.#answerPollIfUpdated(request.entryId, nowMs);
    }

    /** Proposes the scheduler's decision and queues its replies and orders. Returns false if no longer leader. */
    propose(nowMs: number): boolean {
        const decision = this.scheduler.takeDecision();
        if (decision.events.length > 0) {
            const record = toBinary(EventBatchSchema, create(EventBatchSchema, { events: decision.events }));
            const proposed = this.#log.propose([record], nowMs);
            if (proposed.isErr()) {
                return false;
            }
            this.#lastProposedIndex = proposed.value;
            this.#state.markBatchEnd(proposed.value);
            this.#proposedEvents.set(proposed.value, decision.events);
        }
        this.#deferUntilCommit(decision.events, decision.orders, nowMs);
        return true;
    }

    /** Removes and returns the events of a batch that this leader proposed. */
    takeProposed(index: number): readonly Event[] | undefined {
        const events = this.#proposedEvents.get(index);
        this.#proposedEvents.delete(index);
        return events;
    }

    /** Releases committed replies and orders, provided that no other replica can have been elected. */
    releaseCommitted(nowMs: number): void {
        if (!this.#log.hasQuorumLease(nowMs)) {
            return;
        }
        for (const item of this.#commitQueue.takeCommitted(this.#log.commitIndex)) {
            item.onCommitted(nowMs);
        }
    }

    /** Answers polls whose hold time has passed and discards the orders of entries that stopped polling. */
    tick(nowMs: number): void {
        if (!this.#log.hasQuorumLease(nowMs)) {
            return;
        }
        for (const poll of this.#polls.takeOverdue(this.#settings.pollHoldMs, nowMs)) {
            this.#answerPoll(poll);
        }
        for (const entryId of this.entries.removeInactive(this.#settings.entryTimeoutMs, nowMs)) {
            this.#outboxes.discard(entryId);
        }
    }

    /** Fails all waiting replies and polls, because this replica is no longer leader. */
    close(): void {
        const uncertain = new StepError(
            ErrorCode.UNCERTAIN,
            "commit",
            "",
            "leadership was lost before the decision was committed; ask again with the same id",
        );
        for (const item of this.#commitQueue.takeAll()) {
            item.onLeadershipLost();
        }
        this.#failReplies(this.#replies, uncertain);
        this.#replies = [];
        const notLeader = new StepError(ErrorCode.NOT_LEADER, "poll", "", "this replica is no longer leader", {
            leaderAddress: this.#log.leaderAddress,
        });
        for (const poll of this.#polls.takeAll()) {
            this.#sendReply(poll.callId, errorReply(ControlMethod.Poll, notLeader.toDetail()));
        }
    }

    #deferUntilCommit(events: Event[], orders: AddressedOrder[], nowMs: number): void {
        const replies = this.#replies;
        this.#replies = [];
        const changesConfiguration = events.some(event => CONFIGURATION_EVENTS.has(event.kind.case));
        if (events.length === 0 && orders.length === 0 && replies.length === 0) {
            return;
        }
        const configuration = changesConfiguration ? this.#state.configuration : undefined;
        this.#commitQueue.add({
            index: this.#lastProposedIndex,
            proposedAtMs: nowMs,
            onCommitted: releasedAtMs => {
                if (events.length > 0) {
                    this.#emit({ kind: ControlEffectKind.CommitLatency, latencyMs: releasedAtMs - nowMs });
                }
                this.#deliver(replies, orders, configuration, releasedAtMs);
            },
            onLeadershipLost: () =>
                this.#failReplies(
                    replies,
                    new StepError(ErrorCode.UNCERTAIN, "commit", "", "outcome not known; ask again with the same id"),
                ),
        });
    }

    #deliver(
        replies: HeldReply[],
        orders: AddressedOrder[],
        configuration: Configuration | undefined,
        nowMs: number,
    ): void {
        for (const held of replies) {
            this.#sendReply(held.callId, held.reply);
        }
        for (const { entryId, order } of orders) {
            this.#outboxes.add(entryId, order);
        }
        if (configuration !== undefined) {
            this.#committedConfiguration = configuration;
            for (const poll of this.#polls.takeAll()) {
                this.#answerPoll(poll);
            }
            return;
        }
        for (const entryId of new Set(orders.map(order => order.entryId))) {
            this.#answerPollIfUpdated(entryId, nowMs);
        }
    }

    #answerPollIfUpdated(entryId: string, nowMs: number): void {
        const poll = this.#polls.take(entryId);
        if (poll === undefined) {
            return;
        }
        const isOutdated = poll.request.knownRevision !== this.#committedConfiguration.revision;
        // An entry that learns of a new leader without delay also reports its backend servers to it without delay.
        const isNewToLeader = poll.request.sequenceTerm !== this.term;
        const hasUpdate = isOutdated || isNewToLeader || this.#outboxes.pending(entryId).length > 0;
        if (hasUpdate && this.#log.hasQuorumLease(nowMs)) {
            this.#answerPoll(poll);
            return;
        }
        this.#polls.hold(poll);
    }

    #answerPoll(poll: HeldPoll): void {
        this.#sendReply(poll.callId, { method: ControlMethod.Poll, response: this.#pollResponse(poll.request) });
    }

    #pollResponse(request: PollRequest): PollResponse {
        const configuration = this.#committedConfiguration;
        return create(PollResponseSchema, {
            term: this.term,
            revision: configuration.revision,
            configuration: request.knownRevision === configuration.revision ? undefined : configuration,
            configurationLeaseMs: this.#settings.configurationLeaseMs,
            orders: this.#outboxes.pending(request.entryId),
            // Excludes learners, because a blob counts as stored only on a majority of voters.
            controlAddresses: this.#log.membership.members
                .filter(member => member.role === MemberRole.VOTER)
                .map(member => member.identity?.address ?? ""),
            entryAddresses: this.entries.addresses(),
        });
    }

    #failReplies(replies: HeldReply[], error: StepError): void {
        for (const held of replies) {
            this.#sendReply(held.callId, errorReply(held.reply.method, error.toDetail()));
        }
    }

    #sendReply(callId: number, reply: ControlReply): void {
        this.#emit({ kind: ControlEffectKind.Reply, callId, reply });
    }
}
