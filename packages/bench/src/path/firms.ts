/** Where a firm runs and how far its zones are from each other. */
export interface Firm {
    key: "filterMaker" | "archiveFirm";
    customer: string;
    availabilityZones: string[];
    betweenZonesMs: number;
    toClientsMs: number;
}

export const FIRMS: readonly Firm[] = [
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
