import type { LeaderSession, Times } from "@waxwingspread/workflow";
import type { Logger } from "pino";
import type { ControlMetrics } from "./workflow-metrics.js";

/** Organisations with a line of their own in each report, the busiest ones first. */
const MAX_LOGGED_ORGANISATIONS = 20;

/** Reports what a leader's servers are used for, what organisations hold, what waits and why, and who pays for it. */
export const reportSession = (session: LeaderSession, metrics: ControlMetrics, logger: Logger, times: Times): void => {
    const utilization = session.utilization();
    metrics.setUtilization(utilization);
    logger.info(utilization, "utilization");
    const organisations = session.organisations();
    metrics.setOrganisations(organisations);
    organisations.slice(0, MAX_LOGGED_ORGANISATIONS).forEach(usage => logger.info(usage, "organisation"));
    const reports = session.waitReports(times);
    metrics.setWaitReports(reports);
    reports.forEach(report => logger.warn(report, "task waits for a start"));
    reportOverload(session, metrics, logger, times);
};

const reportOverload = (session: LeaderSession, metrics: ControlMetrics, logger: Logger, times: Times): void => {
    const report = session.overload.takeReport(times);
    const { waits, outcomes, ...decisions } = report;
    metrics.overload.record(report);
    waits.forEach(summary => logger.info(summary, "waiting steps"));
    logger.info(outcomes.counts, "job outcomes");
    logger.info(decisions, "overload control");
    outcomes.lateJobs.forEach(outcome => logger.info(outcome, "job ended late"));
};
