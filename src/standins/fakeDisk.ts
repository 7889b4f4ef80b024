/**
 * In-memory disk with simulated faults. A crash loses or truncates unsynced data, and file creations, renames and removals are
 * durable only after a sync of their folder.
 */
import type { Disk } from "../kernel/host.js";

/** A disk that persists across the processes that use it. */
export interface FakeDisk {
    /** The disk as seen by one process. Its operations neither take effect nor return after the process is killed. */
    createDisk(isAlive: () => boolean): Disk;
    /** Drops unsynced directory changes and truncates each file at a random position within its unsynced data. */
    crash(): void;
    /** Removes all files, as if the disk had been replaced. */
    wipe(): void;
    /** Flips one bit of a file. */
    flipBit(file: string, byteOffset: number): void;
    listFiles(): readonly string[];
    getSizeBytes(file: string): number;
    /** While true, appends, writes and syncs fail as on a full disk. */
    setFull(isFull: boolean): void;
    /** While true, operations that change the disk wait. What the disk is like when they go on decides whether they fail. */
    setStalled(isStalled: boolean): void;
    /** Lets `count` operations that change the disk fail, after the next `skipped` ones. A failed append has written a part of its data. */
    failOperations(skipped: number, count: number): void;
    /** Number of operations that have changed the disk or failed to. */
    getOperationCount(): number;
}

interface Inode {
    data: Buffer;
    syncedBytes: number;
}

/** Creates an empty disk. */
export function createFakeDisk(random: () => number): FakeDisk {
    let files = new Map<string, Inode>();
    let durableFiles = new Map<string, Inode>();
    let isFull = false;
    let endStall: (() => void) | undefined;
    let stall: Promise<void> | undefined;
    let operationCount = 0;
    let failingOperations = { first: Infinity, end: Infinity };

    return {
        createDisk,
        crash() {
            files = new Map(durableFiles);
            for (const inode of files.values()) {
                const unsyncedBytes = inode.data.length - inode.syncedBytes;
                const keptBytes = inode.syncedBytes + Math.floor(random() * (unsyncedBytes + 1));
                inode.data = inode.data.subarray(0, keptBytes);
                inode.syncedBytes = keptBytes;
            }
        },
        wipe() {
            files.clear();
            durableFiles.clear();
        },
        flipBit(file, byteOffset) {
            const inode = files.get(file)!;
            inode.data = Buffer.from(inode.data);
            inode.data[byteOffset]! ^= 1;
        },
        listFiles: () => [...files.keys()].sort(),
        getSizeBytes: file => files.get(file)?.data.length ?? 0,
        setFull(value) {
            isFull = value;
        },
        setStalled(isStalled) {
            endStall?.();
            endStall = undefined;
            stall = undefined;
            if (!isStalled) return;
            stall = new Promise(resolve => {
                endStall = resolve;
            });
        },
        failOperations(skipped, count) {
            failingOperations = { first: operationCount + skipped, end: operationCount + skipped + count };
        },
        getOperationCount: () => operationCount,
    };

    function createDisk(isAlive: () => boolean): Disk {
        // Operations of a killed process have no effect and never return.
        const guard = async (): Promise<void> => {
            if (!isAlive()) await new Promise<never>(() => undefined);
        };
        const guardChange = async (): Promise<void> => {
            await stall;
            await guard();
            const operation = operationCount++;
            if (operation >= failingOperations.first && operation < failingOperations.end) throw new Error("input/output error");
        };
        const guardWrite = async (): Promise<void> => {
            await guardChange();
            if (isFull) throw new Error("no space left on device");
        };
        const getInode = (file: string): Inode => {
            const inode = files.get(file);
            if (inode === undefined) throw new Error(`${file} does not exist`);
            return inode;
        };
        return {
            ensureFolder: guard,
            async list(folder) {
                await guard();
                return [...files.keys()].filter(file => file.startsWith(`${folder}/`)).map(file => file.slice(folder.length + 1)).sort();
            },
            async read(file) {
                await guard();
                const inode = files.get(file);
                return inode === undefined ? undefined : Buffer.from(inode.data);
            },
            async append(file, data) {
                const inode = files.get(file) ?? { data: Buffer.alloc(0), syncedBytes: 0 };
                try {
                    await guardWrite();
                }
                catch (error) {
                    const writtenBytes = isFull ? 0 : Math.floor(random() * data.length);
                    inode.data = Buffer.concat([inode.data, data.subarray(0, writtenBytes)]);
                    throw error;
                }
                inode.data = Buffer.concat([inode.data, data]);
                files.set(file, inode);
            },
            async write(file, data) {
                await guardWrite();
                files.set(file, { data: Buffer.from(data), syncedBytes: 0 });
            },
            async truncate(file, sizeBytes) {
                await guardChange();
                const inode = getInode(file);
                inode.data = inode.data.subarray(0, sizeBytes);
                inode.syncedBytes = Math.min(inode.syncedBytes, sizeBytes);
            },
            async rename(from, to) {
                await guardChange();
                files.set(to, getInode(from));
                files.delete(from);
            },
            async remove(file) {
                await guardChange();
                files.delete(file);
            },
            async sync(file) {
                await guardWrite();
                getInode(file).syncedBytes = getInode(file).data.length;
            },
            async syncFolder(folder) {
                await guardChange();
                const isInFolder = (file: string) => file.startsWith(`${folder}/`);
                const outside = [...durableFiles].filter(([file]) => !isInFolder(file));
                durableFiles = new Map([...outside, ...[...files].filter(([file]) => isInFolder(file))]);
            },
        };
    }
}
