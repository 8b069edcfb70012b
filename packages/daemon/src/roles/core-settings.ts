import { defaultControlSettings } from "@waxwingspread/control";
import type { ControlSettings } from "@waxwingspread/control";
import { defaultSchedulerSettings } from "@waxwingspread/scheduler";
import type { SchedulerSettings } from "@waxwingspread/scheduler";
import type { DaemonSettings } from "../settings/index.js";

/** Returns the control node's part of the settings. */
export const controlSettingsOf = ({ timings }: DaemonSettings): ControlSettings => ({
    ...defaultControlSettings,
    pollHoldMs: timings.pollHoldMs,
    configurationLeaseMs: timings.configurationLeaseMs,
    entryTimeoutMs: timings.entryLostAfterMs,
});

/** Returns the scheduler's part of the settings. */
export const schedulerSettingsOf = ({ timings }: DaemonSettings): SchedulerSettings => ({
    ...defaultSchedulerSettings,
    startWindowMs: timings.startWindowMs,
    leaseMs: timings.taskLeaseMs,
    leaseMarginMs: timings.leaseMarginMs,
    entryTimeoutMs: timings.entryLostAfterMs,
    resendMs: timings.orderRepeatMs,
});

const SEED_MULTIPLIER = 31;

/** Returns a seed that differs between replicas and is the same for the same name. */
export const seedOf = (name: string): number =>
    [...name].reduce((seed, character) => (Math.imul(seed, SEED_MULTIPLIER) + character.charCodeAt(0)) | 0, 1);
