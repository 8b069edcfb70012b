import { describe, expect, it } from "vitest";
import { JobState, Refusal } from "../model/calls.js";
import type { CallResult } from "../model/calls.js";
import {
    Caller,
    configurationWith,
    configure,
    OK,
    ORGANISATIONS,
    startedWith,
    stateOf,
    textOf,
} from "../testing/caller.js";
import { heartbeatOf, jobOf, organisationWithKeys, stepOf } from "../testing/fixtures.js";
import { SingleReplica } from "../testing/single-replica.js";
import type { CallRefusal } from "./call-refusal.js";

describe("a call", () => {
    // Guards against jobs that anybody may submit, read, cancel or count.
    it.each([["no key", undefined], ["an unknown key", "x"]])("with %s is refused and records nothing", (_, key) => {
        const replica = startedWith(ORGANISATIONS);
        expect(new Caller(replica, "a1").submit("j")).toBe(OK);
        const logLength = replica.log.length;
        const caller = new Caller(replica, key);
        const results = [caller.submit("k"), caller.submit("j"), caller.read("j"), caller.read("k")];
        results.push(caller.cancel("j"), caller.cancel("k"), caller.count());
        expect(new Set(results)).toEqual(new Set([Refusal.Unauthenticated]));
        expect(replica.log).toHaveLength(logLength);
        expect(stateOf(replica, "j")).toBe(JobState.Queued);
    });

    // Guards against an organisation that learns of the jobs of another one, or ends them.
    it("with the key of another organisation tells and changes nothing", () => {
        const replica = startedWith(ORGANISATIONS);
        new Caller(replica, "a1").submit("j");
        const other = new Caller(replica, "b1");
        expect(other.read("j")).toBe(Refusal.UnknownJob);
        expect(other.cancel("j")).toBe(Refusal.UnknownJob);
        expect(other.submit("j")).toBe(Refusal.Unauthenticated);
        expect(stateOf(replica, "j")).toBe(JobState.Queued);
        expect(new Caller(replica, "a2").read("j")).toBe(JobState.Queued);
    });

    it("with any key of its organisation is served, and counts all jobs of the queue", () => {
        const replica = startedWith(ORGANISATIONS);
        expect(new Caller(replica, "a1").submit("j")).toBe(OK);
        expect(new Caller(replica, "a2").submit("j")).toBe(OK);
        expect(new Caller(replica, "b1").submit("k")).toBe(OK);
        expect(new Caller(replica, "b1").count()).toBe("2");
        expect(new Caller(replica, "a2").cancel("j")).toBe(OK);
        expect(stateOf(replica, "j")).toBe(JobState.Cancelled);
    });

    it("at a public queue needs no key, and its job belongs to no organisation", () => {
        const replica = startedWith(ORGANISATIONS);
        const caller = new Caller(replica, undefined, "open");
        expect(new Caller(replica, "a1", "open").submit("j")).toBe(OK);
        expect(replica.node.state.job("j")?.specification.organisation).toBeUndefined();
        expect([caller.submit("j"), caller.read("j"), caller.count(), caller.cancel("j")])
            .toEqual([OK, JobState.Queued, "1", OK]);
    });

    // Guards against a public queue by which the jobs of other queues can be read or cancelled without a key.
    it("at a public queue doesn't reach the jobs of an organisation", () => {
        const replica = startedWith(ORGANISATIONS);
        new Caller(replica, "a1").submit("j");
        const caller = new Caller(replica, undefined, "open");
        expect([caller.read("j"), caller.cancel("j")]).toEqual([Refusal.UnknownJob, Refusal.UnknownJob]);
        expect(caller.submit("j")).toBe(Refusal.Unauthenticated);
        expect(stateOf(replica, "j")).toBe(JobState.Queued);
    });

    it("at an unknown queue is refused as before", () => {
        const replica = startedWith(ORGANISATIONS);
        const caller = new Caller(replica, undefined, "none");
        expect([caller.submit("j"), caller.count()]).toEqual([Refusal.UnknownQueue, Refusal.UnknownQueue]);
    });

    // Guards against entries of the former version that read jobs past the keys while an upgrade is under way.
    it("without an address is served only where no organisations are configured", () => {
        const replica = startedWith(undefined);
        replica.submit(jobOf("j", stepOf()));
        expect(replica.stateOf("j")).toBe(JobState.Queued);
        configure(replica, 3, ORGANISATIONS);
        expect(replica.stateOf("j")).toBe(Refusal.Unauthenticated);
    });

    it("needs a valid key if the list of organisations is empty", () => {
        const replica = startedWith([]);
        expect(new Caller(replica, "a1").submit("j")).toBe(Refusal.Unauthenticated);
        expect(new Caller(replica, undefined, "open").submit("j")).toBe(OK);
    });

    it("is served without a key if no organisations are configured, and reads cost no wait for followers", () => {
        const replica = startedWith(undefined);
        const caller = new Caller(replica);
        expect(caller.submit("j")).toBe(OK);
        replica.isAnswered = false;
        expect([caller.read("j"), caller.submit("j")]).toEqual([JobState.Queued, OK]);
    });
});

