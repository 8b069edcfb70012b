import { createExampleContract, FleetRole, LocalFleet, StandInCaller, waitUntil } from "@waxwingspread/test-support";
import type { FleetMember, FleetNode, Observations } from "@waxwingspread/test-support";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request as httpRequest } from "undici";
import type { Deployment } from "./deployments.js";
import { applyContract, countBackendServers } from "./operator.js";
import { RelayProcess } from "./relay-process.js";

const CONTROL_REPLICAS = 3;
const BACKEND_SERVERS = 30;
const RETRY_DELAY_MS = 10;
const READY_TIMEOUT_MS = 20_000;

/** `profileFolder` enables CPU profiles of the daemons. */
export interface TestbedOptions {
    entries: number;
    profileFolder?: string;
}

/** Local processes of one deployment, connected by relays that add its network delays. */
export class Testbed {
    private constructor(
        readonly deployment: Deployment,
        readonly fleet: LocalFleet,
        readonly relays: RelayProcess,
        readonly dataFolder: string,
        readonly caller: StandInCaller,
        readonly entryAddressesForCallers: string[],
    ) {}

    /** Starts the processes and applies the contract of a customer; waits until all backend servers are registered. */
    static async start(deployment: Deployment, options: TestbedOptions): Promise<Testbed> {
        const dataFolder = await mkdtemp(join(tmpdir(), "waxwingspread-path-"));
        const relays = new RelayProcess();
        const route = (from: FleetNode, to: FleetNode): Promise<string> | string => {
            const delayMs = from.availabilityZone === to.availabilityZone ? 0 : deployment.betweenZonesMs;
            if (from.role === FleetRole.Entry && to.role === FleetRole.Control) {
                return relays.open(`control of ${from.name} at ${to.name}`, to.address, delayMs);
            }
            return delayMs === 0
                ? to.address
                : relays.open(`${from.availabilityZone} to ${to.name}`, to.address, delayMs);
        };
        const { profileFolder } = options;
        const fleet = await LocalFleet.start({
            dataFolder,
            availabilityZones: deployment.availabilityZones,
            controlReplicas: CONTROL_REPLICAS,
            entries: options.entries,
            backendServers: BACKEND_SERVERS,
            oneBackendProcessPerZone: true,
            daemonFlags: { "requests-per-second-per-listener": "10000" },
            backendServerFlags: { "tick-ms": "1" },
            route,
            nodeFlags: () => profileFolder === undefined ? [] : ["--cpu-prof", `--cpu-prof-dir=${profileFolder}`],
        });
        const { contract, token } = createExampleContract(deployment.customer);
        Object.assign(contract.quota as object, {
            concurrentTasks: 2_000,
            submissionsPerSecond: 10_000,
            submissionBurst: 10_000,
        });
        const contractFile = join(dataFolder, "contract.json");
        await writeFile(contractFile, JSON.stringify(contract));
        await applyContract(fleet, contractFile);
        const entries = await Promise.all(
            fleet.entryAddresses.map(address => relays.open(`callers to ${address}`, address, deployment.toClientsMs)),
        );
        const caller = new StandInCaller({ entries, token, retryDelayMs: RETRY_DELAY_MS });
        const testbed = new Testbed(deployment, fleet, relays, dataFolder, caller, entries);
        await testbed.#waitForBackendServers();
        return testbed;
    }

    /** Returns the observations of every stand-in backend server. */
    async observations(): Promise<Observations[]> {
        return Promise.all(this.fleet.backendServers.map(async ({ backendServerAddress }) => {
            const response = await httpRequest(`http://${backendServerAddress}/stand-in/observations`);
            return await response.body.json() as Observations;
        }));
    }

    /** Returns the time of the first start of each job in epoch milliseconds, by request id. */
    async startTimes(): Promise<Map<string, number>> {
        const times = new Map<string, number>();
        for (const segment of (await this.observations()).flatMap(({ segments }) => segments)) {
            const earlier = times.get(segment.requestId) ?? Infinity;
            times.set(segment.requestId, Math.min(earlier, segment.startedAtMs));
        }
        return times;
    }

    /** Returns the number of starts that all backend servers have accepted. */
    async startsAccepted(): Promise<number> {
        return (await this.observations()).reduce((sum, { startsAccepted }) => sum + startsAccepted, 0);
    }

    /** Returns all metrics of a daemon in the text exposition format. */
    async metrics(member: FleetMember): Promise<string> {
        const response = await httpRequest(`http://${member.operatorsAddress}/metrics`);
        return response.body.text();
    }

    /** Stops all processes and deletes their data. */
    async stop(): Promise<void> {
        await this.caller.close();
        await this.fleet.stop();
        await this.fleet.removeData();
        this.relays.close();
    }

    /** Waits until the leader knows all backend servers; a new cluster places nothing on servers unknown to it. */
    async #waitForBackendServers(): Promise<void> {
        await waitUntil("the leader knows all backend servers", READY_TIMEOUT_MS, async () => {
            return await countBackendServers(this.fleet) === BACKEND_SERVERS ? true : undefined;
        });
    }
}
