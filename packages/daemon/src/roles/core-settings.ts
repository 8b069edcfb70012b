import { defaultControlSettings } from "@waxwingspread/control";
import type { ControlSettings } from "@waxwingspread/control";
import { defaultSchedulerSettings } from "@waxwingspread/scheduler";
import type { SchedulerSettings } from "@waxwingspread/scheduler";
import type { DaemonSettings } from "../settings/index.js";

/** Returns the settings of the control node: its defaults with the configured timings. */
export const controlSettingsOf = ({ timings }: DaemonSettings): ControlSettings => ({
    ...defaultControlSettings,
    pollHoldMs: timings.pollHoldMs,
    configurationLeaseMs: timings.configurationLeaseMs,
    entryTimeoutMs: timings.entryLostAfterMs,
});

/** Returns the settings of the scheduler: its defaults with the configured timings. */
export const schedulerSettingsOf = ({ timings }: DaemonSettings): SchedulerSettings => ({
    ...defaultSchedulerSettings,
    startWindowMs: timings.startWindowMs,
    leaseMs: timings.taskLeaseMs,
    leaseMarginMs: timings.leaseMarginMs,
    entryTimeoutMs: timings.entryLostAfterMs,
    resendMs: timings.orderRepeatMs,
});

const SEED_MULTIPLIER = 31;

/** Derives a deterministic seed from a name, so that replicas with different names rarely share a seed. */
export const seedOf = (name: string): number =>
    [...name].reduce((seed, character) => (Math.imul(seed, SEED_MULTIPLIER) + character.charCodeAt(0)) | 0, 1);
