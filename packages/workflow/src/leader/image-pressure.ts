import { TaskKind } from "../model/specification.js";
import type { RunView, ServerView } from "./server-view.js";

/** Weight of a new observation in an image's pressure. */
const LEARNING_RATIO = 0.06;
/** Pressure of an image that has not been observed. */
const PRIOR_PRESSURE = 0.5;
/** Ratio of tail to target above which more of it teaches nothing. */
const MAX_TAIL_RATIO = 3;
/** Pressure from which on an image is kept away from standing tasks. */
export const HEAVY_PRESSURE = 0.55;

/** Returns the worst ratio of tail to target among the standing tasks of a server; undefined without any. */
export const worstTailRatio = (server: ServerView): number | undefined => {
    let worst: number | undefined;
    for (const run of server.runs.values()) {
        const { targetTailMs } = run.step;
        if (run.kind === TaskKind.Standing && run.measurement !== undefined && targetTailMs > 0) {
            worst = Math.max(worst ?? 0, run.measurement / targetTailMs);
        }
    }
    return worst;
};

/** Learns by image how much fillers lengthen the tails of the standing tasks beside them. */
export class ImagePressure {
    readonly #pressures = new Map<string, number>();

    /** Returns an image's pressure: about the ratio of tail to target seen beside it at full speed. */
    of(image: string): number {
        return this.#pressures.get(image) ?? PRIOR_PRESSURE;
    }

    /** Learns from a server's present measurements. */
    observe(server: ServerView): void {
        const worst = worstTailRatio(server);
        if (worst === undefined) {
            return;
        }
        const cpuByImage = this.#cpuByImage(server);
        const totalCpuMillicores = [...cpuByImage.values()].reduce((sum, cpu) => sum + cpu, 0);
        for (const [image, cpuMillicores] of cpuByImage) {
            // What a small share of the fillers' work coincides with says little about its image.
            const weight = LEARNING_RATIO * (cpuMillicores / Math.max(1, totalCpuMillicores));
            const known = this.of(image);
            this.#pressures.set(image, known + weight * (Math.min(worst, MAX_TAIL_RATIO) - known));
        }
    }

    #cpuByImage(server: ServerView): Map<string, number> {
        const cpuByImage = new Map<string, number>();
        for (const run of server.runs.values()) {
            if (isAtWork(run)) {
                const known = cpuByImage.get(run.step.image) ?? 0;
                cpuByImage.set(run.step.image, known + (run.measurement ?? 0));
            }
        }
        return cpuByImage;
    }
}

const isAtWork = (run: RunView): boolean =>
    run.kind === TaskKind.Filler && run.isReported && run.pacePercent > 0 && (run.measurement ?? 0) > 0;
