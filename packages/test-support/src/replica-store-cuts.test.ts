import { create } from "@bufbuild/protobuf";
import { SeededRandom } from "@waxwingspread/common";
import { ReplicaStore } from "@waxwingspread/consensus";
import type { OpenedStore, WritePart } from "@waxwingspread/consensus";
import { HardStateSchema, LogEntrySchema, SnapshotHeaderSchema } from "@waxwingspread/protocol";
import { createHash } from "node:crypto";
import { expect, it } from "vitest";
import { FakeFileSystem } from "./fake-file-system.js";

const FOLDER = "/data/log";
const SEGMENT_BYTES = 150;
const FIRST_STEPS = 8;
const LATER_STEPS = 4;

interface LogPosition {
    index: number;
    term: number;
}

/** What a replica has reported as persisted, and what it has handed to the store since. */
class StoreModel {
    #term = 0;
    #snapshotIndex = 0;
    #lastIndex = 0;
    /** Term of each entry that was reported as persisted. */
    readonly #persistedTerms = new Map<number, number>();
    /** All entries that were ever written, as `term/index`. */
    readonly #written = new Set<string>();
    /** First index that a write in progress may have removed. */
    #removedFromIndex = Infinity;
    #stepCount = 0;

    /** Compares what a store has read back with what was persisted, and goes on from what it has read. */
    reopen({ persisted }: OpenedStore): void {
        const { hardState, snapshot, entries } = persisted;
        const snapshotIndex = snapshot?.lastIndex ?? 0;
        expect(hardState.term).toBeGreaterThanOrEqual(this.#term);
        expect(hardState.votedForDiskId).toBe(hardState.term === 0 ? "" : voteIn(hardState.term));
        expect(snapshotIndex).toBeGreaterThanOrEqual(this.#snapshotIndex);
        expect(entries.map(entry => entry.index)).toEqual(entries.map((_, position) => snapshotIndex + position + 1));
        for (const entry of entries) {
            expect(this.#written).toContain(`${entry.term}/${entry.index}`);
        }
        const terms = new Map(entries.map(entry => [entry.index, entry.term]));
        for (const [index, term] of this.#persistedTerms) {
            if (index > snapshotIndex && index < this.#removedFromIndex) {
                expect(terms.get(index), `term of entry ${index}`).toBe(term);
            }
        }
        this.#term = hardState.term;
        this.#snapshotIndex = snapshotIndex;
        this.#persistedTerms.clear();
        terms.forEach((term, index) => this.#persistedTerms.set(index, term));
        this.#lastIndex = snapshotIndex + entries.length;
        this.#removedFromIndex = Infinity;
    }

    /** Runs the next steps of a replica's work on a store. */
    async run(store: ReplicaStore, count: number): Promise<void> {
        const steps = [
            () => this.#write(store, { appended: 2 }),
            () => this.#write(store, { appended: 1, isNewTerm: true }),
            () => this.#write(store, { appended: 3, removed: 2, isNewTerm: true }),
            () => Promise.all([this.#saveSnapshot(store), this.#write(store, { appended: 2 })]),
            () => this.#write(store, { appended: 0, isNewTerm: true }),
            () => this.#restoreSnapshot(store),
        ];
        for (let step = 0; step < count; step += 1) {
            await steps[this.#stepCount % steps.length]?.();
            this.#stepCount += 1;
        }
    }

    async #write(
        store: ReplicaStore,
        { appended, removed = 0, isNewTerm = false }: { appended: number; removed?: number; isNewTerm?: boolean },
    ): Promise<void> {
        const term = Math.max(1, this.#term + Number(isNewTerm));
        const first = Math.max(this.#snapshotIndex, this.#lastIndex - removed) + 1;
        const added = Array.from({ length: appended }, (_, position) => ({ index: first + position, term }));
        const part: WritePart = {
            hardState: term === this.#term
                ? undefined
                : create(HardStateSchema, { term, votedForDiskId: voteIn(term) }),
            truncateFromIndex: removed > 0 ? first : undefined,
            entries: added.map(toEntry),
        };
        added.forEach(entry => this.#written.add(`${entry.term}/${entry.index}`));
        this.#removedFromIndex = removed > 0 ? first : Infinity;
        this.#lastIndex = first + appended - 1;
        await store.write([part]);
        this.#term = term;
        this.#removedFromIndex = Infinity;
        added.forEach(entry => this.#persistedTerms.set(entry.index, entry.term));
    }

    async #saveSnapshot(store: ReplicaStore): Promise<void> {
        const lastIndex = this.#lastIndex - 1;
        const lastTerm = this.#persistedTerms.get(lastIndex);
        if (lastTerm === undefined) {
            return;
        }
        const { header, bytes } = createSnapshot({ index: lastIndex, term: lastTerm });
        await store.saveSnapshot(header, bytes);
        this.#snapshotIndex = Math.max(this.#snapshotIndex, lastIndex);
    }

    /** Restores a snapshot that is ahead of the whole log, as a leader sends it. */
    async #restoreSnapshot(store: ReplicaStore): Promise<void> {
        const lastIndex = this.#lastIndex + 3;
        const { header, bytes } = createSnapshot({ index: lastIndex, term: this.#term });
        await store.restoreSnapshot(header, bytes);
        this.#snapshotIndex = lastIndex;
        this.#lastIndex = lastIndex;
    }
}

const voteIn = (term: number): string => `candidate-${term}`;

const toEntry = ({ index, term }: LogPosition) =>
    create(LogEntrySchema, { index, term, body: { case: "data", value: Buffer.from(`${term}/${index}`) } });

const createSnapshot = ({ index, term }: LogPosition) => {
    const bytes = Buffer.from(`state at ${index}`);
    const sha256 = createHash("sha256").update(bytes).digest();
    const header = create(SnapshotHeaderSchema, { lastIndex: index, lastTerm: term, sizeBytes: bytes.length, sha256 });
    return { bytes, header };
};

/** Calls a function before the operation with this number; returns whether there were so many. */
const cutAt = async (
    fileSystem: FakeFileSystem,
    operationNumber: number,
    cut: () => void,
    work: () => Promise<void>,
): Promise<boolean> => {
    let remaining = operationNumber;
    fileSystem.delay = () => {
        if (remaining === 0) {
            cut();
        }
        remaining -= 1;
        return undefined;
    };
    await work().catch((error: unknown) => {
        expect(String(error)).toContain("EBADF");
    });
    fileSystem.delay = undefined;
    return remaining < 0;
};

const openAndRun = async (fileSystem: FakeFileSystem, model: StoreModel, steps: number): Promise<void> => {
    const opened = await ReplicaStore.open({
        fileSystem: fileSystem.process(),
        folder: FOLDER,
        name: "a",
        address: "a:1",
        segmentBytes: SEGMENT_BYTES,
        newDiskId: () => "disk-a",
    });
    model.reopen(opened);
    await model.run(opened.store, steps);
};

/** Ends the process at one operation and cuts the power at a later one; returns whether each was reached. */
const runWithCuts = async (deathAt: number, powerLossAt: number) => {
    const fileSystem = new FakeFileSystem(new SeededRandom(deathAt * 1_000 + powerLossAt));
    const model = new StoreModel();
    const hasDied = await cutAt(
        fileSystem,
        deathAt,
        () => fileSystem.endProcess(),
        () => openAndRun(fileSystem, model, FIRST_STEPS),
    );
    const hasLostPower = await cutAt(
        fileSystem,
        powerLossAt,
        () => fileSystem.crash(),
        () => openAndRun(fileSystem, model, LATER_STEPS),
    );
    await openAndRun(fileSystem, model, LATER_STEPS);
    await openAndRun(fileSystem, model, 0);
    return { hasDied, hasLostPower };
};

// Guards against a replica that loses what it has reported as persisted, or can't read its log any more, after its process
// died at any operation on its files and the power was lost at any later one (issue 22).
it("keeps what it has reported when its process dies and the power is lost, at any operation", async () => {
    let runCount = 0;
    for (let deathAt = 0, hasDied = true; hasDied; deathAt += 1) {
        for (let powerLossAt = 0, hasLostPower = true; hasLostPower; powerLossAt += 1) {
            const label = `process death at operation ${deathAt}, loss of power at operation ${powerLossAt}`;
            try {
                ({ hasDied, hasLostPower } = await runWithCuts(deathAt, powerLossAt));
            }
            catch (error) {
                throw new Error(label, { cause: error });
            }
            runCount += 1;
        }
    }
    expect(runCount).toBeGreaterThan(1_000);
});
