/**
 * Durable storage of one voter: a marker, the hard state, log segments and the last snapshot.
 *
 * A torn tail is cut. A damaged record before the tail is never cut, because this voter may have
 * acknowledged it: the store refuses to open, and the voter comes back under a new identity.
 */
import { assert, checkDefined } from "../../kernel/debug.js";
import type { Disk } from "../../kernel/host.js";
import { encodeRecord, hasRecordAfter, tryDecodeRecord } from "./records.js";
import type { HardState, LogEntry, Membership, Snapshot, VoterId } from "./types.js";

/** Thrown when a store must not be used. */
export class StoreRefusedError extends Error {
    override readonly name = "StoreRefusedError";
}

/** Whose store it is. */
export interface StoreMarker {
    readonly groupId: string;
    readonly voterId: VoterId;
    readonly formatVersion: number;
    /** Founding members. Empty for a voter that joins as a learner. */
    readonly founders: Membership;
}

/** Durable storage of one voter. Entries are in memory at once and durable when `append` resolves. */
export interface LogStore {
    readonly marker: StoreMarker;
    readonly hardState: HardState;
    readonly snapshot: Snapshot | undefined;
    readonly firstIndex: number;
    readonly lastIndex: number;
    readonly durableIndex: number;
    /** Term of the entry at an index, or undefined when it is not held. */
    getTerm(index: number): number | undefined;
    getEntry(index: number): LogEntry | undefined;
    getEntries(fromIndex: number, maxEntries: number): readonly LogEntry[];
    /** Takes entries that follow the last one. Concurrent calls share one sync. */
    append(entries: readonly LogEntry[]): Promise<void>;
    truncateFrom(index: number): Promise<void>;
    saveHardState(state: HardState): Promise<void>;
    /** Makes a snapshot durable, then drops the entries it stands for, but for some that laggards may need. */
    saveSnapshot(snapshot: Snapshot, keepEntries: number): Promise<void>;
    /** Takes a leader's snapshot in place of the whole log. */
    installSnapshot(snapshot: Snapshot): Promise<void>;
    /** Bytes of the last snapshot, as a leader sends them. */
    readSnapshotBytes(): Promise<Buffer | undefined>;
}

const formatVersion = 1;
const maxSegmentBytes = 8 * 1024 * 1024;
const markerFile = "marker";
const hardStateFile = "hard-state";
const snapshotFile = "snapshot";
const segmentPrefix = "segment-";

interface Segment {
    readonly file: string;
    readonly firstIndex: number;
    /** Offset at which each entry begins. */
    readonly offsets: number[];
    sizeBytes: number;
}

/** Formats an empty folder for a voter. Refuses a folder that holds a store. */
export async function formatStore(disk: Disk, folder: string, marker: Omit<StoreMarker, "formatVersion">): Promise<void> {
    await disk.ensureFolder(folder);
    if (await disk.read(`${folder}/${markerFile}`) !== undefined) {
        throw new StoreRefusedError(`${folder} already holds the store of a voter`);
    }
    await replaceFile(disk, folder, hardStateFile, encodeRecord({ term: 0 }));
    await replaceFile(disk, folder, markerFile, encodeRecord({ ...marker, formatVersion }));
}

/** Identity of the voter whose store is in a folder. Undefined where the folder holds none that can be read. */
export async function readStoreOwner(disk: Disk, folder: string): Promise<VoterId | undefined> {
    await disk.ensureFolder(folder);
    const data = await disk.read(`${folder}/${markerFile}`);
    const marker = data === undefined ? undefined : tryDecodeRecord(Buffer.from(data), 0)?.value as StoreMarker | undefined;
    return marker?.voterId;
}

/** Removes a store, or what is left of one. Its identity must not be used again. */
export async function discardStore(disk: Disk, folder: string): Promise<void> {
    await disk.remove(`${folder}/${markerFile}`);
    for (const file of await disk.list(folder)) await disk.remove(`${folder}/${file}`);
    await disk.syncFolder(folder);
}

