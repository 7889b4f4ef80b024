/**
 * Durable storage of one voter: its log segments, and what `storeFiles` reads and writes.
 *
 * An incomplete record at the end of the log is truncated. A corrupt record that is followed by others is never truncated,
 * because this voter may have acknowledged it. Opening the store then fails, and the VM has to rejoin under a new voter id.
 */
import { assert, checkDefined } from "../../kernel/debug.js";
import type { Disk, Host } from "../../kernel/host.js";
import { encodeRecord, hasRecordAfter, tryDecodeRecord } from "./records.js";
import { hardStateFile, readMarker, readRecordFile, readSnapshot, replaceFile, snapshotFile, UnusableStoreError } from "./storeFiles.js";
import type { StoreMarker } from "./storeFiles.js";
import type { HardState, LogEntry, Snapshot, VoterId } from "./types.js";

/** Durable storage of one voter. Appended entries are readable immediately and durable when `append` resolves. */
export interface LogStore {
    readonly marker: StoreMarker;
    readonly hardState: HardState;
    readonly snapshot: Snapshot | undefined;
    readonly firstIndex: number;
    readonly lastIndex: number;
    /** Index of the last entry that is synced to disk. */
    readonly durableIndex: number;
    /** Size of the retained log on disk. */
    readonly logBytes: number;
    /** Size of the last snapshot on disk. 0 if there is none. */
    readonly snapshotBytes: number;
    /** Term of the entry at an index, or undefined if the store does not have that entry. */
    getTerm(index: number): number | undefined;
    getEntry(index: number): LogEntry | undefined;
    /** Encoded size of an entry. 0 if the store does not have it. */
    getEntryBytes(index: number): number;
    /** Returns consecutive entries whose encoded sizes add up to at most `maxBytes`, but always the first one. */
    getEntries(fromIndex: number, maxBytes: number): readonly LogEntry[];
    /** Appends entries, which must continue from the last index. Concurrent calls share one sync. */
    append(entries: readonly LogEntry[]): Promise<void>;
    /** Removes the entry at an index and all later ones. */
    truncateFrom(index: number): Promise<void>;
    saveHardState(state: HardState): Promise<void>;
    /** Writes to the disk and changes nothing. Throws while the disk refuses writes. */
    checkWritable(): Promise<void>;
    /**
     * Makes a snapshot durable, then removes old segments whose entries it covers, as long as at least `retainedBytes` of the log remain
     * for followers that lag behind.
     */
    saveSnapshot(snapshot: Snapshot, retainedBytes: number): Promise<void>;
    /** Replaces the whole log by a snapshot from the leader. */
    installSnapshot(snapshot: Snapshot): Promise<void>;
    /** Encoded bytes of the last snapshot, which a leader sends in chunks. */
    readSnapshotBytes(): Promise<Buffer | undefined>;
}

/** The part of a host that opens a store. */
export type StoreHost = Pick<Host, "disk" | "clock" | "createLogger">;

/** Old entries are removed in whole segments, so this is also how much more than necessary is kept. */
const maxSegmentBytes = 512 * 1024;
const segmentPrefix = "segment-";

interface StoredEntry {
    readonly entry: LogEntry;
    readonly sizeBytes: number;
}

interface PendingAppend {
    readonly records: readonly Buffer[];
    readonly lastIndex: number;
    readonly done: () => void;
    readonly failed: (error: unknown) => void;
}

interface Segment {
    readonly file: string;
    readonly firstIndex: number;
    /** Offset of each entry in the file. */
    readonly offsets: number[];
    sizeBytes: number;
}

interface SegmentFile {
    readonly file: string;
    readonly data: Buffer;
}

/** Opens the store of a voter. Throws an `UnusableStoreError` if it is missing, corrupt or belongs to another voter. */
export async function openStore(host: StoreHost, folder: string, groupId: string, voterId: VoterId): Promise<LogStore> {
    const startedAtMs = host.clock.nowMs();
    const store = await readStore(host.disk, folder, groupId, voterId);
    host.createLogger("store").info("Opened the store.", {
        snapshotIndex: store.snapshot?.index,
        entries: store.lastIndex - store.firstIndex + 1,
        logBytes: store.logBytes,
        tookMs: Math.round(host.clock.nowMs() - startedAtMs),
    });
    return store;
}