describe("the removal of a key", () => {
    it("ends all calls with it, and not the jobs of its organisation; a key that comes back serves again", () => {
        const replica = startedWith(ORGANISATIONS);
        const caller = new Caller(replica, "b1");
        caller.submit("j");
        configure(replica, 3, [organisationWithKeys("acme", "a1"), organisationWithKeys("beta")]);
        const refused = [caller.submit("j"), caller.submit("k"), caller.read("j"), caller.cancel("j"), caller.count()];
        expect(new Set(refused)).toEqual(new Set([Refusal.Unauthenticated]));
        replica.heartbeat(heartbeatOf("s", 1));
        expect(replica.heartbeat(heartbeatOf("s", 2))?.starts.map(({ task }) => task)).toEqual(["j.0.0.0"]);
        configure(replica, 4, [organisationWithKeys("acme", "a1")]);
        expect(caller.read("j")).toBe(Refusal.Unauthenticated);
        expect(new Caller(replica, "a1").read("j")).toBe(Refusal.UnknownJob);
        configure(replica, 5, ORGANISATIONS);
        expect([caller.read("j"), caller.submit("j"), caller.cancel("j")]).toEqual([JobState.Queued, OK, OK]);
    });

    // Guards against a leader that was suspended while it was replaced and a key was taken away.
    it("is not passed over by a leader that no follower answers any more", () => {
        const replica = startedWith(ORGANISATIONS);
        const caller = new Caller(replica, "a1");
        caller.submit("j");
        replica.isAnswered = false;
        const results: CallResult<unknown>[] = [];
        const { node, times } = replica;
        const respond = (result: CallResult<unknown>): void => void results.push(result);
        node.jobState("j", respond, times, caller.originOf("j"));
        node.submit(caller.originOf("j"), jobOf("j", stepOf()), respond, times);
        node.pendingJobs(caller.originOf(""), respond, times);
        node.jobState("j", respond, times, new Caller(replica, "x").originOf("j"));
        node.submit(caller.originOf("k"), jobOf("k", stepOf()), respond, times);
        node.cancel("j", respond, times, caller.originOf("j"));
        node.run(times);
        expect(results).toEqual([]);
        node.handleLeadershipLost();
        expect(results.map(result => textOf([result]))).toEqual([
            Refusal.NotLeader,
            Refusal.NotLeader,
            Refusal.NotLeader,
            Refusal.NotLeader,
            Refusal.Uncertain,
            Refusal.Uncertain,
        ]);
    });

    // Guards against an answer that rests on the keys of the call's arrival.
    it.each([["read", Refusal.Unauthenticated], ["submit", Refusal.Unauthenticated]] as const)(
        "is seen by a %s that waits for the followers",
        (operation, expected) => {
            const replica = startedWith(ORGANISATIONS);
            const caller = new Caller(replica, "b1");
            caller.submit("j");
            replica.isAnswered = false;
            const results: CallResult<unknown>[] = [];
            const respond = (result: CallResult<unknown>): void => void results.push(result);
            if (operation === "read") {
                replica.node.jobState("j", respond, replica.times, caller.originOf("j"));
            }
            else {
                replica.node.submit(caller.originOf("j"), jobOf("j", stepOf()), respond, replica.times);
            }
            configure(replica, 3, [organisationWithKeys("acme", "a1")]);
            expect(results).toEqual([]);
            replica.isAnswered = true;
            replica.settle();
            expect(textOf(results)).toBe(expected);
        },
    );

    // Guards against a refusal that holds no longer when it is sent.
    it("that is undone while a refusal waits gives an answer after which the caller tries again", () => {
        const replica = startedWith([organisationWithKeys("acme", "a1")]);
        replica.isAnswered = false;
        const results: CallResult<void>[] = [];
        const origin = new Caller(replica, "b1").originOf("j");
        replica.node.submit(origin, jobOf("j", stepOf()), result => results.push(result), replica.times);
        configure(replica, 3, ORGANISATIONS);
        replica.isAnswered = true;
        replica.settle();
        expect(textOf(results)).toBe(Refusal.NotRun);
        expect(replica.node.state.job("j")).toBeUndefined();
    });

    it("that is proposed and not committed refuses nothing yet", () => {
        const replica = startedWith(ORGANISATIONS);
        const { node, times } = replica;
        const results: string[] = [];
        node.configure(configurationWith(3, []), () => results.push("configured"), times);
        const origin = new Caller(replica, "a1").originOf("j");
        node.submit(origin, jobOf("j", stepOf()), result => results.push(textOf([result])), times);
        replica.settle();
        expect(results).toEqual(["configured", OK]);
        expect(new Caller(replica, "a1").submit("j")).toBe(Refusal.Unauthenticated);
    });
});

