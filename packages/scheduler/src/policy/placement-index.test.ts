import { SeededRandom } from "@waxwingspread/common";
import { WorkKind } from "@waxwingspread/protocol";
import { expect, test } from "vitest";
import { fitsWithin } from "../state/resources.js";
import { createPolicies } from "./create-policies.js";
import type { SlowdownSource } from "./interference-model.js";
import { query, resources, server, task } from "./testing.js";
import type { PlacementPolicy, ServerView } from "./types.js";

const createPlacement = (servers: ServerView[], knownSlowdowns?: SlowdownSource): PlacementPolicy => {
    const { placement } = createPolicies({ random: new SeededRandom(1), knownSlowdowns });
    servers.forEach(view => placement.upsertServer(view));
    return placement;
};

test("places a task if and only if it fits on a server, whichever resource is scarce", () => {
    for (let seed = 1; seed <= 20; seed += 1) {
        const random = new SeededRandom(seed);
        const servers = Array.from({ length: 40 }, (unused, index) =>
            server(`s${index}`, {
                availabilityZone: `zone-${index % 3}`,
                capacity: resources(16_000, 60_000, index % 7 === 0 ? 2 : 0),
                placeable: index % 11 !== 0,
                slotLimit: index % 5 === 0 ? 2 : 8,
            }));
        const placement = createPlacement(servers);
        const free = new Map(servers.map(view => [view.backendServerId, { ...view.capacity, slots: view.slotLimit }]));
        for (let step = 0; step < 400; step += 1) {
            const reserved = resources(
                random.nextInteger(100, 9_000),
                random.nextInteger(100, 30_000),
                random.nextInteger(0, 9) === 0 ? 1 : 0,
            );
            const eligibleServers = servers.filter(view => {
                const remaining = free.get(view.backendServerId);
                return view.placeable && remaining !== undefined && remaining.slots > 0
                    && fitsWithin(reserved, remaining);
            });
            const chosen = placement.choose(query({ reserved }), step);
            expect(chosen !== undefined).toBe(eligibleServers.length > 0);
            const remaining = free.get(chosen?.backendServerId ?? "");
            if (chosen !== undefined && remaining !== undefined) {
                expect(eligibleServers.map(view => view.backendServerId)).toContain(chosen.backendServerId);
                placement.occupy(chosen.backendServerId, task(`t${step}`, { reserved }));
                remaining.slots -= 1;
                remaining.cpuMillicores -= reserved.cpuMillicores;
                remaining.memoryMebibytes -= reserved.memoryMebibytes;
                remaining.accelerators -= reserved.accelerators;
            }
        }
    }
});

test("a task holds its capacity while stopping, and frees it when released", () => {
    const placement = createPlacement([server("s", { slots: 1, slotLimit: 1 })]);
    placement.occupy("s", task("a"));
    placement.occupy("s", task("a", { stopping: true }));
    expect(placement.choose(query(), 0)).toBeUndefined();
    expect(placement.choosePreemption(query(), 0)).toBeUndefined();
    placement.release("s", "a");
    expect(placement.choose(query(), 0)?.backendServerId).toBe("s");
});

test("places latency-critical work away from the neighbour that slows it", () => {
    const knownSlowdowns: SlowdownSource = {
        coefficient: (affected, interfering) => affected.endsWith("check") && interfering.endsWith("loud") ? 0.8 : 0.01,
        variance: () => 0,
    };
    const placement = createPlacement([server("a"), server("b")], knownSlowdowns);
    placement.occupy("a", task("t1", { classKey: "customer/loud" }));
    placement.occupy("b", task("t2"));
    placement.occupy("b", task("t3"));
    expect(placement.choose(query(), 0)?.backendServerId).toBe("b");
});

test("the same sequence of queries gives the same placements", () => {
    const runQueries = (): (string | undefined)[] => {
        const placement = createPlacement(Array.from({ length: 9 }, (unused, index) => server(`s${index}`)));
        return Array.from({ length: 60 }, (unused, index) => {
            const id = placement.choose(query(), index)?.backendServerId;
            placement.occupy(id ?? "", task(`t${index}`, { workKind: WorkKind.LATENCY_CRITICAL }));
            return id;
        });
    };
    expect(runQueries()).toEqual(runQueries());
});

test("spreads standing work away from zones and racks that already hold its class", () => {
    const placement = createPlacement([
        server("a1"),
        server("a2", { rack: "rack-2" }),
        server("b1", { availabilityZone: "zone-b", rack: "rack-3" }),
    ]);
    const standing = query({ workKind: WorkKind.STANDING, avoidedDomains: ["zone-a", "rack-1"] });
    expect(placement.choose(standing, 0)?.backendServerId).toBe("b1");
    placement.removeServer("b1");
    expect(placement.choose(standing, 0)?.backendServerId).toBe("a2");
});

test("preempts only batch tasks, repeatable and recent ones first, and no more than needed", () => {
    const placement = createPlacement([server("s", { slots: 4, slotLimit: 4 })]);
    placement.occupy("s", task("old", { repeatable: true, placedAtMs: 10 }));
    placement.occupy("s", task("young", { repeatable: true, placedAtMs: 90 }));
    placement.occupy("s", task("once", { placedAtMs: 99 }));
    placement.occupy("s", task("watch", { workKind: WorkKind.STANDING }));
    expect(placement.choosePreemption(query(), 100)?.victims).toEqual(["young"]);
    expect(placement.choosePreemption(query({ reserved: resources(12_000) }), 100)?.victims).toHaveLength(2);
    expect(placement.choosePreemption(query({ reserved: resources(15_000) }), 100)).toBeUndefined();
});

test("a probing server receives one repeatable task and no other", () => {
    const placement = createPlacement([server("s", { probing: true, slotLimit: 1 })]);
    expect(placement.choose(query(), 0)).toBeUndefined();
    expect(placement.choose(query({ repeatable: true }), 0)?.backendServerId).toBe("s");
    placement.occupy("s", task("t"));
    expect(placement.choose(query({ repeatable: true }), 0)).toBeUndefined();
});

test("couldEverFit ignores current usage and availability", () => {
    const placement = createPlacement([server("s", { slotLimit: 0, placeable: false })]);
    expect(placement.couldEverFit(resources(16_000, 60_000))).toBe(true);
    expect(placement.couldEverFit(resources(16_001))).toBe(false);
});
