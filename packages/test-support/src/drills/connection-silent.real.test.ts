import { describe, expect, it } from "vitest";
import { FleetRole } from "../local-fleet/local-fleet.js";
import type { FleetNode } from "../local-fleet/local-fleet.js";
import { waitUntil } from "../local-fleet/wait-until.js";
import { SilentRelay } from "../silent-relay.js";
import { printFigures, withDrillFleet } from "./drill-fleet.js";
import { epochMs } from "./load.js";
import { verifyJobs } from "./verify.js";

const TIMEOUT_MS = 15_000;
const ENTRY = "entry-1";

describe("connection between an entry and the leader goes silent under load", () => {
    // Guards against calls that wait forever on a connection that is open but transfers nothing.
    it("gives every job exactly one outcome, and the entry continues over a new connection", async () => {
        const relays = new Map<string, SilentRelay>();
        const route = async (from: FleetNode, to: FleetNode): Promise<string> => {
            if (from.name !== ENTRY || to.role !== FleetRole.Control) {
                return to.address;
            }
            const [host = "", port = ""] = to.address.split(":");
            const relay = await SilentRelay.start(host, Number(port));
            relays.set(to.name, relay);
            return relay.address;
        };
        await withDrillFleet({ route }, async drillFleet => {
            const { fleet, load } = drillFleet;
            await load.waitForCompletions(40, TIMEOUT_MS);
            const entry = fleet.entries.find(member => member.name === ENTRY);
            const relay = relays.get((await fleet.leader()).name);
            const connectionsBefore = relay?.acceptedCount ?? 0;
            expect(connectionsBefore).toBeGreaterThan(0);
            const silentAtMs = epochMs();
            relay?.silenceOpenConnections();
            const completionsViaEntry = load.waitForCompletions(
                20,
                TIMEOUT_MS,
                job => job.submittedAtMs >= silentAtMs && job.reply?.entry === entry?.callersAddress,
            );
            await waitUntil(
                "the entry opens a new connection",
                TIMEOUT_MS,
                () => (relay?.acceptedCount ?? 0) > connectionsBefore ? true : undefined,
            );
            const reconnectedAtMs = epochMs();
            await completionsViaEntry;
            const { violations, figures } = await verifyJobs(drillFleet);
            printFigures("connection-silent", {
                silenceToNewConnectionMs: Math.round(reconnectedAtMs - silentAtMs),
                ...figures,
            });
            expect(violations).toEqual([]);
        });
        await Promise.all([...relays.values()].map(relay => relay.close()));
    });
});
