/** Returns the host of a `host:port` address. Empty for an empty address. */
export const hostOf = (address: string): string => address.slice(0, Math.max(0, address.lastIndexOf(":")));
