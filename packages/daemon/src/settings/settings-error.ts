/** One fault in the settings. */
export interface SettingsFault {
    /** Flag with its dashes; undefined when only a variable is concerned. */
    readonly flag: string | undefined;
    readonly variable: string | undefined;
    /** Value as given; undefined when absent. Secrets are replaced before they get here. */
    readonly given: string | undefined;
    /** What is allowed or missing. */
    readonly allowed: string;
}

const describeFault = (fault: SettingsFault): string => {
    const names = [fault.flag, fault.variable].filter(item => item !== undefined).join(" / ");
    const given = fault.given === undefined ? "not given" : `given ${JSON.stringify(fault.given)}`;
    return `  ${names}: ${given}; allowed: ${fault.allowed}`;
};

/** All faults found in the settings, in one message. */
export class SettingsError extends Error {
    constructor(readonly faults: readonly SettingsFault[]) {
        const count = faults.length === 1 ? "1 fault" : `${faults.length} faults`;
        super([`settings have ${count}:`, ...faults.map(describeFault)].join("\n"));
        this.name = "SettingsError";
    }
}
