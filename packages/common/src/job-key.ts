/** Identifies a job among all customers; a request id alone is unique only within its customer. */
export type JobKey = string;

interface JobIdentity {
    customer: string;
    requestId: string;
}

const SEPARATOR = "\u0000";

/** Returns the key of the job with the given customer and request id. */
export const jobKeyOf = (identity: JobIdentity): JobKey => `${identity.customer}${SEPARATOR}${identity.requestId}`;

/** Returns the customer and the request id of a key. */
export const parseJobKey = (key: JobKey): JobIdentity => {
    const position = key.indexOf(SEPARATOR);
    return { customer: key.slice(0, position), requestId: key.slice(position + 1) };
};
