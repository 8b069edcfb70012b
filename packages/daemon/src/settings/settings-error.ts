/** One invalid, missing or unknown setting. */
export interface SettingsFault {
    /** Flag with its dashes; undefined for an unknown environment variable. */
    readonly flag: string | undefined;
    /** Environment variable; undefined if only the flag is concerned. */
    readonly variable: string | undefined;
    /** Value as given; undefined if absent. Secrets must already be redacted. */
    readonly given: string | undefined;
    /** Description of the allowed values. */
    readonly allowed: string;
}

const describeFault = (fault: SettingsFault): string => {
    const names = [fault.flag, fault.variable].filter(item => item !== undefined).join(" / ");
    const given = fault.given === undefined ? "not given" : `given ${JSON.stringify(fault.given)}`;
    return `  ${names}: ${given}; allowed: ${fault.allowed}`;
};

/** Error that lists all invalid settings, one per line of its message. */
export class SettingsError extends Error {
    constructor(readonly faults: readonly SettingsFault[]) {
        const count = faults.length === 1 ? "1 error" : `${faults.length} errors`;
        super([`invalid settings, ${count}:`, ...faults.map(describeFault)].join("\n"));
        this.name = "SettingsError";
    }
}
