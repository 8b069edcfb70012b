import { TaskKind } from "../model/specification.js";
import { worstTailRatio } from "./image-pressure.js";
import type { ImagePressure } from "./image-pressure.js";
import type { RunView, ServerView } from "./server-view.js";

/** Ratio of tail to target above which fillers are slowed. */
const SLOW_ABOVE_RATIO = 0.85;
/** Ratio of tail to target below which fillers may work faster again. */
const QUICKEN_BELOW_RATIO = 0.6;
const SLOW_FACTOR = 0.4;
const QUICKEN_PERCENT = 15;
/** Paces below this are rounded down to a standstill. */
const MIN_PACE_PERCENT = 10;
/** Tails are measured over half a second; an earlier change would act twice on one measurement. */
const ADJUST_INTERVAL_MS = 400;
/** A server whose tails stay over their targets for this long has all its fillers paused. */
const PAUSE_ALL_AFTER_MS = 2_000;

interface ServerPacing {
    adjustedAtMs: number;
    /** Since when a tail has been over its target; undefined while none is. */
    overSinceMs: number | undefined;
}

/** Slows fillers on servers whose standing tasks come near their target tail, the most pressing images first. */
export class FillerPacing {
    readonly #servers = new Map<string, ServerPacing>();
    readonly #pressure: ImagePressure;

    constructor(pressure: ImagePressure) {
        this.#pressure = pressure;
    }

    /** Sets the wanted pace of a server's fillers from its present measurements. */
    adjust(server: ServerView, nowMs: number): void {
        const fillers = [...server.runs.values()].filter(run => run.kind === TaskKind.Filler);
        const pacing = this.#servers.get(server.id) ?? { adjustedAtMs: -Infinity, overSinceMs: undefined };
        this.#servers.set(server.id, pacing);
        const worst = worstTailRatio(server);
        pacing.overSinceMs = worst !== undefined && worst > 1 ? pacing.overSinceMs ?? nowMs : undefined;
        if (fillers.length === 0 || nowMs - pacing.adjustedAtMs < ADJUST_INTERVAL_MS) {
            return;
        }
        pacing.adjustedAtMs = nowMs;
        if (worst === undefined) {
            fillers.forEach(run => quicken(run, 100));
            return;
        }
        if (pacing.overSinceMs !== undefined && nowMs - pacing.overSinceMs >= PAUSE_ALL_AFTER_MS) {
            fillers.forEach(pause);
        }
        else if (worst > SLOW_ABOVE_RATIO) {
            this.#slowMostPressing(fillers);
        }
        else if (worst < QUICKEN_BELOW_RATIO) {
            fillers.forEach(run => quicken(run, QUICKEN_PERCENT));
        }
    }

    forget(serverId: string): void {
        this.#servers.delete(serverId);
    }

    /** Slows the images that press most and still work; the next adjustment goes on with the others. */
    #slowMostPressing(fillers: RunView[]): void {
        const working = fillers.filter(run => run.wantedPacePercent > 0);
        const most = Math.max(...working.map(run => this.#pressure.of(run.step.image)));
        for (const run of working) {
            if (this.#pressure.of(run.step.image) >= most * 0.7) {
                const pacePercent = Math.floor(run.wantedPacePercent * SLOW_FACTOR);
                run.wantedPacePercent = pacePercent < MIN_PACE_PERCENT ? 0 : pacePercent;
            }
        }
    }
}

const pause = (run: RunView): void => {
    run.wantedPacePercent = 0;
};

const quicken = (run: RunView, byPercent: number): void => {
    run.wantedPacePercent = Math.min(100, run.wantedPacePercent + byPercent);
};
