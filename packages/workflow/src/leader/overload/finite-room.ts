import type { ServerView } from "../server-view.js";

/**
 * Returns the cores of the usable servers of a service that finite tasks of a given size can use beside the standing tasks.
 * What remains on a server after as many tasks as fit is left out: nothing that is due can use it.
 */
export const finiteRoomCores = (
    servers: Iterable<ServerView>,
    service: string,
    zonesOutOfService: ReadonlySet<string>,
    millicoresPerTask: number,
): number => {
    let millicores = 0;
    for (const server of servers) {
        const isOpen = server.isUsable && !zonesOutOfService.has(server.availabilityZone);
        if (isOpen && server.service === service && millicoresPerTask > 0) {
            const freeMillicores = Math.max(0, server.capacity.cpuMillicores - server.reservedByStandingMillicores);
            millicores += Math.floor(freeMillicores / millicoresPerTask) * millicoresPerTask;
        }
    }
    return millicores / 1_000;
};