/** Opens the store of a voter. Throws a `StoreRefusedError` when it is empty, foreign or damaged. */
export async function openStore(disk: Disk, folder: string, groupId: string, voterId: VoterId): Promise<LogStore> {
    const marker = await readMarker(disk, folder, groupId, voterId);
    let hardState = await readWhole<HardState>(disk, folder, hardStateFile);
    let snapshot = await readSnapshot(disk, folder);
    const segments: Segment[] = [];
    let entries: LogEntry[] = [];
    await readSegments();
    let durableIndex = getLastIndex();
    // Every write goes through this chain, so that files change in one order.
    let tail: Promise<unknown> = Promise.resolve();
    let pending: { readonly entries: readonly LogEntry[]; readonly done: () => void; readonly failed: (error: unknown) => void; }[] = [];

    return {
        marker,
        get hardState() {
            return hardState;
        },
        get snapshot() {
            return snapshot;
        },
        get firstIndex() {
            return entries[0]?.index ?? (snapshot?.index ?? 0) + 1;
        },
        get lastIndex() {
            return getLastIndex();
        },
        get durableIndex() {
            return durableIndex;
        },
        getTerm(index) {
            if (index === 0) return 0;
            if (index === snapshot?.index) return snapshot.term;
            return getEntry(index)?.term;
        },
        getEntry,
        getEntries(fromIndex, maxEntries) {
            const first = entries[0]?.index ?? 1;
            return entries.slice(Math.max(0, fromIndex - first), Math.max(0, fromIndex - first) + maxEntries);
        },
        append(added) {
            assert(added.length === 0 || added[0]!.index === getLastIndex() + 1, "entries must follow the last one");
            for (const entry of added) entries.push(entry);
            return new Promise((done, failed) => {
                pending.push({ entries: added, done, failed });
                void enqueue(flush);
            });
        },
        truncateFrom: index => enqueue(() => truncateFrom(index)),
        saveHardState: state =>
            enqueue(async () => {
                await replaceFile(disk, folder, hardStateFile, encodeRecord(state));
                hardState = state;
            }),
        saveSnapshot: (taken, keepEntries) =>
            enqueue(async () => {
                if (taken.index <= (snapshot?.index ?? 0)) return;
                await replaceFile(disk, folder, snapshotFile, encodeRecord(taken));
                snapshot = taken;
                await dropBefore(taken.index - keepEntries + 1);
            }),
        installSnapshot: taken =>
            enqueue(async () => {
                await replaceFile(disk, folder, snapshotFile, encodeRecord(taken));
                snapshot = taken;
                entries = [];
                for (const segment of segments.splice(0)) await disk.remove(`${folder}/${segment.file}`);
                await disk.syncFolder(folder);
                durableIndex = taken.index;
            }),
        async readSnapshotBytes() {
            const data = await disk.read(`${folder}/${snapshotFile}`);
            return data === undefined ? undefined : Buffer.from(data);
        },
    };

    function enqueue<T>(work: () => Promise<T>): Promise<T> {
        const result = tail.then(work);
        tail = result.catch(() => undefined);
        return result;
    }

    function getLastIndex(): number {
        return entries.at(-1)?.index ?? snapshot?.index ?? 0;
    }

    function getEntry(index: number): LogEntry | undefined {
        const first = entries[0]?.index;
        return first === undefined ? undefined : entries[index - first];
    }

    // All appends that wait when this runs share one write and one sync.
    async function flush(): Promise<void> {
        const batch = pending;
        if (batch.length === 0) return;
        pending = [];
        try {
            await writeEntries(batch.flatMap(item => item.entries));
            for (const item of batch) item.done();
        }
        catch (error) {
            // What is not durable is forgotten, also what came after it, so that no gap can be written.
            const failed = [...batch, ...pending];
            pending = [];
            entries = entries.filter(entry => entry.index <= durableIndex);
            for (const item of failed) item.failed(error);
        }
    }

    async function writeEntries(added: readonly LogEntry[]): Promise<void> {
        if (added.length === 0) return;
        const segment = await getWritableSegment(added[0]!.index);
        const records = added.map(entry => encodeRecord(entry));
        const path = `${folder}/${segment.file}`;
        try {
            await disk.append(path, Buffer.concat(records));
            await disk.sync(path);
        }
        catch (error) {
            // What was written in part is cut, so that a later append does not follow a torn record.
            await disk.truncate(path, segment.sizeBytes).catch(() => undefined);
            throw error;
        }
        for (const record of records) {
            segment.offsets.push(segment.sizeBytes);
            segment.sizeBytes += record.length;
        }
        durableIndex = added.at(-1)!.index;
    }

    async function getWritableSegment(nextIndex: number): Promise<Segment> {
        const last = segments.at(-1);
        if (last !== undefined && last.sizeBytes < maxSegmentBytes) return last;
        const created: Segment = { file: getSegmentName(nextIndex), firstIndex: nextIndex, offsets: [], sizeBytes: 0 };
        await disk.write(`${folder}/${created.file}`, new Uint8Array());
        await disk.sync(`${folder}/${created.file}`);
        await disk.syncFolder(folder);
        segments.push(created);
        return created;
    }

    async function truncateFrom(index: number): Promise<void> {
        await flush();
        entries = entries.filter(entry => entry.index < index);
        while (segments.length > 0 && segments.at(-1)!.firstIndex >= index) {
            await disk.remove(`${folder}/${segments.pop()!.file}`);
        }
        const last = segments.at(-1);
        if (last !== undefined && last.firstIndex + last.offsets.length > index) {
            last.sizeBytes = checkDefined(last.offsets[index - last.firstIndex], "the entry to cut is held");
            last.offsets.length = index - last.firstIndex;
            await disk.truncate(`${folder}/${last.file}`, last.sizeBytes);
            await disk.sync(`${folder}/${last.file}`);
        }
        await disk.syncFolder(folder);
        durableIndex = Math.min(durableIndex, getLastIndex());
    }

    async function dropBefore(index: number): Promise<void> {
        while (segments.length > 1 && segments[1]!.firstIndex <= index) {
            await disk.remove(`${folder}/${segments.shift()!.file}`);
        }
        const firstKept = segments[0]?.firstIndex ?? index;
        entries = entries.filter(entry => entry.index >= Math.max(firstKept, index));
    }

    async function readSegments(): Promise<void> {
        const names = (await disk.list(folder)).filter(name => name.startsWith(segmentPrefix));
        for (const [position, file] of names.entries()) {
            const data = Buffer.from(checkDefined(await disk.read(`${folder}/${file}`), "a listed segment can be read"));
            await readSegment(file, data, position === names.length - 1);
        }
        const snapshotIndex = snapshot?.index ?? 0;
        if (entries.length > 0 && entries[0]!.index > snapshotIndex + 1) {
            throw new StoreRefusedError(`entries after ${snapshotIndex} are missing in ${folder}`);
        }
        // A crash may have come between a snapshot of the leader's and the removal of the segments it replaced.
        if (entries.length > 0 && entries.at(-1)!.index < snapshotIndex) entries = [];
    }

    async function readSegment(file: string, data: Buffer, isLast: boolean): Promise<void> {
        const firstIndex = Number(file.slice(segmentPrefix.length));
        const segment: Segment = { file, firstIndex, offsets: [], sizeBytes: 0 };
        while (segment.sizeBytes < data.length) {
            const record = tryDecodeRecord(data, segment.sizeBytes);
            if (record === undefined) {
                if (!isLast || hasRecordAfter(data, segment.sizeBytes)) {
                    throw new StoreRefusedError(`${folder}/${file} is damaged at byte ${segment.sizeBytes}; replace this voter`);
                }
                await disk.truncate(`${folder}/${file}`, segment.sizeBytes);
                await disk.sync(`${folder}/${file}`);
                break;
            }
            const entry = record.value as LogEntry;
            if (entry.index !== firstIndex + segment.offsets.length) {
                throw new StoreRefusedError(`${folder}/${file} holds entry ${entry.index} out of order`);
            }
            segment.offsets.push(segment.sizeBytes);
            segment.sizeBytes = record.endOffset;
            entries.push(entry);
        }
        segments.push(segment);
    }
}

