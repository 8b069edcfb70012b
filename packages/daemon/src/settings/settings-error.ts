/** One invalid, missing or unknown setting. */
export interface InvalidSetting {
    /** Flag with its dashes; undefined for an unknown environment variable. */
    readonly flag: string | undefined;
    /** Environment variable; undefined if only the flag is concerned. */
    readonly variable: string | undefined;
    /** Value as given; undefined if absent. Secrets must already be redacted. */
    readonly given: string | undefined;
    /** Description of the allowed values. */
    readonly allowed: string;
}

const formatInvalidSetting = (invalid: InvalidSetting): string => {
    const names = [invalid.flag, invalid.variable].filter(item => item !== undefined).join(" / ");
    const given = invalid.given === undefined ? "not given" : `given ${JSON.stringify(invalid.given)}`;
    return `  ${names}: ${given}; allowed: ${invalid.allowed}`;
};

/** Error that lists all invalid settings, one per line of its message. */
export class SettingsError extends Error {
    constructor(readonly errors: readonly InvalidSetting[]) {
        const count = errors.length === 1 ? "1 error" : `${errors.length} errors`;
        super([`invalid settings, ${count}:`, ...errors.map(formatInvalidSetting)].join("\n"));
        this.name = "SettingsError";
    }
}
