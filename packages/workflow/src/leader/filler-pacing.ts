import { TaskKind } from "../model/specification.js";
import { tailRatioOf } from "./pressure-model.js";
import type { PressureModel } from "./pressure-model.js";
import type { RunView, ServerView } from "./server-view.js";

/** Ratio of tail latency to target above which the fillers that affect the standing task are slowed. */
const SLOWING_THRESHOLD_RATIO = 0.8;
/** Setpoint of that ratio: slowing aims at it, and paces rise only as far as the expected ratio does not exceed it. */
const SETPOINT_RATIO = 0.65;
/** Paces below this are rounded down to 0. */
const MIN_PACE_PERCENT = 10;
/** A filler that raises the log tail latency by less than this is not slowed. */
const MIN_SIGNIFICANT_EFFECT = 0.03;
/** Upper bound on the increase of a pace in one adjustment. */
const MAX_PACE_INCREASE_PERCENT = 35;
/** Tail latencies are measured over half a second; a shorter interval would react twice to one measurement. */
const ADJUSTMENT_INTERVAL_MS = 450;
/** Time for which a standing task must be over its target before all fillers on its server are paused. */
const PAUSE_ALL_AFTER_MS = 2_500;

/** Controls the paces of fillers to keep the tail latencies of the standing tasks beside them below their targets. */
export class FillerPacing {
    readonly #adjustedAtMs = new Map<string, number>();
    /** Time since which a standing task has been over its target, by task key. */
    readonly #overTargetSinceMs = new Map<string, number>();
    readonly #pressure: PressureModel;

    constructor(pressure: PressureModel) {
        this.#pressure = pressure;
    }

    /** Sets the paces of a server's fillers from its current measurements, at most once per adjustment interval. */
    adjust(server: ServerView, nowMs: number): void {
        const runs = [...server.runs.values()];
        const fillers = runs.filter(run => run.kind === TaskKind.Filler);
        const standing = runs.filter(run => tailRatioOf(run) !== undefined);
        standing.forEach(run => this.#trackTarget(run, nowMs));
        if (fillers.length === 0 || nowMs - (this.#adjustedAtMs.get(server.id) ?? -Infinity) < ADJUSTMENT_INTERVAL_MS) {
            return;
        }
        this.#adjustedAtMs.set(server.id, nowMs);
        if (standing.some(run => nowMs - (this.#overTargetSinceMs.get(run.task) ?? nowMs) >= PAUSE_ALL_AFTER_MS)) {
            fillers.forEach(pause);
            return;
        }
        const nearTarget = standing.filter(run => (tailRatioOf(run) ?? 0) > SLOWING_THRESHOLD_RATIO);
        nearTarget.forEach(run => this.#lowerPaces(run, fillers, server));
        if (nearTarget.length === 0) {
            fillers.forEach(filler => this.#raisePace(filler, standing, server));
        }
    }

    /** Discards the state of a removed server. */
    forget(server: ServerView): void {
        this.#adjustedAtMs.delete(server.id);
        server.runs.forEach(run => this.#overTargetSinceMs.delete(run.task));
    }

    #trackTarget(run: RunView, nowMs: number): void {
        if ((tailRatioOf(run) ?? 0) <= 1) {
            this.#overTargetSinceMs.delete(run.task);
        }
        else if (!this.#overTargetSinceMs.has(run.task)) {
            this.#overTargetSinceMs.set(run.task, nowMs);
        }
    }

    /** Slows the fillers that affect one standing task most until its expected tail latency is at the setpoint. */
    #lowerPaces(standing: RunView, fillers: readonly RunView[], server: ServerView): void {
        let excess = Math.log((tailRatioOf(standing) ?? 0) / SETPOINT_RATIO);
        const byEffect = fillers
            .map(filler => ({ filler, effect: this.#effectOf(standing, filler, server) }))
            .sort((a, b) => b.effect - a.effect);
        for (const { filler, effect } of byEffect) {
            const currentEffect = effect * (filler.targetPacePercent / 100);
            if (excess <= 0 || currentEffect < MIN_SIGNIFICANT_EFFECT) {
                return;
            }
            const reduction = Math.min(currentEffect, excess);
            const pacePercent = Math.floor(((currentEffect - reduction) / effect) * 100);
            filler.targetPacePercent = pacePercent < MIN_PACE_PERCENT ? 0 : pacePercent;
            excess -= reduction;
        }
    }

    /** Raises the pace of a filler as far as no tail latency is expected to exceed the setpoint. */
    #raisePace(filler: RunView, standing: readonly RunView[], server: ServerView): void {
        let allowedPercent = Math.min(MAX_PACE_INCREASE_PERCENT, 100 - filler.targetPacePercent);
        for (const run of standing) {
            const effect = this.#effectOf(run, filler, server);
            const margin = Math.log(SETPOINT_RATIO / Math.max(0.01, tailRatioOf(run) ?? 0));
            if (effect >= MIN_SIGNIFICANT_EFFECT) {
                allowedPercent = Math.min(allowedPercent, Math.max(0, (margin / effect) * 100));
            }
        }
        filler.targetPacePercent += Math.floor(allowedPercent);
    }

    /** Returns the expected increase of the log tail latency of a standing task by a filler at full speed. */
    #effectOf(standing: RunView, filler: RunView, server: ServerView): number {
        const pressure = this.#pressure.expectedPressure(standing.step.image, filler.step.image);
        return pressure * server.cpuShareOf(filler.step.amounts.cpuMillicores);
    }
}

const pause = (run: RunView): void => {
    run.targetPacePercent = 0;
};