async function readMarker(disk: Disk, folder: string, groupId: string, voterId: VoterId): Promise<StoreMarker> {
    await disk.ensureFolder(folder);
    const data = await disk.read(`${folder}/${markerFile}`);
    if (data === undefined) {
        throw new StoreRefusedError(`${folder} holds no store: an emptied disk must come back under a new voter identity`);
    }
    const marker = tryDecodeRecord(Buffer.from(data), 0)?.value as StoreMarker | undefined;
    if (marker === undefined) throw new StoreRefusedError(`the marker in ${folder} is damaged`);
    if (marker.groupId !== groupId || marker.voterId !== voterId) {
        throw new StoreRefusedError(`${folder} belongs to voter ${marker.voterId} of group ${marker.groupId}`);
    }
    if (marker.formatVersion !== formatVersion) throw new StoreRefusedError(`${folder} has format ${marker.formatVersion}`);
    return marker;
}

async function readWhole<T>(disk: Disk, folder: string, file: string): Promise<T> {
    const data = await disk.read(`${folder}/${file}`);
    const record = data === undefined ? undefined : tryDecodeRecord(Buffer.from(data), 0);
    if (record === undefined) throw new StoreRefusedError(`${folder}/${file} is missing or damaged; replace this voter`);
    return record.value as T;
}

async function readSnapshot(disk: Disk, folder: string): Promise<Snapshot | undefined> {
    if (await disk.read(`${folder}/${snapshotFile}`) === undefined) return undefined;
    return readWhole<Snapshot>(disk, folder, snapshotFile);
}

async function replaceFile(disk: Disk, folder: string, file: string, data: Uint8Array): Promise<void> {
    const temporary = `${folder}/${file}.tmp`;
    await disk.write(temporary, data);
    await disk.sync(temporary);
    await disk.rename(temporary, `${folder}/${file}`);
    await disk.syncFolder(folder);
}

function getSegmentName(firstIndex: number): string {
    return segmentPrefix + String(firstIndex).padStart(16, "0");
}
