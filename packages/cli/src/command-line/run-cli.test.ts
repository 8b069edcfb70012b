import type { MessageInitShape } from "@bufbuild/protobuf";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import {
    ControlService,
    ErrorCode,
    HealthState,
    JournalService,
    ReplicaService,
    ZoneState,
} from "@waxwingspread/protocol";
import type {
    ErrorDetailSchema,
    OperatorCommand,
    OperatorQueryResultSchema,
    OperatorResultSchema,
} from "@waxwingspread/protocol";
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { createServer } from "node:http2";
import type { Http2Server, ServerHttp2Session } from "node:http2";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { parseContractFile } from "../contract/contract-file.js";
import { toContract } from "../contract/contract-message.js";
import { ExitCode } from "./cli-failure.js";
import type { CliIo } from "./cli-io.js";
import { runCli } from "./run-cli.js";

type Reply = MessageInitShape<typeof OperatorResultSchema> | "lose-connection";
type QueryReply = MessageInitShape<typeof OperatorQueryResultSchema>;
type ErrorFields = MessageInitShape<typeof ErrorDetailSchema>;

const TOKEN = "operator-token";
const FILTER_MAKER = readFileSync(
    new URL("../../../../examples/filter-maker.contract.yaml", import.meta.url),
    "utf8",
);
const CONFIGURATION = { revision: 7, contracts: [] };

/** Control replica in this process that sends predefined replies; the last one is repeated. */
class StandInReplica {
    readonly commands: OperatorCommand[] = [];
    queries = 0;
    readonly #sessions = new Set<ServerHttp2Session>();
    readonly #server: Http2Server;

    constructor(readonly replies: Reply[], readonly queryReply: QueryReply = { configuration: CONFIGURATION }) {
        const handler = connectNodeAdapter({
            routes: router => {
                router.service(ControlService, {
                    execute: command => this.#execute(command),
                    query: query => {
                        this.queries += 1;
                        const denied = { error: { code: ErrorCode.UNAUTHENTICATED, message: "unknown token" } };
                        return query.operatorToken === TOKEN ? this.queryReply : denied;
                    },
                });
                router.service(ReplicaService, {
                    describe: () => ({ identity: { name: "kosice-1", diskId: "disk-9", address: "" } }),
                });
                router.service(JournalService, {
                    readJournal: ({ customer, requestId }) => ({
                        process: "presov-1",
                        dropped: 3,
                        events: [{ wallMs: 1_000, process: "presov-1", name: "submitted", customer, requestId }],
                    }),
                });
            },
        });
        this.#server = createServer(handler);
        this.#server.on("session", session => this.#sessions.add(session));
    }

    async listen(): Promise<string> {
        await new Promise<void>(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    }

    close(): void {
        this.#sessions.forEach(session => session.destroy());
        this.#server.close();
    }

    #execute(command: OperatorCommand): MessageInitShape<typeof OperatorResultSchema> {
        const reply = this.replies[Math.min(this.commands.length, this.replies.length - 1)] ?? {};
        this.commands.push(command);
        if (reply === "lose-connection") {
            this.#sessions.forEach(session => session.destroy());
            return {};
        }
        return reply;
    }
}

const startedReplicas: StandInReplica[] = [];

const startReplica = async (replies: Reply[], queryReply?: QueryReply): Promise<[StandInReplica, string]> => {
    const replica = new StandInReplica(replies, queryReply);
    startedReplicas.push(replica);
    return [replica, await replica.listen()];
};

interface RunResult {
    code: ExitCode;
    out: string;
    error: string;
    written: Map<string, string>;
}

/** Runs one command line with a simulated clock that advances only in `sleep`. */
const run = async (line: string, control: string, files: Record<string, string> = {}): Promise<RunResult> => {
    const output = { out: "", error: "", written: new Map<string, string>() };
    let nowMs = 1_000;
    const io: CliIo = {
        environment: { WAXWINGSPREAD_CONTROL: control, WAXWINGSPREAD_OPERATOR_TOKEN: TOKEN },
        writeOut: text => void (output.out += text),
        writeError: text => void (output.error += text),
        readFile: path =>
            files[path] === undefined ? Promise.reject(new Error("no such file")) : Promise.resolve(files[path]),
        writeFile: (path, text) => Promise.resolve(void output.written.set(path, text)),
        nowMs: () => nowMs,
        sleep: durationMs => Promise.resolve(void (nowMs += durationMs)),
        randomBytes: count => new Uint8Array(count).fill(0xab),
    };
    return { code: await runCli(line.split(" "), io), ...output };
};

const errorReply = (code: ErrorCode, extras: ErrorFields = {}): Reply => ({
    error: { code, step: "execute", peer: "presov-1", message: "reason", ...extras },
});

