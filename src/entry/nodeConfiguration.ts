/** The configuration that is active at this node. Its version never decreases. */
import type { WatchReply } from "../kernel/contracts.js";
import type { ControlClient } from "../kernel/controlClient.js";
import { assert } from "../kernel/debug.js";
import { getSha256 } from "../kernel/digest.js";
import type { EvacuationList, EvacuationRecord } from "../kernel/evacuationMessages.js";
import type { Host } from "../kernel/host.js";
import type { ConfigurationDelta, ConfigurationView, QuarantineView, SuspectPartView, Suspicion } from "../kernel/messages.js";
import { createObjectIndex, getObjectKey, getSetDigest } from "../kernel/objects.js";
import type { ClientAccountObject, ConfigurationObject, ObjectIndex, RouteObject } from "../kernel/objects.js";
import { getErrorText, runPeriodically, sleep } from "../kernel/tasks.js";
import type { ProcessIdentity } from "../kernel/types.js";
import { createEvacuationView } from "./evacuationView.js";

/** Lookups in the active configuration. */
export interface NodeConfiguration {
    readonly version: number;
    /** True once a configuration was read from control with confirmation by a quorum. */
    isReady(): boolean;
    /** Time since which control may have put a newer configuration into force. Infinite before the first answer to a watch. */
    getAgeMs(nowMs: number): number;
    getObjects(): ObjectIndex;
    findAccount(key: string): ClientAccountObject | undefined;
    findModelRoute(model: string): RouteObject | undefined;
    findServiceRoute(service: string): RouteObject | undefined;
    getSuspicion(fingerprint: string, controlTimeMs: number): Suspicion;
    /** Remaining time of the quarantine of a fingerprint. Undefined if it is not quarantined. */
    getQuarantineLeftMs(fingerprint: string, controlTimeMs: number): number | undefined;
    /** Remaining time until one entry may run the quarantined request once. Undefined if that is not known. */
    getTrialLeftMs(fingerprint: string, controlTimeMs: number): number | undefined;
    /** True if control holds crashes against the fingerprint, whether or not it is quarantined. */
    hasCrashRecord(fingerprint: string): boolean;
    /** Parts of prompts that may crash backend servers, by id. Times are in control time. */
    getSuspectParts(): ReadonlyMap<string, SuspectPartView>;
    /** True while no request may be sent to the backend servers of the failure domain. */
    isEvacuated(failureDomain: string): boolean;
    listEvacuatedDomains(): readonly string[];
    start(signal: AbortSignal): void;
}

/** Options of a node configuration. */
export interface NodeConfigurationOptions {
    readonly identity: ProcessIdentity;
    readonly control: ControlClient;
    /** Called with the budgets whose unreserved tokens control wants back. */
    readonly onRecall: (budgets: readonly string[]) => void;
    /** Called with the addresses of the control VMs that are voters. */
    readonly onVoterAddresses?: (addresses: readonly string[]) => void;
    /**
     * Called after each change of the active configuration or of the quarantine list, also for the first configuration. The node is ready by
     * then, because no configuration is activated before a quorum has confirmed it.
     */
    readonly onChange?: () => void;
    /**
     * Called when this entry learns that the evacuation of failure domains has ended, before requests can be sent to their backend servers.
     * The servers may have become cold shortly before. Also called at the start of the entry, for evacuations that ended recently.
     */
    readonly onEvacuationsEnded?: (failureDomains: readonly string[]) => void;
    readonly timing?: NodeConfigurationTiming;
}

/** Timing of the watch for configuration changes. */
export interface NodeConfigurationTiming {
    readonly watchTimeoutMs: number;
    readonly retryMs: number;
}

const defaultTiming: NodeConfigurationTiming = { watchTimeoutMs: 10_000, retryMs: 200 };
const readTimeoutMs = 3_000;

