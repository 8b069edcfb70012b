import { expect, it } from "vitest";
import { taskKindOf } from "../model/specification.js";
import type { StepSpecification } from "../model/specification.js";
import { fillerStepOf, heartbeatOf, standingStepOf } from "../testing/fixtures.js";
import { FillerPacing } from "./filler-pacing.js";
import { PressureModel } from "./pressure-model.js";
import { newRunView, ServerView } from "./server-view.js";
import type { RunView } from "./server-view.js";

const TARGET_MS = 100;

class FixedPressureModel extends PressureModel {
    override expectedPressure(standingImage: string, fillerImage: string): number {
        return fillerImage === "interfering" ? 8 : 0;
    }
}

interface Fixture {
    server: ServerView;
    pacing: FillerPacing;
    standing: RunView;
    interfering: RunView;
    harmless: RunView;
}

const addRun = (server: ServerView, name: string, step: StepSpecification): RunView => {
    const position = { jobId: name, occurrence: 0, step: 0, index: 0 };
    const run = newRunView({ task: name, run: 1, position, step, kind: taskKindOf(step), checkpoint: "" }, 0);
    server.addRun(run);
    return run;
};

const fixtureWith = (tailMs: number): Fixture => {
    const server = new ServerView("s", 1, 0, 0);
    server.updateFrom(heartbeatOf("s", 1), 0);
    const standing = addRun(server, "standing", standingStepOf({ targetTailMs: TARGET_MS }));
    standing.measurement = tailMs;
    return {
        server,
        pacing: new FillerPacing(new FixedPressureModel({})),
        standing,
        interfering: addRun(server, "interfering", fillerStepOf({ image: "interfering" })),
        harmless: addRun(server, "harmless", fillerStepOf({ image: "harmless" })),
    };
};

// Guards against a loss of batch throughput by slowing fillers that do not affect standing tasks.
it("slows only the fillers that affect a standing task near its target", () => {
    const { server, pacing, interfering, harmless } = fixtureWith(150);
    pacing.adjust(server, 0);
    expect(interfering.targetPacePercent).toBeLessThan(70);
    expect(harmless.targetPacePercent).toBe(100);
});

// Guards against a standing task that stays over its target because of a pressure that has not been learned yet.
it("pauses all fillers beside a task that stays over its target, and resumes them when it recovers", () => {
    const { server, pacing, standing, harmless } = fixtureWith(150);
    for (let nowMs = 0; nowMs <= 3_000; nowMs += 500) {
        pacing.adjust(server, nowMs);
    }
    expect(harmless.targetPacePercent).toBe(0);
    standing.measurement = 30;
    for (let nowMs = 3_500; nowMs <= 6_000; nowMs += 500) {
        pacing.adjust(server, nowMs);
    }
    expect(harmless.targetPacePercent).toBe(100);
});
