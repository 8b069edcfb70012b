import { SeededRandom } from "@waxwingspread/common";
import type {
    CallOrigin,
    CallResult,
    Configuration,
    LeaderSettings,
    OrganisationContract,
    Times,
} from "@waxwingspread/workflow";
import { configurationOf, HOST, jobOf, organisationWithKeys, stepOf } from "@waxwingspread/workflow/testing";
import { AccessOracle } from "../checks/access-oracle.js";
import type { KeyedCall } from "../checks/access-oracle.js";
import { ControlPlane } from "./control-plane.js";
import { EventQueue } from "./event-queue.js";
import type { Leader } from "./leader.js";

const START_MS = 1_000_000;

/** Organisation of each API key. No configuration has the last one. */
export const ORGANISATION_OF_KEY: Readonly<Record<string, string | undefined>> = {
    a1: "acme",
    a2: "acme",
    b1: "beta",
    b2: "beta",
    unknown: undefined,
};

/** Keys that a configuration may have. */
export const KEYS = Object.keys(ORGANISATION_OF_KEY).filter(key => ORGANISATION_OF_KEY[key] !== undefined);

/** Callers with API keys and operators that change the keys, on a succession of leaders. All follows from the seed. */
export class KeyedCallers {
    readonly oracle = new AccessOracle();
    readonly #events = new EventQueue(START_MS);
    readonly #control: ControlPlane;
    #version = 1;

    constructor(seed: number, settings: LeaderSettings) {
        this.#control = new ControlPlane({
            events: this.#events,
            random: new SeededRandom(seed),
            settings,
            configuration: configurationWith(1, KEYS),
            maxCommitDelayMs: 10,
            beginMaintenance: () => undefined,
            assigned: () => undefined,
        });
        this.oracle.recordConfigurationSent(1, new Set(KEYS));
    }

    advance(durationMs: number): void {
        this.#events.advance(durationMs);
    }

    /** Sends a configuration with the given keys. Returns whether it was acknowledged, if `waitMs` is given. */
    configure(keys: readonly string[], waitMs = 0): boolean {
        this.#version += 1;
        const version = this.#version;
        let isAcknowledged = false;
        this.oracle.recordConfigurationSent(version, new Set(keys));
        this.#control.callOrQueue(({ node }, times) =>
            node.configure(configurationWith(version, keys), result => {
                if (result.ok) {
                    isAcknowledged = true;
                    this.oracle.recordConfigurationAcknowledged(version);
                }
            }, times)
        );
        this.advance(waitMs);
        return isAcknowledged;
    }

    /** Sends a call with a key. Returns its result, if `waitMs` is given. */
    call(
        operation: KeyedCall["operation"],
        jobId: string,
        keyDigest: string,
        waitMs = 0,
    ): CallResult<unknown> | undefined {
        const { execute, read } = this.#prepare(operation, jobId, keyDigest);
        this.#control.callOrQueue(execute);
        this.advance(waitMs);
        return read();
    }

    /** Sends a call to a leader that was suspended and replaced; without one, nothing is sent. */
    callReplacedLeader(operation: KeyedCall["operation"], jobId: string, keyDigest: string): void {
        this.#control.callReplaced(this.#prepare(operation, jobId, keyDigest).execute);
    }

    #prepare(operation: KeyedCall["operation"], jobId: string, keyDigest: string): {
        execute: (leader: Leader, times: Times) => void;
        read: () => CallResult<unknown> | undefined;
    } {
        const organisation = ORGANISATION_OF_KEY[keyDigest];
        const call = this.oracle.recordSent({ operation, jobId, keyDigest, organisation });
        let received: CallResult<unknown> | undefined;
        const respond = (result: CallResult<unknown>): void => {
            received = result;
            this.oracle.recordResult(call, result);
        };
        const origin: CallOrigin = { host: HOST, path: `/batch/${jobId}`, keyDigest };
        const execute = ({ node }: Leader, times: Times): void => {
            switch (operation) {
                case "submit":
                    node.submit(origin, jobOf(jobId, stepOf()), respond, times);
                    break;
                case "read":
                    node.jobState(jobId, respond, times, origin);
                    break;
                case "cancel":
                    node.cancel(jobId, respond, times, origin);
                    break;
                case "count":
                    node.pendingJobs(origin, respond, times);
                    break;
            }
        };
        return { execute, read: () => received };
    }

    loseLeader(): void {
        this.#control.loseLeader();
    }

    suspendLeader(durationMs: number): void {
        this.#control.suspendLeader(durationMs);
    }

    stallLog(durationMs: number): void {
        this.#control.stallLog(durationMs);
    }

    /** Ends all disruptions. */
    heal(): void {
        this.#control.heal();
    }
}

const configurationWith = (version: number, keys: readonly string[]): Configuration =>
    configurationOf(version, { organisations: ["acme", "beta"].map(name => contractOf(name, keys)) });

const contractOf = (name: string, keys: readonly string[]): OrganisationContract =>
    organisationWithKeys(name, ...keys.filter(key => ORGANISATION_OF_KEY[key] === name));
