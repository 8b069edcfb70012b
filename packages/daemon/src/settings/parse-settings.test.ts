import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { DaemonRole, formatSettings, parseSettings, settingsHelp, settingsTable } from "./index.js";

const HASH = `${"ab".repeat(16)}:${"cd".repeat(32)}`;
const BOTH = [
    "--role=both",
    "--vm-name=presov-1",
    "--availability-zone=presov-a",
    "--listen-callers=0.0.0.0:7000",
    "--listen-control=10.0.0.1:7001",
    "--listen-operators=127.0.0.1:7002",
    "--advertise-host=10.0.0.1",
    "--control-addresses=10.0.0.1:7001,[fd00::2]:7001",
    "--data-folder=/var/lib/waxwingspread",
    "--bootstrap-peers=presov-1=10.0.0.1:7001,kosice-1=10.0.1.1:7001,poprad-1=10.0.2.1:7001",
    `--operator-token-hash=${HASH}`,
];

const errorLinesOf = (argv: string[], environment = {}): string[] => {
    const result = parseSettings(argv, environment);
    return result.isErr() ? result.error.message.split("\n") : [];
};

describe("parseSettings", () => {
    it("accepts a complete set, gives a flag precedence over its variable, and freezes the result", () => {
        const environment = { WAXWINGSPREAD_VM_NAME: "other", WAXWINGSPREAD_HEARTBEAT_MS: "50" };
        const settings = parseSettings(BOTH, environment).unwrap();
        expect(settings.role).toBe(DaemonRole.Both);
        expect(settings.vmName).toBe("presov-1");
        expect(settings.timings.heartbeatMs).toBe(50);
        expect(settings.controlAddresses[1]).toEqual({ host: "fd00::2", port: 7001 });
        expect(Object.isFrozen(settings.bootstrapPeers[0]?.address)).toBe(true);
    });

    it("does not require a data folder or a control listener for an entry", () => {
        const args = BOTH.filter(item => !/--(role|listen-control|data-folder|bootstrap)/.test(item));
        const settings = parseSettings(["--role=entry", ...args], {}).unwrap();
        expect(settings.listeners.control).toBeUndefined();
        expect(settings.advertiseHost).toBe("10.0.0.1");
    });

    it("reports every invalid setting at once instead of stopping at the first one", () => {
        const argv = ["--role=leader", "--vm-name=Presov_1", "--listen-callers=host:1", "--oops=1", "stray"];
        const environment = {
            WAXWINGSPREAD_HEARTBEAT_MS: "300",
            WAXWINGSPREAD_PAYLOAD_LIMIT_BYTES: "1e6",
            WAXWINGSPREAD_DATA_FOLDR: "/x",
            WAXWINGSPREAD_OPERATOR_TOKEN: "token of the command line in the same shell",
        };
        const lines = errorLinesOf(argv, environment);
        const expected = [
            "invalid settings, 11 errors:",
            "--oops:",
            "argument:",
            "WAXWINGSPREAD_DATA_FOLDR:",
            "--role / WAXWINGSPREAD_ROLE: given \"leader\"; allowed: entry | control | both",
            "--vm-name / WAXWINGSPREAD_VM_NAME: given \"Presov_1\"",
            "--availability-zone / WAXWINGSPREAD_AVAILABILITY_ZONE: not given",
            "--listen-callers / WAXWINGSPREAD_LISTEN_CALLERS: given \"host:1\"",
            "--listen-operators / WAXWINGSPREAD_LISTEN_OPERATORS: not given",
            "--operator-token-hash / WAXWINGSPREAD_OPERATOR_TOKEN_HASH: not given",
            "--payload-limit-bytes / WAXWINGSPREAD_PAYLOAD_LIMIT_BYTES: given \"1e6\"",
            "--minimum-election-timeout-ms / WAXWINGSPREAD_MINIMUM_ELECTION_TIMEOUT_MS: given \"400\"; "
            + "allowed: at least 2 times --heartbeat-ms (600)",
        ];
        expect(lines).toHaveLength(expected.length);
        expected.forEach((text, index) => expect(lines[index]).toContain(text));
    });

    it.each([
        ["a listener address used twice", ["--listen-operators=10.0.0.1:7000"], "other than --listen-callers"],
        ["peers without this VM", ["--vm-name=grandi"], "must contain this VM as grandi=10.0.0.1:7001"],
        ["an even number of peers", ["--bootstrap-peers=presov-1=10.0.0.1:7001,a=10.0.0.2:7001"], "odd number"],
        ["a configuration lease above 2 s", ["--configuration-lease-ms=2000"], "below 2000"],
        ["a poll held beyond its deadline", ["--poll-hold-ms=800"], "at least --poll-hold-ms (800)"],
        ["a payload limit above what entries keep", ["--payload-limit-bytes=262145"], "1024 to 262144"],
        ["an address translated twice", [
            "--address-translations=10.0.0.1:7001=10.0.0.9:1,10.0.0.1:7001=10.0.0.9:2",
        ], "each first address once"],
        ["a setting without a value", ["--data-folder"], "absolute path"],
    ])("rejects %s", (unusedLabel, changes, allowed) => {
        const flags = changes.map(change => `${change.split("=", 1)[0]}=`);
        const kept = BOTH.filter(item => !flags.some(flag => item.startsWith(flag)));
        expect(errorLinesOf([...kept, ...changes]).join("\n")).toContain(allowed);
    });

    it("rejects a flag given twice and a wildcard listener without an advertised host", () => {
        expect(errorLinesOf([...BOTH, "--vm-name=b"]).join()).toContain("given once");
        const argv = BOTH.filter(item => !item.startsWith("--advertise"));
        expect(errorLinesOf(argv).join()).toContain("must be given when a listener is bound");
    });

    it("never prints the operator token hash, not even a malformed one", () => {
        const printed = formatSettings(parseSettings([...BOTH, "--print-settings"], {}).unwrap());
        expect(printed).not.toContain("cd".repeat(32));
        const argv = BOTH.filter(item => !item.startsWith("--operator"));
        expect(errorLinesOf([...argv, "--operator-token-hash=plain-token"]).join()).not.toContain("plain-token");
    });

    it("lists every variable in the help", async () => {
        expect(await settingsHelp()).toContain("WAXWINGSPREAD_ANSWER_LIMIT_BYTES");
    });

    it("matches the settings table of the operators' documentation", () => {
        const page = readFileSync(new URL("../../../../docs/operators.md", import.meta.url), "utf8");
        expect(page).toContain(settingsTable());
    });
});
