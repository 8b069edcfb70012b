/** Returns the host of a `host:port` address. Empty for an empty address. */
export const hostOf = (address: string): string => address.slice(0, Math.max(0, address.lastIndexOf(":")));

const PORT_PATTERN = /:(\d{1,5})$/;
const MAX_PORT = 65_535;

/** Returns the port of a `host:port` address; undefined if it has no host or no valid port. */
export const portOf = (address: string): number | undefined => {
    const port = Number(PORT_PATTERN.exec(address)?.[1] ?? 0);
    return hostOf(address) !== "" && port >= 1 && port <= MAX_PORT ? port : undefined;
};