afterEach(() => startedReplicas.splice(0).forEach(replica => replica.close()));

describe("commands", () => {
    it("retries a command with the same command id after a lost response, and reports its first outcome", async () => {
        const [replica, address] = await startReplica(["lose-connection", { revision: 8, repeatedCommand: true }]);
        const result = await run("zone out kosice-b --drain-within-ms 5000", address);
        expect(result).toMatchObject({ code: ExitCode.Ok, error: "" });
        expect(result.out).toBe("kosice-b out of service: done, revision 8 (outcome of an earlier send)\n");
        expect(replica.commands.map(command => command.commandId)).toEqual(["ab".repeat(16), "ab".repeat(16)]);
        expect(replica.commands.map(command => command.expectedRevision)).toEqual([7, 7]);
        expect(replica.commands[0]?.kind.value).toMatchObject({ availabilityZone: "kosice-b", drainWithinMs: 5000 });
    });

    it("reports an unknown outcome, with the arguments to learn it later", async () => {
        const [, address] = await startReplica([errorReply(ErrorCode.UNCERTAIN), errorReply(ErrorCode.UNAVAILABLE)]);
        const result = await run("zone back kosice-b --deadline-ms 1000", address);
        expect(result.code).toBe(ExitCode.OutcomeUnknown);
        expect(result.error).toContain(`--command-id ${"ab".repeat(16)} --expected-revision 7`);
    });

    it("recognizes its own membership change after the first response was lost", async () => {
        const inProgress = errorReply(ErrorCode.MEMBERSHIP_CHANGE_IN_PROGRESS);
        const [replica, address] = await startReplica(["lose-connection", inProgress, { revision: 8 }, inProgress]);
        expect((await run("replica promote disk-9", address)).code).toBe(ExitCode.Ok);
        expect(replica.commands).toHaveLength(3);
        expect((await run("replica promote disk-9", address)).code).toBe(ExitCode.Refused);
    });

    it("follows the leader hint of a follower", async () => {
        const [leader, leaderAddress] = await startReplica([{ revision: 8 }]);
        const notLeader = { error: { code: ErrorCode.NOT_LEADER, leaderAddress } };
        const [follower, followerAddress] = await startReplica([notLeader], notLeader);
        expect((await run("zone back grandi", followerAddress)).code).toBe(ExitCode.Ok);
        expect([follower.queries, follower.commands.length, leader.commands.length]).toEqual([1, 0, 1]);
    });

    it("fails at the deadline when two replicas name each other as leader", async () => {
        const toSecond: { leaderAddress: string; code: ErrorCode } = { code: ErrorCode.NOT_LEADER, leaderAddress: "" };
        const [first, firstAddress] = await startReplica([], { error: toSecond });
        const [, secondAddress] = await startReplica([], {
            error: { code: ErrorCode.NOT_LEADER, leaderAddress: firstAddress },
        });
        toSecond.leaderAddress = secondAddress;
        expect((await run("quotas --deadline-ms 1500", firstAddress)).code).toBe(ExitCode.Unavailable);
        expect(first.queries).toBeLessThan(15);
    });

    it("calls the next replica when one refuses the connection", async () => {
        const [stopped, stoppedAddress] = await startReplica([]);
        stopped.close();
        const [, address] = await startReplica([{ revision: 8 }]);
        expect((await run("zone back grandi", `${stoppedAddress},${address}`)).code).toBe(ExitCode.Ok);
        expect((await run("zone back grandi", stoppedAddress)).code).toBe(ExitCode.Unavailable);
    });

    it("reports a refusal with the current revision, as JSON when asked to", async () => {
        const [replica, address] = await startReplica([
            errorReply(ErrorCode.REVISION_CONFLICT, { currentRevision: 9 }),
        ]);
        const result = await run("contract apply a.yaml --expected-revision 7 --output json", address, {
            "a.yaml": FILTER_MAKER,
        });
        expect(result.code).toBe(ExitCode.Refused);
        expect(JSON.parse(result.error)).toMatchObject({ error: { code: "revision-conflict", currentRevision: 9 } });
        expect([replica.queries, replica.commands.length]).toEqual([0, 1]);
    });

    it("sends neither an invalid contract nor an unchanged one", async () => {
        const contract = toContract(parseContractFile(FILTER_MAKER, "a.yaml").unwrap());
        const [replica, address] = await startReplica([], { configuration: { revision: 7, contracts: [contract] } });
        const files = { "a.yaml": FILTER_MAKER, "b.yaml": FILTER_MAKER.replace("weight: 1", "weight: x") };
        expect((await run("contract apply b.yaml", address, files)).code).toBe(ExitCode.Usage);
        expect((await run("contract apply a.yaml", address, files)).out).toContain("unchanged, revision 7");
        expect((await run("contract show filter-maker", address)).out).toContain("latencyTargetMs: 250");
        expect((await run("contract show nobody", address)).code).toBe(ExitCode.Refused);
        expect(replica.commands).toHaveLength(0);
    });

    it.each([
        ["nothing", ""],
        ["an unknown command", "zone away a"],
        ["a command id without the revision it was sent with", "zone back a --command-id x"],
        ["an invalid number", "jobs --limit many"],
        ["an invalid address", "quotas --control localhost"],
        ["a missing token file", "quotas --token-file nowhere"],
    ])("rejects %s without connecting", async (unusedLabel, line) => {
        const [replica, address] = await startReplica([]);
        const result = await run(line, address);
        expect(result.code).toBe(ExitCode.Usage);
        expect(result.error).not.toBe("");
        expect(replica.queries).toBe(0);
    });

    it("does not print a wrong operator token in the refusal", async () => {
        const [, address] = await startReplica([]);
        const result = await run("quotas --token-file t", address, { t: "wrong-secret\n" });
        expect(result.code).toBe(ExitCode.Refused);
        expect(result.error).not.toContain("wrong-secret");
    });

    it("reads the disk identity of a replica before adding it", async () => {
        const [replica, address] = await startReplica([{ revision: 8 }]);
        expect((await run(`replica add ${address}`, address)).code).toBe(ExitCode.Ok);
        expect(replica.commands[0]?.kind.value).toMatchObject({ name: "kosice-1", diskId: "disk-9", address });
    });

    it("generates credentials whose hash verifies the token and whose entry does not contain the secret", async () => {
        const result = await run("contract new-credential filter-maker quotes --output json", "");
        const { token, credential } = JSON.parse(result.out) as {
            token: string;
            credential: { saltHex: string; sha256Hex: string };
        };
        const secret = token.split(".")[2] ?? "";
        const expected = createHash("sha256").update(Buffer.from(credential.saltHex, "hex")).update(secret);
        expect(token).toMatch(/^filter-maker\.quotes\.[\w-]{43}$/);
        expect(credential.sha256Hex).toBe(expected.digest("hex"));
    });
});

