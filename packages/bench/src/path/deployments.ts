/** Availability zones of a deployment and its one-way network delays, in milliseconds. `key` appears in the results. */
export interface Deployment {
    key: "filterMaker" | "archiveFirm";
    customer: string;
    availabilityZones: string[];
    betweenZonesMs: number;
    toClientsMs: number;
}

/** Deployments that the benchmark reproduces. */
export const DEPLOYMENTS: readonly Deployment[] = [
    {
        key: "filterMaker",
        customer: "filter-maker",
        availabilityZones: ["presov-a", "kosice-b", "poprad-c"],
        betweenZonesMs: 1.5,
        toClientsMs: 3,
    },
    {
        key: "archiveFirm",
        customer: "archive-firm",
        availabilityZones: ["hafnarfjordur", "kopavogur", "mosfellsbaer", "grandi"],
        betweenZonesMs: 0.5,
        toClientsMs: 1,
    },
];
