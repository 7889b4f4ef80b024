/** The configuration in force at this node. Its version never goes down. */
import type { ControlClient } from "../kernel/controlClient.js";
import { assert } from "../kernel/debug.js";
import { getSha256 } from "../kernel/digest.js";
import type { Host } from "../kernel/host.js";
import type { ConfigurationDelta, ConfigurationView, Suspicion } from "../kernel/messages.js";
import { createObjectIndex, getObjectKey, getSetDigest } from "../kernel/objects.js";
import type { ClientAccountObject, ConfigurationObject, ObjectIndex, RouteObject } from "../kernel/objects.js";
import { getErrorText, runPeriodically, sleep } from "../kernel/tasks.js";
import type { ProcessIdentity } from "../kernel/types.js";

/** Look-ups over the configuration in force. */
export interface NodeConfiguration {
    readonly version: number;
    /** True once a quorum-confirmed read has given a configuration. */
    isReady(): boolean;
    getObjects(): ObjectIndex;
    findAccount(key: string): ClientAccountObject | undefined;
    findModelRoute(model: string): RouteObject | undefined;
    findServiceRoute(service: string): RouteObject | undefined;
    getSuspicion(fingerprint: string, controlTimeMs: number): Suspicion;
    start(signal: AbortSignal): void;
}

/** What the view is told about. */
export interface NodeConfigurationOptions {
    readonly identity: ProcessIdentity;
    readonly control: ControlClient;
    readonly onRecall: (budgets: readonly string[]) => void;
    /** Called with the addresses of the control VMs that vote. */
    readonly onVoterAddresses?: (addresses: readonly string[]) => void;
    /** Called after each change of what is in force. */
    readonly onChange?: () => void;
    readonly timing?: NodeConfigurationTiming;
}

/** How a view waits for news. */
export interface NodeConfigurationTiming {
    readonly watchTimeoutMs: number;
    readonly retryMs: number;
}

const defaultTiming: NodeConfigurationTiming = { watchTimeoutMs: 10_000, retryMs: 200 };
const readTimeoutMs = 3_000;

/** Creates a view that waits for its first configuration. */
export function createNodeConfiguration(host: Host, options: NodeConfigurationOptions): NodeConfiguration {
    const log = host.createLogger("configuration");
    const { identity, control } = options;
    const { watchTimeoutMs, retryMs } = options.timing ?? defaultTiming;
    let version = 0;
    let revision = 0;
    let hasConfirmed = false;
    let isWholeWanted = true;
    let objects = createObjectIndex([]);
    let accountsByDigest: ReadonlyMap<string, ClientAccountObject> = new Map();
    let routesByModel: ReadonlyMap<string, RouteObject> = new Map();
    let routesByService: ReadonlyMap<string, RouteObject> = new Map();
    let suspicions: ReadonlyMap<string, { readonly suspicion: Suspicion; readonly expiresAtMs: number; }> = new Map();

    return {
        get version() {
            return version;
        },
        isReady: () => hasConfirmed,
        getObjects: () => objects,
        findAccount: key => accountsByDigest.get(getSha256(key)),
        findModelRoute: model => routesByModel.get(model),
        findServiceRoute: service => routesByService.get(service),
        getSuspicion(fingerprint, controlTimeMs) {
            const held = suspicions.get(fingerprint);
            return held === undefined || held.expiresAtMs < controlTimeMs ? "clear" : held.suspicion;
        },
        start(signal) {
            void run(signal);
        },
    };

    async function run(signal: AbortSignal): Promise<void> {
        await runPeriodically(host.timers, 0, signal, watchOnce, error => log.warn("A watch failed.", { detail: getErrorText(error) }));
    }

    async function readWhole(): Promise<boolean> {
        const outcome = await control.query("configuration.get", {}, { timeoutMs: readTimeoutMs });
        if (outcome.kind !== "done") return false;
        putInForce(outcome.result);
        hasConfirmed = true;
        isWholeWanted = false;
        return true;
    }

    async function watchOnce(): Promise<void> {
        if (isWholeWanted && !await readWhole()) return sleep(host.timers, retryMs);
        const { vm, role, failureDomain, incarnation } = identity;
        const reply = await control.watch({ vm, role, failureDomain, incarnation, version, revision, timeoutMs: watchTimeoutMs });
        if (reply === undefined) return sleep(host.timers, retryMs);
        options.onVoterAddresses?.(reply.members);
        if (reply.configuration !== undefined && reply.revision > revision) {
            revision = reply.revision;
            putInForce(reply.configuration);
        }
        if (reply.delta !== undefined && reply.revision > revision) applyDelta(reply.delta, reply.revision);
        if (reply.recalledBudgets.length > 0) {
            options.onRecall(reply.recalledBudgets);
            await sleep(host.timers, recallPauseMs);
        }
    }

    // A delta that does not lead to the digest that control checked is not used: the whole set is read instead.
    function applyDelta(delta: ConfigurationDelta, newRevision: number): void {
        if (delta.baseVersion !== version) return;
        const dropped = new Set([...delta.removed, ...(delta.changed as readonly ConfigurationObject[]).map(getObjectKey)]);
        const kept = objects.listAll().filter(object => !dropped.has(getObjectKey(object)));
        const merged = [...kept, ...delta.changed as readonly ConfigurationObject[]];
        if (delta.version !== version && getSetDigest(merged) !== delta.digest) {
            log.error("A delta of the configuration does not fit. The whole set is read.", { version: delta.version });
            isWholeWanted = true;
            return;
        }
        revision = newRevision;
        putInForce({ version: delta.version, digest: delta.digest, objects: merged, quarantined: delta.quarantined });
    }

    // A control VM that lags may answer with an older configuration, which is left alone.
    function putInForce(view: ConfigurationView): void {
        if (view.version < version) return;
        const accepted = view.objects as readonly ConfigurationObject[];
        if (view.version > version) {
            assert(getSetDigest(accepted) === view.digest, "the published set has the digest that control checked");
            log.info("A configuration is in force.", { version: view.version });
        }
        version = view.version;
        objects = createObjectIndex(accepted);
        accountsByDigest = new Map(objects.list("clientAccount").flatMap(account => account.keyDigests.map(digest => [digest, account])));
        const routes = objects.list("route");
        routesByModel = new Map(routes.flatMap(route => route.model === undefined ? [] : [[route.model, route] as const]));
        routesByService = new Map(routes.flatMap(route => route.service === undefined ? [] : [[route.service, route] as const]));
        suspicions = new Map(view.quarantined.map(item => [item.fingerprint, item]));
        options.onChange?.();
    }
}

/** Pause after a recall, so that a renewal can reach control before the next look. */
const recallPauseMs = 50;