describe("output", () => {
    it("aligns numbers and prints enum members in lower case", async () => {
        const backendServers = [
            { backendServerId: "bs-1", availabilityZone: "grandi", rack: "r1", health: HealthState.HEALTHY, slots: 8 },
            { backendServerId: "bs-10", rack: "r2", health: HealthState.QUARANTINED, leaving: true, slots: 16 },
        ];
        const [, address] = await startReplica([], { backendServers });
        const result = await run("backend-servers", address);
        expect(result.out.split("\n").map(line => line.slice(0, 62))).toEqual([
            "BACKEND-SERVER  ZONE    RACK  HEALTH       LEAVING  SLOTS  CPU",
            "bs-1            grandi  r1    healthy                   8     ",
            "bs-10                   r2    quarantined  leaving     16     ",
            "",
        ]);
    });

    it("follows a zone until nothing is left in it", async () => {
        const zone = (runningBatch: number): QueryReply => ({
            zones: [{ availabilityZone: { name: "grandi", state: ZoneState.OUT_OF_SERVICE }, runningBatch }],
        });
        const reply = zone(2);
        const [replica, address] = await startReplica([], reply);
        const finished = run("zone progress grandi --follow --output json", address);
        while (replica.queries < 3) {
            await new Promise(resolve => setImmediate(resolve));
        }
        Object.assign(reply, zone(0));
        const result = await finished;
        expect(result.code).toBe(ExitCode.Ok);
        expect(result.out.match(/"runningBatch": 2/g)?.length).toBeGreaterThanOrEqual(3);
        expect(result.out).toContain("\"runningBatch\": 0");
    });

    it("writes a timeline although one process is down, and fails when no process responds", async () => {
        const [stopped, stoppedAddress] = await startReplica([]);
        stopped.close();
        const [, address] = await startReplica([], {
            vms: [{ name: "a" }].map(vm => ({ ...vm, address: stoppedAddress })),
        });
        const request = "--customer filter-maker --request-id 007";
        const result = await run(`timeline ${request} --processes ${address},${stoppedAddress} --html t.html`, "");
        expect(result.code).toBe(ExitCode.Ok);
        expect(result.out).toContain("filter-maker/007: 1 events, 1 processes read");
        expect(result.out).toContain(`not reached: ${stoppedAddress}`);
        expect(result.written.get("t.html")).toContain("presov-1 dropped 3 older events");
        expect((await run(`timeline ${request}`, address)).code).toBe(ExitCode.Unavailable);
    });
});
