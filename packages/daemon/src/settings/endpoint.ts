import { isIP } from "node:net";

/** TCP address of a listener or of a peer. */
export interface Endpoint {
    /** IPv4 or IPv6 address, without brackets. */
    readonly host: string;
    readonly port: number;
}

const MAX_PORT = 65_535;
const ENDPOINT_PATTERN = /^(?:\[([^\]]+)\]|([^:\s]+)):(\d{1,5})$/;

/** Formats an endpoint as `host:port`, with brackets around an IPv6 address. */
export const formatEndpoint = (endpoint: Endpoint): string =>
    isIP(endpoint.host) === 6 ? `[${endpoint.host}]:${endpoint.port}` : `${endpoint.host}:${endpoint.port}`;

/** Parses `IP address:port`. Returns undefined for anything else, including host names. */
export const parseEndpoint = (text: string): Endpoint | undefined => {
    const match = ENDPOINT_PATTERN.exec(text);
    const bracketed = match?.[1];
    const host = bracketed ?? match?.[2] ?? "";
    const port = Number(match?.[3] ?? 0);
    const expectedFamily = bracketed === undefined ? 4 : 6;
    const valid = isIP(host) === expectedFamily && port >= 1 && port <= MAX_PORT;
    return valid ? { host, port } : undefined;
};

/** Returns whether this is a wildcard address, on which a listener accepts connections to every address of the VM. */
export const isUnspecifiedHost = (host: string): boolean => host === "0.0.0.0" || host === "::";