async function readStore(disk: Disk, folder: string, groupId: string, voterId: VoterId): Promise<LogStore> {
    const marker = await readMarker(disk, folder, groupId, voterId);
    let hardState = await readRecordFile<HardState>(disk, folder, hardStateFile);
    let { snapshot, sizeBytes: snapshotBytes } = await readSnapshot(disk, folder);
    const segments: Segment[] = [];
    let entries: StoredEntry[] = [];
    // What is on the disk and no longer part of the log, also after an operation that failed. Nothing is appended before it is removed.
    const obsoleteFiles = new Set<string>();
    const longerFiles = new Set<Segment>();
    await readSegments();
    let durableIndex = getLastIndex();
    // Writes are chained, so that they reach the files one at a time and in the order of the calls.
    let lastOperation: Promise<unknown> = Promise.resolve();
    let unsynced: PendingAppend[] = [];

    return {
        marker,
        get hardState() {
            return hardState;
        },
        get snapshot() {
            return snapshot;
        },
        get firstIndex() {
            return entries[0]?.entry.index ?? (snapshot?.index ?? 0) + 1;
        },
        get lastIndex() {
            return getLastIndex();
        },
        get durableIndex() {
            return durableIndex;
        },
        get logBytes() {
            return getLogBytes();
        },
        getTerm(index) {
            if (index === 0) return 0;
            if (index === snapshot?.index) return snapshot.term;
            return getEntry(index)?.term;
        },
        get snapshotBytes() {
            return snapshotBytes;
        },
        getEntry,
        getEntryBytes: index => getStoredEntry(index)?.sizeBytes ?? 0,
        getEntries,
        append(newEntries) {
            assert(
                newEntries.length === 0 || newEntries[0]!.index === getLastIndex() + 1,
                "appended entries must continue from the last index",
            );
            const records = newEntries.map(entry => encodeRecord(entry));
            for (const [position, entry] of newEntries.entries()) entries.push({ entry, sizeBytes: records[position]!.length });
            return new Promise((done, failed) => {
                unsynced.push({ records, lastIndex: getLastIndex(), done, failed });
                void runInOrder(flush);
            });
        },
        truncateFrom: index => runInOrder(() => truncateFrom(index)),
        saveHardState: state => runInOrder(() => writeHardState(state)),
        checkWritable: () =>
            runInOrder(async () => {
                await removeRemnants();
                await writeHardState(hardState);
            }),
        saveSnapshot: (newSnapshot, retainedBytes) =>
            runInOrder(async () => {
                if (newSnapshot.index <= (snapshot?.index ?? 0)) return;
                setSnapshot(newSnapshot, await writeSnapshot(newSnapshot));
                await removeOldSegments(retainedBytes);
            }),
        installSnapshot: newSnapshot =>
            runInOrder(async () => {
                const sizeBytes = await writeSnapshot(newSnapshot);
                setSnapshot(newSnapshot, sizeBytes);
                durableIndex = newSnapshot.index;
                await removeAllSegments();
            }),
        async readSnapshotBytes() {
            const data = await disk.read(`${folder}/${snapshotFile}`);
            return data === undefined ? undefined : Buffer.from(data);
        },
    };

    function runInOrder<T>(operation: () => Promise<T>): Promise<T> {
        const result = lastOperation.then(operation);
        lastOperation = result.catch(() => undefined);
        return result;
    }

    function getLastIndex(): number {
        return entries.at(-1)?.entry.index ?? snapshot?.index ?? 0;
    }

    function getStoredEntry(index: number): StoredEntry | undefined {
        const first = entries[0]?.entry.index;
        return first === undefined ? undefined : entries[index - first];
    }

    function getEntry(index: number): LogEntry | undefined {
        return getStoredEntry(index)?.entry;
    }

    function getEntries(fromIndex: number, maxBytes: number): readonly LogEntry[] {
        const selected: LogEntry[] = [];
        let remainingBytes = maxBytes;
        for (let stored = getStoredEntry(fromIndex); stored !== undefined; stored = getStoredEntry(fromIndex + selected.length)) {
            remainingBytes -= stored.sizeBytes;
            if (selected.length > 0 && remainingBytes < 0) break;
            selected.push(stored.entry);
        }
        return selected;
    }

    async function writeHardState(newState: HardState): Promise<void> {
        await replaceFile(disk, folder, hardStateFile, encodeRecord(newState));
        hardState = newState;
    }

    /** Returns the size of the snapshot. */
    async function writeSnapshot(newSnapshot: Snapshot): Promise<number> {
        const record = encodeRecord(newSnapshot);
        await replaceFile(disk, folder, snapshotFile, record);
        return record.length;
    }

    function setSnapshot(newSnapshot: Snapshot, sizeBytes: number): void {
        snapshot = newSnapshot;
        snapshotBytes = sizeBytes;
    }

    // Writes all pending appends with one write and one sync.
    async function flush(): Promise<void> {
        const batch = unsynced;
        if (batch.length === 0) return;
        unsynced = [];
        try {
            await writeRecords(batch.flatMap(append => append.records), batch.at(-1)!.lastIndex);
            for (const append of batch) append.done();
        }
        catch (error) {
            // Removes all entries that are not durable from memory and fails all pending appends, including those that were
            // added during the write. Otherwise a later write would leave a gap in the file.
            const failedAppends = [...batch, ...unsynced];
            unsynced = [];
            entries = entries.filter(({ entry }) => entry.index <= durableIndex);
            for (const append of failedAppends) append.failed(error);
        }
    }

    async function writeRecords(records: readonly Buffer[], lastIndex: number): Promise<void> {
        if (records.length === 0) return;
        await removeRemnants();
        const segment = await getWritableSegment(lastIndex - records.length + 1);
        const path = `${folder}/${segment.file}`;
        longerFiles.add(segment);
        await disk.append(path, Buffer.concat(records));
        await disk.sync(path);
        longerFiles.delete(segment);
        for (const record of records) {
            segment.offsets.push(segment.sizeBytes);
            segment.sizeBytes += record.length;
        }
        durableIndex = lastIndex;
    }

    // A partial record before others would make the segment unreadable, and so would a file that starts in the middle of another one.
    async function removeRemnants(): Promise<void> {
        if (obsoleteFiles.size === 0 && longerFiles.size === 0) return;
        for (const file of obsoleteFiles) await disk.remove(`${folder}/${file}`);
        for (const segment of longerFiles) {
            await disk.truncate(`${folder}/${segment.file}`, segment.sizeBytes);
            await disk.sync(`${folder}/${segment.file}`);
        }
        await disk.syncFolder(folder);
        obsoleteFiles.clear();
        longerFiles.clear();
    }

    function removeSegment(segment: Segment): void {
        obsoleteFiles.add(segment.file);
        longerFiles.delete(segment);
    }

    async function getWritableSegment(nextIndex: number): Promise<Segment> {
        const lastSegment = segments.at(-1);
        if (lastSegment !== undefined && lastSegment.sizeBytes < maxSegmentBytes) return lastSegment;
        const newSegment: Segment = { file: getSegmentName(nextIndex), firstIndex: nextIndex, offsets: [], sizeBytes: 0 };
        obsoleteFiles.add(newSegment.file);
        await disk.write(`${folder}/${newSegment.file}`, new Uint8Array());
        await disk.sync(`${folder}/${newSegment.file}`);
        await disk.syncFolder(folder);
        obsoleteFiles.delete(newSegment.file);
        segments.push(newSegment);
        return newSegment;
    }

    async function truncateFrom(index: number): Promise<void> {
        await flush();
        entries = entries.filter(({ entry }) => entry.index < index);
        // The last files go first, so that an interruption leaves no gap.
        while (segments.length > 0 && segments.at(-1)!.firstIndex >= index) removeSegment(segments.pop()!);
        const lastSegment = segments.at(-1);
        if (lastSegment !== undefined && lastSegment.firstIndex + lastSegment.offsets.length > index) {
            lastSegment.sizeBytes = checkDefined(
                lastSegment.offsets[index - lastSegment.firstIndex],
                "the segment must contain the first entry to remove",
            );
            lastSegment.offsets.length = index - lastSegment.firstIndex;
            longerFiles.add(lastSegment);
        }
        durableIndex = Math.min(durableIndex, getLastIndex());
        await removeRemnants();
    }

    async function removeOldSegments(retainedBytes: number): Promise<void> {
        let logBytes = getLogBytes();
        const isCovered = (segment: Segment | undefined) => segment !== undefined && segment.firstIndex <= (snapshot?.index ?? 0) + 1;
        while (isCovered(segments[1]) && logBytes - segments[0]!.sizeBytes >= retainedBytes) {
            logBytes -= segments[0]!.sizeBytes;
            removeSegment(segments.shift()!);
        }
        const firstIndex = segments[0]?.firstIndex ?? 0;
        entries = entries.filter(({ entry }) => entry.index >= firstIndex);
        await removeRemnants();
    }

    async function removeAllSegments(): Promise<void> {
        entries = [];
        for (const segment of segments.splice(0)) removeSegment(segment);
        await removeRemnants();
    }

    function getLogBytes(): number {
        return segments.reduce((total, segment) => total + segment.sizeBytes, 0);
    }

    async function readSegments(): Promise<void> {
        const files = await readSegmentFiles();
        for (const [position, { file, data }] of files.entries()) {
            if (segments.length > 0 && getFirstIndex(file) !== getNextIndex(segments.at(-1)!)) await removeSegmentsBeforeGap(file);
            await readSegment(file, data, position === files.length - 1);
        }
        const snapshotIndex = snapshot?.index ?? 0;
        if (entries.length > 0 && entries[0]!.entry.index > snapshotIndex + 1) {
            throw new UnusableStoreError(`${folder} lacks log entries after snapshot index ${snapshotIndex}`);
        }
        if (segments.length > 0 && !isContinuationOfSnapshot()) await removeAllSegments();
    }

    // Removes empty files: the segment before may have grown past the start of a file that was created while the disk was full.
    async function readSegmentFiles(): Promise<readonly SegmentFile[]> {
        const files: SegmentFile[] = [];
        for (const file of (await disk.list(folder)).filter(name => name.startsWith(segmentPrefix))) {
            const data = Buffer.from(checkDefined(await disk.read(`${folder}/${file}`), "a listed segment must be readable"));
            if (data.length > 0) files.push({ file, data });
            else await disk.remove(`${folder}/${file}`);
        }
        return files;
    }

    // After a loss of power, a removed segment can be there again although a later one is gone.
    async function removeSegmentsBeforeGap(nextFile: string): Promise<void> {
        if (getFirstIndex(nextFile) > (snapshot?.index ?? 0) + 1) {
            throw new UnusableStoreError(`${folder} lacks log entries before ${nextFile}; replace this voter`);
        }
        await removeAllSegments();
    }

    // False if the process ended after a snapshot from the leader was saved, before the segments that it replaces were removed.
    function isContinuationOfSnapshot(): boolean {
        if (snapshot === undefined || segments[0]!.firstIndex === snapshot.index + 1) return true;
        return getEntry(snapshot.index)?.term === snapshot.term;
    }

    async function readSegment(file: string, data: Buffer, isLast: boolean): Promise<void> {
        const firstIndex = getFirstIndex(file);
        const segment: Segment = { file, firstIndex, offsets: [], sizeBytes: 0 };
        while (segment.sizeBytes < data.length) {
            const record = tryDecodeRecord(data, segment.sizeBytes);
            if (record === undefined) {
                if (!isLast || hasRecordAfter(data, segment.sizeBytes)) {
                    throw new UnusableStoreError(`${folder}/${file} is corrupt at byte ${segment.sizeBytes}; replace this voter`);
                }
                await disk.truncate(`${folder}/${file}`, segment.sizeBytes);
                await disk.sync(`${folder}/${file}`);
                break;
            }
            const entry = record.value as LogEntry;
            if (entry.index !== firstIndex + segment.offsets.length) {
                throw new UnusableStoreError(`${folder}/${file} contains entry ${entry.index} out of order`);
            }
            entries.push({ entry, sizeBytes: record.endOffset - segment.sizeBytes });
            segment.offsets.push(segment.sizeBytes);
            segment.sizeBytes = record.endOffset;
        }
        segments.push(segment);
    }
}

function getFirstIndex(segmentName: string): number {
    return Number(segmentName.slice(segmentPrefix.length));
}

function getNextIndex(segment: Segment): number {
    return segment.firstIndex + segment.offsets.length;
}

function getSegmentName(firstIndex: number): string {
    return segmentPrefix + String(firstIndex).padStart(16, "0");
}
