export { formatEndpoint, parseEndpoint } from "./endpoint.js";
export type { Endpoint } from "./endpoint.js";
export { formatSettings, parseSettings } from "./parse-settings.js";
export { SettingsError } from "./settings-error.js";
export type { SettingsFault } from "./settings-error.js";
export { settingsTable } from "./settings-table.js";
export { settingsHelp } from "./source.js";
export * from "./types.js";
