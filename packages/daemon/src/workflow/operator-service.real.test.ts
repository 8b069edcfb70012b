import { Refusal, refused, succeeded } from "@waxwingspread/workflow";
import type { CallResult, WorkflowNode } from "@waxwingspread/workflow";
import { pino } from "pino";
import { afterEach, beforeEach, expect, it } from "vitest";
import { MessageListener } from "../transport/message-listener.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import type { NodeDriver } from "./node-driver.js";
import { OperatorOperation } from "./operations.js";
import type { PassedOnCall } from "./operations.js";
import { OperatorService } from "./operator-service.js";

const HOST = "127.0.0.1";
const LEADER = "127.0.0.2";
const NEXT_LEADER = "127.0.0.3";
const PORT = 17_924;
/** Time after which operators call another process. */
const ANSWER_LIMIT_MS = 1_000;
const LONG_DOCUMENT_CHARACTERS = 1024 * 1024 + 1;

const logger = pino({ level: "silent" });

type Answer = (call: PassedOnCall) => Promise<unknown>;

let leaderHost: string | undefined;
let listeners: MessageListener[];
let service: OperatorService;
let timer: NodeJS.Timeout;
/** Result of the calls that this replica executes itself. */
let ownResult: Promise<CallResult<unknown>>;

beforeEach(() => {
    leaderHost = LEADER;
    listeners = [];
    ownResult = Promise.resolve(refused(Refusal.NotLeader));
    service = new OperatorService({
        host: HOST,
        port: PORT,
        node: {} as WorkflowNode,
        driver: { call: () => ownResult } as unknown as NodeDriver,
        readLeaderHost: () => leaderHost,
        logger,
    });
    timer = setInterval(() => service.tick(monotonicNowMs()), 20);
});

afterEach(async () => {
    clearInterval(timer);
    service.close();
    await Promise.all(listeners.map(listener => listener.close()));
});

const listenAs = async (host: string, handle: Answer): Promise<void> => {
    const listener = new MessageListener({ address: { host, port: PORT }, handle, logger });
    listeners.push(listener);
    await listener.listen();
};

const noAnswer: Answer = () => new Promise(() => undefined);

const read = (): Promise<CallResult<string | undefined>> => service.call(OperatorOperation.ReadConfiguration, {});

// Guards against operators who have to connect to the leader, in line with servers (CONFIG, issue 31).
it("returns the leader's answer to a call that has arrived at a follower", async () => {
    await listenAs(LEADER, ({ operatorCall }) => Promise.resolve(succeeded(operatorCall.operation)));
    expect(await read()).toEqual(succeeded(OperatorOperation.ReadConfiguration));
});

// Guards against a call that waits for a leader which has been replaced.
it("passes a call on to the next leader when the former one is replaced before it answers", async () => {
    await listenAs(LEADER, noAnswer);
    await listenAs(NEXT_LEADER, () => Promise.resolve(succeeded("document")));
    setTimeout(() => {
        leaderHost = undefined;
    }, 100);
    setTimeout(() => {
        leaderHost = NEXT_LEADER;
    }, 300);
    expect(await read()).toEqual(succeeded("document"));
});

// Guards against operators who learn only by their own timeout that a call isn't answered. A leader of the version before
// doesn't answer these messages either.
it("refuses a call in time when the leader doesn't answer, or doesn't know the message", async () => {
    await listenAs(LEADER, noAnswer);
    await listenAs(NEXT_LEADER, () => Promise.reject(new TypeError("reports is undefined")));
    for (const host of [LEADER, NEXT_LEADER]) {
        leaderHost = host;
        const sentAtMs = performance.now();
        expect(await read()).toEqual(refused(Refusal.Uncertain));
        expect(performance.now() - sentAtMs).toBeLessThan(ANSWER_LIMIT_MS);
    }
});

// Guards against a change whose commit takes long: its sender would wait without an answer.
it("answers a call that this replica executes in time, although its record isn't committed", async () => {
    leaderHost = HOST;
    ownResult = new Promise(() => undefined);
    const sentAtMs = performance.now();
    expect(await read()).toEqual(refused(Refusal.Uncertain));
    expect(performance.now() - sentAtMs).toBeLessThan(ANSWER_LIMIT_MS);
});

// Guards against an order for a zone that a suspended follower passes on late, when a newer one has been acknowledged.
it("passes on no orders for zones and no exits of servers", async () => {
    let passedOn = 0;
    await listenAs(LEADER, () => {
        passedOn += 1;
        return Promise.resolve(succeeded(undefined));
    });
    const zone = { availabilityZone: "a", isOutOfService: true };
    expect(await service.call(OperatorOperation.SetZone, zone)).toEqual(refused(Refusal.NotLeader));
    expect(await service.call(OperatorOperation.Leave, { serverId: "i-1" })).toEqual(refused(Refusal.NotLeader));
    expect(passedOn).toBe(0);
});

// Guards against an answer that exceeds the limit of a message, which would close the connection each time.
it("sends a follower's caller to the leader for a document that is too long, and refuses what it can't answer", async () => {
    const passedOn: PassedOnCall = {
        operatorCall: { operation: OperatorOperation.ReadConfiguration, request: {} },
        maxWaitMs: 500,
    };
    ownResult = Promise.resolve(succeeded("x".repeat(LONG_DOCUMENT_CHARACTERS)));
    expect(await service.handlePassedOn(passedOn)).toEqual(refused(Refusal.NotLeader));
    ownResult = Promise.resolve(refused(Refusal.NotLeader));
    expect(await service.handlePassedOn(passedOn)).toEqual(refused(Refusal.NotRun));
});
