import { describe, expect, it } from "vitest";
import { Refusal } from "../model/calls.js";
import { decodeEvents, EventKind } from "../state/events.js";
import { configurationOf, HOST, jobOf, stepOf } from "../testing/fixtures.js";
import { resultOf, SingleReplica } from "../testing/single-replica.js";

describe("a configuration", () => {
    it("is replaced only by a higher version and is returned as it was sent", () => {
        const replica = SingleReplica.started();
        for (const configuration of [configurationOf(5), configurationOf(4), configurationOf(5, { document: "{}" })]) {
            let isAccepted = false;
            replica.node.configure(configuration, result => {
                isAccepted = result.ok;
            }, replica.times);
            replica.settle();
            expect(isAccepted).toBe(true);
        }
        const results: unknown[] = [];
        replica.node.readConfiguration(result => results.push(result), replica.times);
        replica.settle();
        expect(results).toEqual([{ ok: true, value: "{\"version\":5}" }]);
    });

    it("is not replaced by a lower version that was proposed with it", () => {
        const replica = SingleReplica.started();
        for (const version of [9, 8]) {
            replica.node.configure(configurationOf(version), () => undefined, replica.times);
        }
        replica.settle();
        expect(replica.node.state.configuration?.version).toBe(9);
    });

    // Guards against a log that grows by the whole configuration with each attempt of an operator, just when the disk is late.
    it("is recorded once, however often it is sent before it is committed", () => {
        const replica = SingleReplica.started();
        const logLength = replica.log.length;
        const results: boolean[] = [];
        for (const version of [9, 9, 8, 9]) {
            replica.node.configure(configurationOf(version), ({ ok }) => results.push(ok), replica.times);
            replica.node.run(replica.times);
        }
        expect(results).toEqual([]);
        replica.settle();
        expect(results).toEqual([true, true, true, true]);
        const events = replica.log.slice(logLength).flatMap(({ data }) => data === undefined ? [] : decodeEvents(data));
        expect(events.filter(({ kind }) => kind === EventKind.ConfigurationAccepted)).toHaveLength(1);
    });

    // Guards against a version that is held for accepted although its record was lost with the leadership.
    it("is recorded again in the next term of the same replica if the former one has lost it", () => {
        const replica = SingleReplica.started();
        const results: unknown[] = [];
        replica.node.configure(configurationOf(9), result => results.push(result), replica.times);
        replica.node.run(replica.times);
        replica.node.handleLeadershipLost();
        replica.reelect();
        expect(results).toEqual([{ ok: false, refusal: Refusal.Uncertain }]);
        replica.node.configure(configurationOf(9), result => results.push(result), replica.times);
        replica.settle();
        expect(results.at(-1)).toEqual({ ok: true, value: undefined });
        expect(replica.node.state.configuration?.version).toBe(9);
    });

    // Guards against reads that wait for a late disk although the leader is in contact with its followers (issue 31).
    it("is read while no record can be committed", () => {
        const replica = SingleReplica.started();
        replica.submit(jobOf("j", stepOf()));
        const logLength = replica.log.length;
        const results: unknown[] = [];
        replica.node.readConfiguration(result => results.push(result), replica.times);
        replica.node.run(replica.times);
        expect(results).toEqual([{ ok: true, value: "{\"version\":1}" }]);
        expect(replica.log).toHaveLength(logLength);
    });

    // Guards against counts of waiting jobs that cost a record each.
    it("selects the queue of a count while no record can be committed", () => {
        const replica = SingleReplica.started();
        replica.submit(jobOf("j", stepOf()));
        const results: unknown[] = [];
        for (const path of ["/batch/", "/none/"]) {
            replica.node.pendingJobs({ host: HOST, path }, result => results.push(result), replica.times);
        }
        replica.node.run(replica.times);
        expect(results).toEqual([{ ok: true, value: 1 }, { ok: false, refusal: Refusal.UnknownQueue }]);
    });

    // Guards against an answer of a leader that was suspended, and has been replaced without knowing it.
    it("is read only once the followers have answered the leader", () => {
        const replica = SingleReplica.started();
        replica.isAnswered = false;
        const results: unknown[] = [];
        replica.node.readConfiguration(result => results.push(result), replica.times);
        replica.settle();
        expect(results).toEqual([]);
        replica.node.handleLeadershipLost();
        expect(results).toEqual([{ ok: false, refusal: Refusal.NotLeader }]);
    });

    it("is not read from a replica that does not lead", () => {
        const replica = SingleReplica.started();
        replica.isLeader = false;
        const result = resultOf<string | undefined>(respond => replica.node.readConfiguration(respond, replica.times));
        expect(result).toEqual({ ok: false, refusal: Refusal.NotLeader });
    });
});
