import { heartbeatOf } from "@waxwingspread/workflow/testing";
import { expect, it } from "vitest";
import { HeartbeatRouting } from "./heartbeat-routing.js";

const LEADER = "10.0.0.1";
const ZONES = ["a", "b", "c"];
/** Two followers in each zone. */
const FOLLOWERS = ZONES.flatMap((availabilityZone, zone) =>
    [1, 2].map(index => ({ host: `10.0.${zone}.${10 + index}`, availabilityZone }))
);
const SERVERS = 300;

const reportOf = (index: number) =>
    heartbeatOf(`i-${index}`, 1, { availabilityZone: ZONES[index % ZONES.length] ?? "" });
const reports = Array.from({ length: SERVERS }, (unused, index) => reportOf(index));

const createRouting = (serverCount = SERVERS): HeartbeatRouting => {
    const routing = new HeartbeatRouting(LEADER);
    routing.update(FOLLOWERS, serverCount);
    return routing;
};

// Guards against a leader that holds the connections of a whole large fleet, which its successor would have to accept
// before it hears of the servers, and against followers that get far more of them than others.
it("spreads the servers of a large fleet over the followers in their zones", () => {
    const routing = createRouting();
    const counts = new Map<string, number>();
    for (const report of reports) {
        const host = routing.nextHost(report, LEADER, 0);
        counts.set(host, (counts.get(host) ?? 0) + 1);
        const follower = FOLLOWERS.find(candidate => candidate.host === host);
        expect(follower?.availabilityZone).toBe(report.availabilityZone);
    }
    expect(routing.heartbeatHosts).toEqual(FOLLOWERS.map(({ host }) => host));
    const mean = SERVERS / FOLLOWERS.length;
    expect(Math.min(...counts.values())).toBeGreaterThan(mean / 2);
    expect(Math.max(...counts.values())).toBeLessThan(mean * 1.5);
});

// Guards against a further hop for each heartbeat of a small fleet.
it("lets the servers of a small fleet, and those without followers, call the leader", () => {
    const small = createRouting(99);
    expect(small.nextHost(reportOf(0), LEADER, 0)).toBe(LEADER);
    expect(small.heartbeatHosts).toEqual([]);
    const alone = new HeartbeatRouting(LEADER);
    alone.update([], SERVERS);
    expect(alone.nextHost(reportOf(0), LEADER, 0)).toBe(LEADER);
});

// Guards against servers that are sent to a follower again and again that they can't reach, because it stops or because
// only the path between the two is cut.
it("sends a server that has not reached its follower to another one for some time", () => {
    const routing = createRouting();
    const report = reportOf(0);
    const first = routing.nextHost(report, LEADER, 0);
    expect(routing.nextHost(report, first, 100)).toBe(first);
    const second = routing.nextHost(report, LEADER, 1_500);
    expect(second).not.toBe(first);
    const third = routing.nextHost(report, first, 3_000);
    expect([first, second]).not.toContain(third);
    // Later changes of the followers don't bring it back before its time.
    routing.update(FOLLOWERS.slice(0, -1), SERVERS);
    expect(routing.nextHost(report, third, 3_100)).not.toBe(first);
    routing.update(FOLLOWERS, SERVERS);
    expect(routing.nextHost(report, third, 12_000)).toBe(first);
});

// Guards against servers that stay with a follower that no longer responds, and against a move of all servers at once.
it("moves only the servers of a follower that no longer responds", () => {
    const routing = createRouting();
    const hosts = reports.map(report => routing.nextHost(report, LEADER, 0));
    const [lost] = FOLLOWERS;
    routing.update(FOLLOWERS.slice(1), SERVERS);
    reports.forEach((report, index) => {
        const host = hosts[index] ?? "";
        const next = routing.nextHost(report, host, 100);
        expect(next === host).toBe(host !== lost?.host);
    });
});

// Guards against memory that grows with each server that has ever called: a restarted server may have a new id.
it("forgets the servers of the past once they outnumber those of the fleet", () => {
    const routing = createRouting();
    const report = reportOf(0);
    const first = routing.nextHost(report, LEADER, 0);
    for (let index = 0; index < 5 * SERVERS; index += 1) {
        routing.nextHost(reportOf(1_000 + index), LEADER, 0);
    }
    routing.update(FOLLOWERS, SERVERS);
    // A server whose route is known would count as one that has not reached its follower.
    expect(routing.nextHost(report, LEADER, 0)).toBe(first);
});
