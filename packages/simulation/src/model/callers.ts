import type { CallOrigin, Configuration, JobSpecification } from "@waxwingspread/workflow";
import { configurationOf, HOST, organisationOf } from "@waxwingspread/workflow/testing";

/** Returns a configuration with the queues `/batch/` and `/urgent/`, and with the given organisations. */
export const configurationWith = (maxAttempts: number, names?: readonly string[]): Configuration => {
    const configuration = configurationOf(1);
    const queues = configuration.queues.map(queue => ({ ...queue, maxAttempts, priority: 1 }));
    const urgent = queues.map(queue => ({ ...queue, name: "urgent", pathPrefix: "/urgent/", priority: 0 }));
    const organisations = names?.map(name => organisationOf(name));
    return {
        ...configuration,
        queues: [...queues, ...urgent],
        ...organisations === undefined ? {} : { organisations },
    };
};

/** Returns a job as the leader records it: with the organisation whose key its caller sends. */
export const ownedJobOf = (submitted: JobSpecification, organisations: readonly string[] = []): JobSpecification => {
    const organisation = submitted.organisation ?? organisations[0];
    return organisation === undefined ? submitted : { ...submitted, organisation };
};

/** Returns the origin of a call for a job, with the key of its organisation. */
export const originOf = (
    { id, organisation }: Pick<JobSpecification, "id" | "organisation">,
    queue = "batch",
): CallOrigin => ({ host: HOST, path: `/${queue}/${id}`, keyDigest: organisation });
