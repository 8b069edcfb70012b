type NumericEnum = Record<string, string | number>;

/** Returns an enum member's name in lower case with dashes; empty for the unspecified member. */
export const enumName = (members: NumericEnum, value: number): string =>
    value === 0 ? "" : String(members[value] ?? value).toLowerCase().replaceAll("_", "-");

/** Returns a time in milliseconds since the epoch as ISO 8601; empty for zero. */
export const formatTime = (timeMs: number): string => timeMs === 0 ? "" : new Date(timeMs).toISOString();

/** Returns bytes as lower-case hexadecimal digits. */
export const toHex = (bytes: Uint8Array): string => Buffer.from(bytes).toString("hex");
