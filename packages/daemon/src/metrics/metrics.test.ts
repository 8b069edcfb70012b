import { describe, expect, it } from "vitest";
import { createMetrics, setReplicaRole } from "./index.js";

describe("createMetrics", () => {
    it("maps label values outside the closed set to one series", async () => {
        const metrics = createMetrics(false);
        const before = (await metrics.registry.metrics()).split("\n").length;
        for (let index = 0; index < 100; index += 1) {
            metrics.requests.add({ operation: `/v1/${index}`, code: "ok" });
        }
        const text = await metrics.registry.metrics();
        expect(text.split("\n")).toHaveLength(before);
        expect(text).toContain("waxwingspread_requests_total{operation=\"other\",code=\"ok\"} 100");
    });

    it("exposes durations in seconds and exactly one replica role", async () => {
        const metrics = createMetrics(false);
        metrics.commit.observeMs({}, 4);
        setReplicaRole(metrics, "follower");
        setReplicaRole(metrics, "leader");
        const text = await metrics.registry.metrics();
        expect(text).toContain("waxwingspread_commit_seconds_sum 0.004");
        const roles = [...text.matchAll(/replica_role\{role="([a-z-]+)"\} 1/g)].map(match => match[1]);
        expect(roles).toEqual(["leader"]);
    });

    it("names every metric with the prefix and every counter with _total", async () => {
        const all = await createMetrics(false).registry.getMetricsAsJSON();
        expect(all.map(item => item.name).filter(name => !/^waxwingspread_[a-z_]+$/.test(name))).toEqual([]);
        const counters = all.filter(item => String(item.type) === "counter").map(item => item.name);
        expect(counters.filter(name => !name.endsWith("_total"))).toEqual([]);
    });
});
