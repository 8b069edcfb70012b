import type { CallerJob } from "../fuzz/callers.js";
import type { Session } from "./session.js";

const OUTCOME_TIMEOUT_MS = 120_000;
const COMMAND_TIMEOUT_MS = 10_000;
const WAVE_JOBS = 30;
const WAVE_DELAY_MS = 700;

const waitForOutcomes = (session: Session, jobs: CallerJob[]): Promise<void> =>
    session.fleet.waitUntil(() => jobs.every(({ ended }) => ended !== undefined), OUTCOME_TIMEOUT_MS, "all outcomes");

const waitForAnswers = ({ fleet }: Session): Promise<void> =>
    fleet.waitUntil(
        () => fleet.operators.commands.every(({ outcome }) => outcome !== undefined),
        COMMAND_TIMEOUT_MS,
        "answers to all commands",
    );

const quoteWithCheckAndTrial = async (session: Session): Promise<void> => {
    const { callers } = session.fleet;
    const trial = callers.submit({ workClass: "trial", runMs: 1_500 });
    await session.fleet.advance(300);
    const check = callers.submit({ workClass: "check", runMs: 30 });
    await waitForOutcomes(session, [trial, check]);
};

const recallDuringZoneOut = async (session: Session): Promise<void> => {
    const { fleet } = session;
    const { callers, operators } = fleet;
    const watch = callers.submit({ workClass: "watch", runMs: 0 });
    const recalls = [1, 2, 3, 4].map(() => callers.submit({ workClass: "trial", runMs: 4_000 }));
    await fleet.advance(1_000);
    const [segment] = fleet.oracle.segmentsOf(watch);
    const zone = fleet.servers.find(({ name }) => name === segment?.backendServerId)?.host.zone ?? "a";
    operators.takeZoneOut(zone);
    await fleet.advance(4_000);
    operators.bringZoneBack(zone);
    await fleet.advance(1_000);
    const lateTrial = callers.submit({ workClass: "trial", runMs: 500 });
    await waitForOutcomes(session, [...recalls, lateTrial]);
    callers.cancel([watch]);
    await waitForOutcomes(session, [watch]);
};

const leaderLostDuringTrial = async (session: Session): Promise<void> => {
    const { fleet } = session;
    const trial = fleet.callers.submit({ workClass: "trial", runMs: 3_000 });
    await fleet.advance(1_000);
    const { leader } = fleet;
    session.note(`kills the leader ${leader?.name}`);
    leader?.kill();
    await fleet.advance(1_200);
    const check = fleet.callers.submit({ workClass: "check", runMs: 30 });
    await fleet.advance(800);
    session.note(`restarts ${leader?.name}`);
    leader?.start();
    await waitForOutcomes(session, [trial, check]);
};

const racingOperators = async (session: Session): Promise<void> => {
    const { operators } = session.fleet;
    const first = operators.writeContract(2);
    const second = operators.writeContract(3);
    await waitForAnswers(session);
    operators.resend(first);
    operators.resend(second);
    await session.fleet.advance(COMMAND_TIMEOUT_MS / 10);
    operators.writeContract(4);
    await waitForAnswers(session);
};

const waveOfCancellations = async (session: Session): Promise<void> => {
    const { callers } = session.fleet;
    const jobs = Array.from({ length: WAVE_JOBS }, () => callers.submit({ workClass: "study", runMs: 5_000 }));
    await session.fleet.advance(WAVE_DELAY_MS);
    callers.cancel(jobs);
    await waitForOutcomes(session, jobs);
};

const poisonedJob = async (session: Session): Promise<void> => {
    const { callers } = session.fleet;
    const poisoned = callers.submit({ workClass: "study", runMs: 200, fail: true });
    const good = callers.submit({ workClass: "study", runMs: 200 });
    await waitForOutcomes(session, [poisoned, good]);
};

/** Scripts of the golden sessions by the name of the session's file. */
export const SCRIPTS: Readonly<Record<string, (session: Session) => Promise<void>>> = {
    "quote-with-check-and-trial": quoteWithCheckAndTrial,
    "recall-during-zone-out": recallDuringZoneOut,
    "leader-lost-during-trial": leaderLostDuringTrial,
    "racing-operators": racingOperators,
    "wave-of-cancellations": waveOfCancellations,
    "poisoned-job": poisonedJob,
};

/** Seed of all golden sessions. */
export const GOLDEN_SEED = 7;
