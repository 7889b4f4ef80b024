/** Local copy of control's directory of backend servers. It stays usable while control restarts. */
import type { ControlClient } from "../../kernel/controlClient.js";
import { createDirectoryTable } from "../../kernel/directory.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { Host } from "../../kernel/host.js";
import { getErrorText, runPeriodically, sleep } from "../../kernel/tasks.js";
import type { Address } from "../../kernel/types.js";
import type { EntryListing } from "./entryShare.js";
import type { EntryPosition } from "./serverLimits.js";

/** Backend servers known to this entry. */
export interface ServerView {
    /** Servers of a pool that accept new requests. Their cold times are those at their last changes. */
    listPool(pool: string): readonly BackendServerRecord[];
    /** True once control has answered the first watch call. Only a control VM that is connected to its group answers. */
    hasSynced(): boolean;
    start(signal: AbortSignal): void;
}

const watchTimeoutMs = 1_000;
/** Short enough that one late answer does not exceed the 1,500 ms after which servers of pools with a cold rate are limited. */
const coldWatchTimeoutMs = 700;
const firstTimeoutMs = 50;
const retryMs = 50;

/** Options of a view. */
export interface ServerViewOptions {
    readonly control: ControlClient;
    /** Address at which other entries can reach this one. */
    readonly watcher: Address;
    /** True if control should list all entries, because they divide the rates of cold servers. */
    readonly needsEntries: () => boolean;
    /** Called after each change, with the cold times that remain. */
    readonly onChange: (servers: readonly BackendServerRecord[]) => void;
    /** Called after each answer of control, with all records, also those of servers that are gone. */
    readonly onAnswer: (records: readonly BackendServerRecord[]) => void;
    /** Called after each answer of control, with addresses of some other entries and this entry's position among all of them. */
    readonly onWatchers: (watchers: readonly Address[], position: EntryPosition) => void;
    /** Called after each answer of control, before its records are used. Control gave it at `saidAtMs` or later. */
    readonly onContact: (listing: EntryListing, saidAtMs: number) => void;
}

/** Creates an empty view. */
export function createServerView(host: Host, options: ServerViewOptions): ServerView {
    const { control, watcher } = options;
    const log = host.createLogger("directory");
    const table = createDirectoryTable();
    let incarnation = "";
    let revision = 0;
    let readyServersByPool: ReadonlyMap<string, readonly BackendServerRecord[]> = new Map();

    return {
        listPool: pool => readyServersByPool.get(pool) ?? [],
        hasSynced: () => incarnation !== "",
        start: signal =>
            void runPeriodically(
                host.timers,
                0,
                signal,
                watchOnce,
                error => log.warn("Watching the directory failed.", { detail: getErrorText(error) }),
            ),
    };

    async function watchOnce(): Promise<void> {
        // The first call uses a short timeout, so that the view is in sync soon even when the directory does not change.
        const needsEntries = options.needsEntries();
        const longTimeoutMs = needsEntries ? coldWatchTimeoutMs : watchTimeoutMs;
        const timeoutMs = incarnation === "" ? firstTimeoutMs : longTimeoutMs;
        const sentAtMs = host.clock.nowMs();
        const reply = await control.watchDirectory({ incarnation, revision, timeoutMs, watcher, needsEntries: needsEntries || undefined });
        if (reply === undefined) return sleep(host.timers, retryMs);
        incarnation = reply.incarnation;
        revision = reply.revision;
        const saidAtMs = reply.waitedMs === undefined ? host.clock.nowMs() : sentAtMs + reply.waitedMs;
        options.onContact({ count: reply.watcherCount, entries: reply.entryHashes }, saidAtMs);
        options.onWatchers(reply.watchers, { rank: reply.watcherRank, count: reply.watcherCount });
        const changed = reply.servers.filter(server => table.merge(server, host.clock.nowMs()) === "changed");
        if (changed.length > 0) applyChanges(changed);
        options.onAnswer(table.listSince(0, host.clock.nowMs()));
    }

    function applyChanges(changed: readonly BackendServerRecord[]): void {
        for (const server of changed) {
            log.info("A backend server changed.", {
                backendServer: server.backendServer,
                pool: server.pool,
                address: server.address,
                state: server.state,
                isSilent: server.isSilent,
                coldLeftMs: Math.round(server.coldLeftMs),
            });
        }
        const presentServers = table.listSince(0, host.clock.nowMs()).filter(server => server.state !== "gone");
        const readyByPool = new Map<string, BackendServerRecord[]>();
        for (const server of presentServers) {
            if (server.state === "ready") readyByPool.set(server.pool, [...readyByPool.get(server.pool) ?? [], server]);
        }
        readyServersByPool = readyByPool;
        options.onChange(presentServers);
    }
}
