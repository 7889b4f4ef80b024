/** A fake disk: what is not synced may be lost or torn by a crash, and names last only once their folder is synced. */
import type { Disk } from "../kernel/host.js";

/** A disk that outlives the processes that use it. */
export interface FakeDisk {
    createDisk(isAlive: () => boolean): Disk;
    /** Loses or tears what was not synced. */
    crash(): void;
    /** Removes everything, as a replaced disk does. */
    wipe(): void;
    /** Flips one bit of a synced file. */
    flipBit(file: string, byteOffset: number): void;
    listFiles(): readonly string[];
    getSizeBytes(file: string): number;
    /** Fails every write while true, as a full disk does. */
    setFull(isFull: boolean): void;
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
    };

    function createDisk(isAlive: () => boolean): Disk {
        // A dead process's writes go nowhere, and its calls never return.
        const guard = async (): Promise<void> => {
            if (!isAlive()) await new Promise<never>(() => undefined);
        };
        const guardWrite = async (): Promise<void> => {
            await guard();
            if (isFull) throw new Error("no space left on the disk");
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
                await guardWrite();
                const inode = files.get(file) ?? { data: Buffer.alloc(0), syncedBytes: 0 };
                inode.data = Buffer.concat([inode.data, data]);
                files.set(file, inode);
            },
            async write(file, data) {
                await guardWrite();
                files.set(file, { data: Buffer.from(data), syncedBytes: 0 });
            },
            async truncate(file, sizeBytes) {
                await guard();
                const inode = getInode(file);
                inode.data = inode.data.subarray(0, sizeBytes);
                inode.syncedBytes = Math.min(inode.syncedBytes, sizeBytes);
            },
            async rename(from, to) {
                await guard();
                files.set(to, getInode(from));
                files.delete(from);
            },
            async remove(file) {
                await guard();
                files.delete(file);
            },
            async sync(file) {
                await guardWrite();
                getInode(file).syncedBytes = getInode(file).data.length;
            },
            async syncFolder(folder) {
                await guard();
                const isInFolder = (file: string) => file.startsWith(`${folder}/`);
                const outside = [...durableFiles].filter(([file]) => !isInFolder(file));
                durableFiles = new Map([...outside, ...[...files].filter(([file]) => isInFolder(file))]);
            },
        };
    }
}
