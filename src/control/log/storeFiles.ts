/** Files of a store other than its log segments: the marker that names the voter, the hard state and the last snapshot. */
import type { Disk } from "../../kernel/host.js";
import { encodeRecord, tryDecodeRecord } from "./records.js";
import type { Membership, Snapshot, VoterId } from "./types.js";

/** Thrown when a store is missing, corrupt or belongs to another voter, or when a folder to format already holds a store. */
export class UnusableStoreError extends Error {
    override readonly name = "UnusableStoreError";
}

/** Contents of the marker file, which identifies the voter that the store belongs to. */
export interface StoreMarker {
    readonly groupId: string;
    readonly voterId: VoterId;
    readonly formatVersion: number;
    /** Initial membership of the group. Empty for a member that joins as a learner. */
    readonly founders: Membership;
}

const formatVersion = 1;
const markerFile = "marker";
/** File of the hard state. */
export const hardStateFile = "hard-state";
/** File of the last snapshot. */
export const snapshotFile = "snapshot";

/** Creates an empty store for a voter in a folder. Throws if the folder already holds a store. */
export async function formatStore(disk: Disk, folder: string, marker: Omit<StoreMarker, "formatVersion">): Promise<void> {
    await disk.ensureFolder(folder);
    if (await disk.read(`${folder}/${markerFile}`) !== undefined) {
        throw new UnusableStoreError(`${folder} already holds the store of a voter`);
    }
    await replaceFile(disk, folder, hardStateFile, encodeRecord({ term: 0 }));
    await replaceFile(disk, folder, markerFile, encodeRecord({ ...marker, formatVersion }));
}

/** Returns the id of the voter that the store in a folder belongs to, or undefined if there is no readable marker. */
export async function readStoreVoterId(disk: Disk, folder: string): Promise<VoterId | undefined> {
    await disk.ensureFolder(folder);
    const data = await disk.read(`${folder}/${markerFile}`);
    const marker = data === undefined ? undefined : tryDecodeRecord(Buffer.from(data), 0)?.value as StoreMarker | undefined;
    return marker?.voterId;
}

/** Removes a store, even if it is incomplete. Its voter id must not be used again. */
export async function discardStore(disk: Disk, folder: string): Promise<void> {
    await disk.remove(`${folder}/${markerFile}`);
    for (const file of await disk.list(folder)) await disk.remove(`${folder}/${file}`);
    await disk.syncFolder(folder);
}

/** Reads the marker. Throws if the folder does not hold the store of this voter. */
export async function readMarker(disk: Disk, folder: string, groupId: string, voterId: VoterId): Promise<StoreMarker> {
    await disk.ensureFolder(folder);
    const data = await disk.read(`${folder}/${markerFile}`);
    if (data === undefined) {
        throw new UnusableStoreError(`${folder} contains no store; a voter whose disk was emptied must rejoin under a new voter id`);
    }
    const marker = tryDecodeRecord(Buffer.from(data), 0)?.value as StoreMarker | undefined;
    if (marker === undefined) throw new UnusableStoreError(`the marker file in ${folder} is corrupt`);
    if (marker.groupId !== groupId || marker.voterId !== voterId) {
        throw new UnusableStoreError(`${folder} belongs to voter ${marker.voterId} of group ${marker.groupId}`);
    }
    if (marker.formatVersion !== formatVersion) throw new UnusableStoreError(`${folder} has unsupported format ${marker.formatVersion}`);
    return marker;
}

/** Reads a file that holds one record. Throws if it is missing or corrupt. */
export async function readRecordFile<T>(disk: Disk, folder: string, file: string): Promise<T> {
    return decodeRecordFile(await disk.read(`${folder}/${file}`), folder, file);
}

function decodeRecordFile<T>(data: Uint8Array | undefined, folder: string, file: string): T {
    const record = data === undefined ? undefined : tryDecodeRecord(Buffer.from(data), 0);
    if (record === undefined) throw new UnusableStoreError(`${folder}/${file} is missing or corrupt; replace this voter`);
    return record.value as T;
}

/** A snapshot and its size on disk, which is 0 if there is none. */
export interface StoredSnapshot {
    readonly snapshot?: Snapshot;
    readonly sizeBytes: number;
}

/** Reads the last snapshot, if there is one. Throws if it is corrupt. */
export async function readSnapshot(disk: Disk, folder: string): Promise<StoredSnapshot> {
    const data = await disk.read(`${folder}/${snapshotFile}`);
    if (data === undefined) return { sizeBytes: 0 };
    return { snapshot: decodeRecordFile<Snapshot>(data, folder, snapshotFile), sizeBytes: data.length };
}

/** Replaces a file durably: after a crash it has either its old or its new contents. */
export async function replaceFile(disk: Disk, folder: string, file: string, data: Uint8Array): Promise<void> {
    const temporaryPath = `${folder}/${file}.tmp`;
    await disk.write(temporaryPath, data);
    await disk.sync(temporaryPath);
    await disk.rename(temporaryPath, `${folder}/${file}`);
    await disk.syncFolder(folder);
}
