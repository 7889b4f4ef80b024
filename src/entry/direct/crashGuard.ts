/**
 * Holds back requests that crash the backend servers that run them. An entry that has seen a request fail because its backend
 * servers crashed reports the crashes to control, which quarantines the request in the whole fleet. While control cannot be
 * reached, the entry applies the same limit to the crashes that it has seen itself. A successful answer clears the request everywhere. An answer
 * with which a backend server reports an error does not: a server may fail a request that would have crashed it.
 * The same is done for the parts of prompts, because a part may crash backend servers whatever else a request holds.
 */
import type { ControlClient } from "../../kernel/controlClient.js";
import { countCrashes, quarantineCrashCount } from "../../kernel/crashCount.js";
import type { CountedCrash } from "../../kernel/crashCount.js";
import { getSha256 } from "../../kernel/digest.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { BackendConnections, Host } from "../../kernel/host.js";
import { crashReportLimits } from "../../kernel/messages.js";
import type { Suspicion } from "../../kernel/messages.js";
import { getErrorText } from "../../kernel/tasks.js";
import type { NodeConfiguration } from "../nodeConfiguration.js";
import { createCrashReporter, getCrashId } from "./crashReporter.js";
import type { Crash } from "./crashReporter.js";
import { createSuspectParts } from "./suspectParts.js";
import type { DirectCall } from "./types.js";

/** Options of a guard. */
export interface CrashGuardOptions {
    readonly control: ControlClient;
    readonly configuration: Pick<NodeConfiguration, "getQuarantineLeftMs" | "getTrialLeftMs" | "hasCrashRecord" | "getSuspectParts">;
    readonly connections: Pick<BackendConnections, "canConnect">;
}

/** Whether a request may be sent. */
export type Admission =
    | { readonly kind: "admitted"; }
    /** Control lets the request, which is quarantined, reach one backend server. */
    | { readonly kind: "trial"; }
    | { readonly kind: "heldBack"; readonly retryAfterMs: number; };

/** Holds back requests that crash backend servers. */
export interface CrashGuard {
    /** Decides whether a request may be sent. Asks control for a trial if one is due. */
    admit(call: DirectCall): Promise<Admission>;
    /** Time for which the request is held back. Undefined if it may be sent. */
    getHeldBackMs(call: DirectCall): number | undefined;
    /** Starts to watch the attempts of a request. */
    watch(call: DirectCall): CrashWatch;
    start(signal: AbortSignal): void;
}

/** How a request ended. `failed`: without a complete answer, or with one that reports an error. */
export type WatchedEnd = "succeeded" | "failed";

/** Watches the attempts of one request. */
export interface CrashWatch {
    /** Records that the connection to a backend server broke while the request ran, after it had delivered some events. */
    recordBreak(server: BackendServerRecord, events: number): void;
    /** Must be called once, when no further attempt is made. */
    end(end: WatchedEnd): void;
}

/** What an entry itself holds against a request. */
interface OwnSuspect {
    /** Crashes that control has not confirmed yet. */
    readonly crashes: readonly CountedCrash[];
    /** True when control has confirmed the quarantine, but may not have published it here yet. */
    readonly isConfirmed: boolean;
    readonly expiresAtMs: number;
}

/** Time for which an entry holds a request back by itself while control cannot be reached. */
const ownQuarantineMs = 60_000;
/** Time within which control publishes a quarantine to the entries. */
const publicationMs = 5_000;
const maxOwnSuspects = 1_000;
const maxOwnCrashes = 8;
const clearTimeoutMs = 2_000;
const trialTimeoutMs = 500;
/** Time after which a caller may return while another request is on trial or the time of control is not certain. */
const trialRetryMs = 1_000;
/** Long enough that no two requests share one, and short because all suspects are published to all entries. */
const fingerprintLength = 24;

/** Returns a digest that is equal for all attempts of the same request, whichever attempt id they carry. */
export function getFingerprint(call: Pick<DirectCall, "head" | "request" | "account">): string {
    const { head, request, account } = call;
    const text = [request.method, head.host, request.path, account?.name ?? "", getSha256(request.body)].join("\n");
    return getSha256(text).slice(0, fingerprintLength);
}

