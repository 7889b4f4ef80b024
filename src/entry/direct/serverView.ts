/** Backend servers as this entry knows them from control's directory. What an entry knows outlives a restart of control. */
import type { ControlClient } from "../../kernel/controlClient.js";
import { createDirectoryTable } from "../../kernel/directory.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { Host } from "../../kernel/host.js";
import { getErrorText, runPeriodically, sleep } from "../../kernel/tasks.js";
import type { Address } from "../../kernel/types.js";

/** The backend servers that requests may go to. */
export interface ServerView {
    /** Servers of a pool that take new work. */
    listPool(pool: string): readonly BackendServerRecord[];
    /** True once a control VM that is in touch with its group has told what it knows. */
    hasSynced(): boolean;
    start(signal: AbortSignal): void;
}

const watchTimeoutMs = 1_000;
const firstTimeoutMs = 50;
const retryMs = 50;

/** Options of a view. */
export interface ServerViewOptions {
    readonly control: ControlClient;
    /** Address at which this entry hears other entries. */
    readonly watcher: Address;
    readonly onChange: (servers: readonly BackendServerRecord[]) => void;
    /** Called with each answer of control: some other entries, and how many there are. */
    readonly onWatchers: (watchers: readonly Address[], watcherCount: number) => void;
}

/** Creates a view that knows no servers yet. */
export function createServerView(host: Host, options: ServerViewOptions): ServerView {
    const { control, watcher } = options;
    const log = host.createLogger("directory");
    const table = createDirectoryTable();
    let incarnation = "";
    let revision = 0;
    let byPool: ReadonlyMap<string, readonly BackendServerRecord[]> = new Map();

    return {
        listPool: pool => byPool.get(pool) ?? [],
        hasSynced: () => incarnation !== "",
        start: signal =>
            void runPeriodically(host.timers, 0, signal, watchOnce, error => log.warn("A watch failed.", { detail: getErrorText(error) })),
    };

    async function watchOnce(): Promise<void> {
        // The first answer is wanted at once, whatever it holds.
        const timeoutMs = incarnation === "" ? firstTimeoutMs : watchTimeoutMs;
        const reply = await control.watchDirectory({ incarnation, revision, timeoutMs, watcher });
        if (reply === undefined) return sleep(host.timers, retryMs);
        incarnation = reply.incarnation;
        revision = reply.revision;
        options.onWatchers(reply.watchers, reply.watcherCount);
        const changed = reply.servers.filter(server => table.merge(server, host.clock.nowMs()) === "changed");
        if (changed.length > 0) rebuild(changed);
    }

    function rebuild(changed: readonly BackendServerRecord[]): void {
        for (const server of changed) {
            log.info("A backend server changed.", {
                backendServer: server.backendServer,
                pool: server.pool,
                address: server.address,
                state: server.state,
                isSilent: server.isSilent,
            });
        }
        const all = table.listSince(0).filter(server => server.state !== "gone");
        const ready = new Map<string, BackendServerRecord[]>();
        for (const server of all) {
            if (server.state === "ready") ready.set(server.pool, [...ready.get(server.pool) ?? [], server]);
        }
        byPool = ready;
        options.onChange(all);
    }
}
