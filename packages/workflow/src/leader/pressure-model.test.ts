import { SeededRandom } from "@waxwingspread/common";
import { expect, it } from "vitest";
import { taskKindOf } from "../model/specification.js";
import type { StepSpecification } from "../model/specification.js";
import { fillerStepOf, heartbeatOf, standingStepOf } from "../testing/fixtures.js";
import { PressureModel } from "./pressure-model.js";
import { newRunView, ServerView } from "./server-view.js";
import type { RunView } from "./server-view.js";

const TARGET_MS = 100;
/** Increase of the log tail latency if the filler used the whole server, by image. */
const TRUE_PRESSURES: Readonly<Record<string, number>> = { interfering: 8, harmless: 0 };

const addRun = (server: ServerView, name: string, step: StepSpecification): RunView => {
    const position = { jobId: name, occurrence: 0, step: 0, index: 0 };
    const run = newRunView({ task: name, run: 1, position, step, kind: taskKindOf(step), checkpoint: "" }, 0);
    run.isReported = true;
    server.addRun(run);
    return run;
};

// Guards against attributing changes of a standing task's own load to harmless fillers, which would then be slowed or
// not placed.
it("distinguishes fillers that affect a standing image from others, while the standing task's own load varies", () => {
    const random = new SeededRandom(7);
    const pressure = new PressureModel({});
    const server = new ServerView("s", 1, 0, 0);
    server.updateFrom(heartbeatOf("s", 1), 0);
    const standing = addRun(server, "standing", standingStepOf({ targetTailMs: TARGET_MS }));
    let filler: RunView | undefined;
    for (let step = 0; step < 60; step += 1) {
        const nowMs = step * 500;
        if (step % 4 === 0) {
            server.removeRun(filler?.task ?? "");
            const image = random.pick(["interfering", "harmless", "none"]);
            filler = image === "none" ? undefined : addRun(server, `filler-${step}`, fillerStepOf({ image }));
        }
        const image = filler?.step.image ?? "none";
        const usedMillicores = filler === undefined ? 0 : 800;
        if (filler !== undefined) {
            filler.measurement = usedMillicores;
        }
        const ownLogRatio = -1 + 0.5 * Math.sin((2 * Math.PI * nowMs) / 20_000);
        const logIncrease = (TRUE_PRESSURES[image] ?? 0) * (usedMillicores / 4_000);
        standing.measurement = TARGET_MS * Math.exp(ownLogRatio + logIncrease + (random.nextRatio() - 0.5) * 0.2);
        pressure.observe(server, nowMs);
    }
    expect(pressure.expectedPressure("standing", "interfering")).toBeGreaterThan(4);
    expect(pressure.expectedPressure("standing", "harmless")).toBeLessThan(1);
});

// Guards against pairs of images that are never tried and therefore never learned.
it("allows a pair of images that has not been observed", () => {
    const pressure = new PressureModel({});
    const server = new ServerView("s", 1, 0, 0);
    server.updateFrom(heartbeatOf("s", 1), 0);
    addRun(server, "standing", standingStepOf());
    expect(pressure.canAddFiller(server, "unknown", 1_000, 0)).toBe(true);
});

// Guards against interference with standing tasks after a change of the leader, until the pressures are learned again.
it("starts with the pressures that a former leader has learned", () => {
    const pressure = new PressureModel({ standing: { interfering: 8, harmless: 0 } });
    const server = new ServerView("s", 1, 0, 0);
    server.updateFrom(heartbeatOf("s", 1), 0);
    addRun(server, "standing", standingStepOf());
    expect(pressure.canAddFiller(server, "interfering", 1_000, 0)).toBe(false);
    expect(pressure.canAddFiller(server, "harmless", 1_000, 0)).toBe(true);
});

// Guards against fillers that interfere with standing tasks because the learned pressures are lost: the CPU usage that
// was measured before a server shrank is a large multiple of its capacity afterwards.
it.each([0, 500])(
    "keeps the learned pressures while a server's capacity shrinks to %d millicores",
    shrunkMillicores => {
        const fillerShare = 0.2;
        const pressure = new PressureModel({ standing: { interfering: 8 } });
        const server = new ServerView("s", 1, 0, 0);
        const standing = addRun(server, "standing", standingStepOf({ targetTailMs: TARGET_MS }));
        const filler = addRun(server, "filler", fillerStepOf({ image: "interfering" }));
        filler.measurement = fillerShare * 4_000;
        for (let step = 1; step <= 12; step += 1) {
            const isShrunk = step > 3 && step <= 9;
            const cpuMillicores = isShrunk ? shrunkMillicores : 4_000;
            const capacity = { cpuMillicores, memoryMebibytes: 16_000, accelerators: 0 };
            standing.measurement = TARGET_MS * Math.exp(-1 + 8 * (cpuMillicores > 0 ? fillerShare : 0));
            server.updateFrom(heartbeatOf("s", step, { capacity }), step * 500);
            pressure.observe(server, step * 500);
            // The next heartbeat reports the usage since this one.
            filler.measurement = fillerShare * cpuMillicores;
        }
        expect(pressure.expectedPressure("standing", "interfering")).toBeGreaterThan(7);
    },
);

// Guards against fillers that are hardly slowed beside a standing task near its target, since their need is a large
// multiple of what is left of the server.
it("expects no more of a filler than the use of the whole server, however small the server has become", () => {
    const server = new ServerView("s", 1, 0, 0);
    expect(server.cpuShareOf(1_000)).toBe(1);
    server.updateFrom(heartbeatOf("s", 1), 0);
    expect(server.cpuShareOf(1_000)).toBe(0.25);
});