/** Creates a guard that has seen no crash. */
export function createCrashGuard(host: Host, options: CrashGuardOptions): CrashGuard {
    const { control, configuration, connections } = options;
    const log = host.createLogger("crashGuard");
    const reporter = createCrashReporter(host, { control, onConfirmed: adoptSuspicions });
    const suspectParts = createSuspectParts({
        clock: host.clock,
        controlTime: control.time,
        configuration,
        ownSuspicionMs: ownQuarantineMs,
        publicationMs,
    });
    /** By fingerprint, in the order of the last change. */
    const ownSuspects = new Map<string, OwnSuspect>();
    /** Fingerprints and parts that control is being told to clear. */
    const clearing = new Set<string>();

    return { admit, getHeldBackMs, watch, start: reporter.start };

    async function admit(call: DirectCall): Promise<Admission> {
        const { fingerprint } = call;
        const partsHeldBackMs = suspectParts.getHeldBackMs(listSharedParts(call));
        if (partsHeldBackMs !== undefined) return { kind: "heldBack", retryAfterMs: partsHeldBackMs };
        const leftMs = getQuarantineLeftMs(fingerprint);
        if (leftMs === undefined) return { kind: "admitted" };
        const trialLeftMs = configuration.getTrialLeftMs(fingerprint, getControlTimeMs()) ?? leftMs;
        if (trialLeftMs > 0) return { kind: "heldBack", retryAfterMs: Math.min(leftMs, trialLeftMs) };
        const outcome = await control.submit("quarantine.requestTrial", { fingerprint }, { timeoutMs: trialTimeoutMs });
        if (outcome.kind !== "done" || !outcome.result.isGranted) return { kind: "heldBack", retryAfterMs: trialRetryMs };
        log.info("A quarantined request is tried once.", { requestId: call.head.requestId, fingerprint });
        return { kind: "trial" };
    }

    function getHeldBackMs(call: DirectCall): number | undefined {
        return getQuarantineLeftMs(call.fingerprint) ?? suspectParts.getHeldBackMs(listSharedParts(call));
    }

    function getQuarantineLeftMs(fingerprint: string): number | undefined {
        if (!isUnderSuspicion(fingerprint)) return undefined;
        return configuration.getQuarantineLeftMs(fingerprint, getControlTimeMs()) ?? getOwnQuarantineLeftMs(fingerprint);
    }

    function getControlTimeMs(): number {
        return Math.min(control.time.getUpperBoundMs(), Number.MAX_VALUE);
    }

    function isUnderSuspicion(fingerprint: string): boolean {
        return ownSuspects.has(fingerprint) || configuration.hasCrashRecord(fingerprint);
    }

    function getOwnQuarantineLeftMs(fingerprint: string): number | undefined {
        const suspect = ownSuspects.get(fingerprint);
        const nowMs = host.clock.nowMs();
        if (suspect === undefined || suspect.expiresAtMs <= nowMs) return undefined;
        return suspect.isConfirmed || countCrashes(suspect.crashes) >= quarantineCrashCount ? suspect.expiresAtMs - nowMs : undefined;
    }

    function watch(call: DirectCall): CrashWatch {
        const breaks: Promise<Crash | undefined>[] = [];
        return {
            recordBreak: (server, events) => void breaks.push(confirmCrash(call, server, events)),
            end(end) {
                if (end === "failed") {
                    if (call.isTrial === true) logUnclearedTrial(call, breaks.length);
                    if (breaks.length > 0) recordCrashes(breaks).catch(logRecordFailure);
                    return;
                }
                clearRequest(call.fingerprint);
                clearParts(listSharedParts(call));
            },
        };
    }

    function logUnclearedTrial({ head: { requestId }, fingerprint }: DirectCall, brokenConnections: number): void {
        log.info("A trial did not clear a quarantined request.", { requestId, fingerprint, brokenConnections });
    }

    // A server that still accepts connections has not crashed: the connection was reset, or the answer was lost.
    async function confirmCrash(call: DirectCall, server: BackendServerRecord, events: number): Promise<Crash | undefined> {
        const atMs = host.clock.nowMs();
        const { backendServer, bornMs, failureDomain } = server;
        const isAlive = await connections.canConnect(server.address);
        log.info(isAlive ? "A connection to a backend server broke." : "A backend server crashed while it ran a request.", {
            requestId: call.head.requestId,
            fingerprint: call.fingerprint,
            backendServer,
            address: server.address,
            events,
            promptParts: call.head.promptParts.map(part => part.partId).join(" "),
        });
        if (isAlive) return undefined;
        // A part crashes a backend server when the answer begins, so an answer that was under way is no evidence.
        const partIds = events === 0 ? listSharedParts(call) : [];
        const { fingerprint, head: { requestId } } = call;
        return { requestId, fingerprint, backendServer, bornMs, failureDomain, atMs, partIds };
    }

    async function recordCrashes(breaks: readonly Promise<Crash | undefined>[]): Promise<void> {
        const crashes = (await Promise.all(breaks)).filter(crash => crash !== undefined);
        for (const crash of crashes) {
            const counted = { failureDomain: crash.failureDomain, atMs: crash.atMs, isSolo: false };
            addOwnCrash(crash.fingerprint, counted);
            suspectParts.add(crash.partIds, { ...counted, crashId: getCrashId(crash) });
        }
        reporter.add(crashes);
    }

    function logRecordFailure(error: unknown): void {
        log.error("Crashes of backend servers could not be recorded.", { detail: getErrorText(error) });
    }

    function addOwnCrash(fingerprint: string, crash: CountedCrash): void {
        const crashes = [...ownSuspects.get(fingerprint)?.crashes ?? [], crash].slice(-maxOwnCrashes);
        setOwnSuspect(fingerprint, { crashes, isConfirmed: false, expiresAtMs: host.clock.nowMs() + ownQuarantineMs });
    }

    function setOwnSuspect(fingerprint: string, suspect: OwnSuspect): void {
        ownSuspects.delete(fingerprint);
        ownSuspects.set(fingerprint, suspect);
        if (ownSuspects.size > maxOwnSuspects) ownSuspects.delete(ownSuspects.keys().next().value!);
    }

    // From now on control holds the crashes, of this entry and of others, and publishes what may run.
    function adoptSuspicions(crashes: readonly Crash[], suspicions: Readonly<Record<string, Suspicion>>): void {
        const expiresAtMs = host.clock.nowMs() + publicationMs;
        for (const [fingerprint, suspicion] of Object.entries(suspicions)) {
            if (suspicion === "quarantined") setOwnSuspect(fingerprint, { crashes: [], isConfirmed: true, expiresAtMs });
            else ownSuspects.delete(fingerprint);
        }
        suspectParts.confirm(new Set(crashes.map(getCrashId)));
    }

    function clearRequest(fingerprint: string): void {
        if (!isUnderSuspicion(fingerprint)) return;
        const isKnownToControl = configuration.hasCrashRecord(fingerprint) || ownSuspects.get(fingerprint)?.isConfirmed === true;
        ownSuspects.delete(fingerprint);
        reporter.drop(fingerprint);
        if (isKnownToControl) void clearAtControl([fingerprint], () => submitClear("quarantine.exonerate", { fingerprint }));
    }

    function clearParts(partIds: readonly string[]): void {
        const known = suspectParts.clear(partIds).filter(partId => !clearing.has(partId));
        if (known.length > 0) void clearAtControl(known, () => submitClear("quarantine.exonerateParts", { partIds: [...known] }));
    }

    async function clearAtControl(keys: readonly string[], submit: () => Promise<string>): Promise<void> {
        if (keys.some(key => clearing.has(key))) return;
        for (const key of keys) clearing.add(key);
        const outcome = await submit();
        log.info("An answer cleared what was under suspicion.", { cleared: keys.join(" "), outcome });
        for (const key of keys) clearing.delete(key);
    }

    async function submitClear<K extends "quarantine.exonerate" | "quarantine.exonerateParts">(
        kind: K,
        input: Parameters<typeof control.submit<K>>[1],
    ): Promise<string> {
        return (await control.submit(kind, input, { timeoutMs: clearTimeoutMs })).kind;
    }
}

/**
 * Lists the parts of the prompt that others may share. The last part belongs to the request itself, which its fingerprint stands for. Parts that a
 * report to control has no room for are left out.
 */
function listSharedParts(call: DirectCall): readonly string[] {
    const partIds = call.head.promptParts.slice(0, -1).map(part => part.partId);
    return partIds.filter(partId => partId.length <= crashReportLimits.nameLength).slice(0, crashReportLimits.partIds);
}