describe("a removed queue", () => {
    it("leaves its jobs to the keys of their owners", () => {
        const replica = startedWith(ORGANISATIONS);
        new Caller(replica, "a1").submit("j");
        new Caller(replica, undefined, "open").submit("p");
        configure(replica, 3, ORGANISATIONS, []);
        expect(new Caller(replica, "a1").read("j")).toBe(JobState.Queued);
        expect(new Caller(replica, "b1").read("j")).toBe(Refusal.UnknownJob);
        expect(new Caller(replica).read("j")).toBe(Refusal.Unauthenticated);
        expect(new Caller(replica).read("none")).toBe(Refusal.Unauthenticated);
        expect(new Caller(replica, undefined, "open").read("p")).toBe(JobState.Queued);
        expect(new Caller(replica, "a1").submit("k")).toBe(Refusal.UnknownQueue);
        expect(new Caller(replica, "a1").cancel("j")).toBe(OK);
    });
});

describe("a refusal", () => {
    // Guards against operators who can't tell from the log why a caller is refused, and against keys in the log.
    it("is reported with the organisations that are known and without the key", () => {
        const refusals: CallRefusal[] = [];
        const replica = SingleReplica.started({ onCallRefused: refusal => refusals.push(refusal) });
        expect(new Caller(replica, "x", "none").submit("j")).toBe(Refusal.UnknownQueue);
        expect(refusals).toEqual([]);
        configure(replica, 2, ORGANISATIONS);
        new Caller(replica, "a1").submit("j");
        new Caller(replica).read("j");
        new Caller(replica, "secret").count();
        new Caller(replica, "b1").read("j");
        expect(refusals).toMatchObject([
            { refusal: Refusal.Unauthenticated, hasKey: false, organisation: undefined, owner: "acme", jobId: "j" },
            { refusal: Refusal.Unauthenticated, hasKey: true, organisation: undefined, path: "/batch/" },
            { refusal: Refusal.UnknownJob, hasKey: true, organisation: "beta", owner: "acme" },
        ]);
        expect(JSON.stringify(refusals)).not.toContain("secret");
    });
});