/** Creates a node configuration, which is empty until its first read from control. */
export function createNodeConfiguration(host: Host, options: NodeConfigurationOptions): NodeConfiguration {
    const log = host.createLogger("configuration");
    const { identity, control } = options;
    const { watchTimeoutMs, retryMs } = options.timing ?? defaultTiming;
    let version = 0;
    let revision = 0;
    let hasConfirmedConfiguration = false;
    let currentAtMs = -Infinity;
    let needsFullRead = true;
    /** The last reply to a watch, as it is logged with what it decides. */
    let lastReply: WatchReply | undefined;
    let objects = createObjectIndex([]);
    let accountsByDigest: ReadonlyMap<string, ClientAccountObject> = new Map();
    let routesByModel: ReadonlyMap<string, RouteObject> = new Map();
    let routesByService: ReadonlyMap<string, RouteObject> = new Map();
    let suspicions: ReadonlyMap<string, QuarantineView> = new Map();
    let suspects: ReadonlySet<string> = new Set();
    let suspectParts: ReadonlyMap<string, SuspectPartView> = new Map();
    const evacuations = createEvacuationView();

    return {
        get version() {
            return version;
        },
        isReady: () => hasConfirmedConfiguration,
        getAgeMs: nowMs => nowMs - currentAtMs,
        getObjects: () => objects,
        findAccount: key => accountsByDigest.get(getSha256(key)),
        findModelRoute: model => routesByModel.get(model),
        findServiceRoute: service => routesByService.get(service),
        getSuspicion(fingerprint, controlTimeMs) {
            const record = suspicions.get(fingerprint);
            return record === undefined || record.expiresAtMs < controlTimeMs ? "clear" : record.suspicion;
        },
        getQuarantineLeftMs(fingerprint, controlTimeMs) {
            const record = suspicions.get(fingerprint);
            const isQuarantined = record?.suspicion === "quarantined" && record.expiresAtMs >= controlTimeMs;
            return isQuarantined ? record.expiresAtMs - controlTimeMs : undefined;
        },
        getTrialLeftMs(fingerprint, controlTimeMs) {
            const trialAtMs = suspicions.get(fingerprint)?.trialAtMs;
            return trialAtMs === undefined ? undefined : Math.max(0, trialAtMs - controlTimeMs);
        },
        hasCrashRecord: fingerprint => suspicions.has(fingerprint) || suspects.has(fingerprint),
        getSuspectParts: () => suspectParts,
        isEvacuated: evacuations.isEvacuated,
        listEvacuatedDomains: evacuations.listEvacuated,
        start(signal) {
            void run(signal);
        },
    };

    function getLastReport(): Pick<WatchReply, "term" | "revision" | "stateAgeMs" | "waitedMs"> | undefined {
        if (lastReply === undefined) return undefined;
        const { term, revision: controlRevision, stateAgeMs, waitedMs } = lastReply;
        return { term, revision: controlRevision, stateAgeMs, waitedMs };
    }

    async function run(signal: AbortSignal): Promise<void> {
        await runPeriodically(
            host.timers,
            0,
            signal,
            watchOnce,
            error => log.warn("The configuration watch failed.", { detail: getErrorText(error) }),
        );
    }

    // Only the numbers of the version and of the evacuations come from the leader. The set, which may be large, comes from any control VM,
    // so that a fleet that restarts does not read all its sets from one of them.
    async function readFullConfiguration(): Promise<boolean> {
        const confirmed = await control.query("control.status", {}, { timeoutMs: readTimeoutMs });
        if (confirmed.kind !== "done") return false;
        const { version: minVersion, evacuationsIndex: minEvacuationsIndex = 0 } = confirmed.result;
        const isOutdated = minVersion > version || minEvacuationsIndex > evacuations.changeIndex;
        if (!isOutdated) hasConfirmedConfiguration = true;
        else if (!await readSet(minVersion, minEvacuationsIndex)) return false;
        needsFullRead = false;
        return true;
    }

    async function readSet(minVersion: number, minEvacuationsIndex: number): Promise<boolean> {
        const { vm, role, failureDomain, incarnation } = identity;
        const sentAtMs = host.clock.nowMs();
        const reply = await control.watch({ vm, role, failureDomain, incarnation, version: 0, revision: 0, timeoutMs: watchTimeoutMs });
        // What has changed since the empty set is the whole set.
        const delta = reply?.delta;
        const set = delta === undefined ? reply?.configuration : { ...delta, objects: delta.changed };
        if (reply === undefined || set === undefined) return false;
        updateEvacuations(set.evacuations);
        if (set.version < minVersion || evacuations.changeIndex < minEvacuationsIndex) return false;
        recordContact(reply, sentAtMs);
        options.onVoterAddresses?.(reply.members);
        revision = reply.revision;
        hasConfirmedConfiguration = true;
        activate(set);
        return true;
    }

    // The reply was made no earlier than the end of control's wait, from a state of the age that it names.
    function recordContact(reply: WatchReply, sentAtMs: number): void {
        lastReply = reply;
        currentAtMs = Math.max(currentAtMs, sentAtMs + (reply.waitedMs ?? 0) - (reply.stateAgeMs ?? 0));
    }

    async function watchOnce(): Promise<void> {
        if (needsFullRead && !await readFullConfiguration()) return sleep(host.timers, retryMs);
        const { vm, role, failureDomain, incarnation } = identity;
        const { changeIndex: evacuationsIndex } = evacuations;
        const request = { vm, role, failureDomain, incarnation, version, revision, evacuationsIndex, timeoutMs: watchTimeoutMs };
        const sentAtMs = host.clock.nowMs();
        const reply = await control.watch(request);
        if (reply === undefined) return sleep(host.timers, retryMs);
        recordContact(reply, sentAtMs);
        options.onVoterAddresses?.(reply.members);
        updateEvacuations((reply.configuration ?? reply.delta)?.evacuations);
        if (reply.configuration !== undefined && reply.revision > revision) {
            revision = reply.revision;
            activate(reply.configuration);
        }
        if (reply.delta !== undefined && reply.revision > revision) applyDelta(reply.delta, reply.revision);
        if (reply.recalledBudgets.length > 0) {
            options.onRecall(reply.recalledBudgets);
            await sleep(host.timers, recallDelayMs);
        }
    }

    // The list has an index of its own, so a list of a control VM that lags behind is recognized whatever it came with.
    function updateEvacuations(list: EvacuationList | undefined): void {
        if (list === undefined) return;
        const { begun, ended } = evacuations.update(list, control.time.getUpperBoundMs());
        for (const record of begun) logEvacuation("The evacuation of a failure domain began.", record);
        for (const record of ended) logEvacuation("The evacuation of a failure domain ended.", record);
        if (ended.length > 0) options.onEvacuationsEnded?.(ended.map(record => record.failureDomain));
    }

    function logEvacuation(message: string, { failureDomain, changeIndex, changedAtWallMs }: EvacuationRecord): void {
        log.info(message, { failureDomain, changeIndex, changedAt: new Date(changedAtWallMs).toISOString() });
    }

    // A delta is discarded if its result does not match the digest from control. The full configuration is read instead.
    function applyDelta(delta: ConfigurationDelta, newRevision: number): void {
        if (delta.baseVersion !== version) return;
        const replacedKeys = new Set([...delta.removed, ...(delta.changed as readonly ConfigurationObject[]).map(getObjectKey)]);
        const unchanged = objects.listAll().filter(object => !replacedKeys.has(getObjectKey(object)));
        const merged = [...unchanged, ...delta.changed as readonly ConfigurationObject[]];
        if (delta.version !== version && getSetDigest(merged) !== delta.digest) {
            log.error("A configuration delta does not match its digest. Reading the full configuration.", { version: delta.version });
            needsFullRead = true;
            return;
        }
        revision = newRevision;
        activate({ ...delta, objects: merged });
    }

    // A control VM that lags behind may return an older configuration, which is ignored.
    function activate(view: ConfigurationView): void {
        assert(hasConfirmedConfiguration, "a quorum has confirmed a configuration before one is activated");
        if (view.version < version) return;
        if (view.version > version) activateObjects(view);
        suspicions = new Map(view.quarantined.map(item => [item.fingerprint, item]));
        suspects = new Set(view.suspects);
        suspectParts = new Map(view.suspectParts?.map(part => [part.partId, part]));
        options.onChange?.();
    }

    function activateObjects(view: ConfigurationView): void {
        const newObjects = view.objects as readonly ConfigurationObject[];
        assert(getSetDigest(newObjects) === view.digest, "the configuration matches the digest from control");
        log.info("Configuration activated.", { version: view.version, controlVm: control.getWatchedAddress(), ...getLastReport() });
        version = view.version;
        objects = createObjectIndex(newObjects);
        accountsByDigest = new Map(objects.list("clientAccount").flatMap(account => account.keyDigests.map(digest => [digest, account])));
        const routes = objects.list("route");
        routesByModel = new Map(routes.flatMap(route => route.model === undefined ? [] : [[route.model, route] as const]));
        routesByService = new Map(routes.flatMap(route => route.service === undefined ? [] : [[route.service, route] as const]));
    }
}

/** Delay after a recall, so that the lease renewal that returns the tokens can reach control before the next watch. */
const recallDelayMs = 50;
