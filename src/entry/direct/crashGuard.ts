/**
 * Holds back requests that crash the backend servers that run them. An entry that has seen a request fail because its backend
 * servers crashed reports the crashes to control, which quarantines the request in the whole fleet. While control cannot be
 * reached, the entry applies the same limit to the crashes that it has seen itself. A whole answer clears the request everywhere.
 */
import type { ControlClient } from "../../kernel/controlClient.js";
import { countCrashes, quarantineCrashCount } from "../../kernel/crashCount.js";
import { getSha256 } from "../../kernel/digest.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { BackendConnections, Host } from "../../kernel/host.js";
import type { CrashReport, Suspicion } from "../../kernel/messages.js";
import { createNotifier, sleep } from "../../kernel/tasks.js";
import type { NodeConfiguration } from "../nodeConfiguration.js";
import type { DirectCall } from "./types.js";

/** Options of a guard. */
export interface CrashGuardOptions {
    readonly control: ControlClient;
    readonly configuration: Pick<NodeConfiguration, "getQuarantineLeftMs" | "hasCrashRecord">;
    readonly connections: Pick<BackendConnections, "canConnect">;
}

/** Holds back requests that crash backend servers. */
export interface CrashGuard {
    /** Time for which the request is held back. Undefined if it may be sent. */
    getHeldBackMs(call: DirectCall): number | undefined;
    /** Starts to watch the attempts of a request. */
    watch(call: DirectCall): CrashWatch;
    start(signal: AbortSignal): void;
}

/** Watches the attempts of one request. */
export interface CrashWatch {
    /** Records that the connection to a backend server broke while the request ran, after it had delivered some events. */
    recordBreak(server: BackendServerRecord, events: number): void;
    /** Ends the watch. `isAnswered` is true if a backend server answered the request to the end. */
    end(isAnswered: boolean): void;
}

interface Crash {
    readonly requestId: string;
    readonly fingerprint: string;
    readonly backendServer: string;
    /** Start time of the incarnation that crashed. */
    readonly bornMs: number;
    readonly failureDomain: string;
    readonly atMs: number;
    /** The request shares the backend server with others. */
    readonly isSolo: false;
}

/** What an entry itself holds against a request. */
interface OwnSuspect {
    /** Crashes that control has not confirmed yet. */
    readonly crashes: readonly Crash[];
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
const maxUnreported = 1_000;
const maxCrashesPerReport = 200;
const reportTimeoutMs = 2_000;
const reportRetryMs = 100;

/** Returns a digest that is equal for all attempts of the same request, whichever attempt id they carry. */
export function getFingerprint(call: Pick<DirectCall, "head" | "request" | "account">): string {
    const { head, request, account } = call;
    return getSha256([request.method, head.host, request.path, account?.name ?? "", getSha256(request.body)].join("\n"));
}

/** Creates a guard that has seen no crash. */
export function createCrashGuard(host: Host, options: CrashGuardOptions): CrashGuard {
    const { control, configuration, connections } = options;
    const log = host.createLogger("crashGuard");
    const reportRequested = createNotifier(host.timers);
    /** By fingerprint, in the order of the last change. */
    const ownSuspects = new Map<string, OwnSuspect>();
    const clearing = new Set<string>();
    let unreported: readonly Crash[] = [];

    return { getHeldBackMs, watch, start: signal => void reportInBackground(signal) };

    function getHeldBackMs(call: DirectCall): number | undefined {
        if (!isUnderSuspicion(call.fingerprint)) return undefined;
        const controlTimeMs = Math.min(control.time.getUpperBoundMs(), Number.MAX_VALUE);
        return configuration.getQuarantineLeftMs(call.fingerprint, controlTimeMs) ?? getOwnQuarantineLeftMs(call.fingerprint);
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
            end(isAnswered) {
                if (isAnswered) clear(call.fingerprint);
                else if (breaks.length > 0) void recordCrashes(breaks);
            },
        };
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
        const { fingerprint, head: { requestId } } = call;
        return { requestId, fingerprint, backendServer, bornMs, failureDomain, atMs, isSolo: false };
    }

    async function recordCrashes(breaks: readonly Promise<Crash | undefined>[]): Promise<void> {
        const crashes = (await Promise.all(breaks)).filter(crash => crash !== undefined);
        for (const crash of crashes) addOwnCrash(crash);
        unreported = [...unreported, ...crashes].slice(-maxUnreported);
        if (crashes.length > 0) reportRequested.notify();
    }

    function addOwnCrash(crash: Crash): void {
        const known = ownSuspects.get(crash.fingerprint);
        const crashes = [...known?.crashes ?? [], crash].slice(-maxOwnCrashes);
        setOwnSuspect(crash.fingerprint, { crashes, isConfirmed: false, expiresAtMs: host.clock.nowMs() + ownQuarantineMs });
    }

    function setOwnSuspect(fingerprint: string, suspect: OwnSuspect): void {
        ownSuspects.delete(fingerprint);
        ownSuspects.set(fingerprint, suspect);
        if (ownSuspects.size > maxOwnSuspects) ownSuspects.delete(ownSuspects.keys().next().value!);
    }

    async function reportInBackground(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const batch = unreported.slice(0, maxCrashesPerReport);
            if (batch.length === 0) await reportRequested.wait(ownQuarantineMs);
            else if (await report(batch)) unreported = unreported.filter(crash => !batch.includes(crash));
            else await sleep(host.timers, reportRetryMs, signal);
        }
    }

    // Control counts a crash of one incarnation once, so a report may be sent again.
    async function report(crashes: readonly Crash[]): Promise<boolean> {
        const nowMs = host.clock.nowMs();
        const outcome = await control.submit("quarantine.report", { crashes: crashes.map(crash => toReport(crash, nowMs)) }, {
            timeoutMs: reportTimeoutMs,
        });
        if (outcome.kind === "done") adoptSuspicions(outcome.result.suspicions);
        if (outcome.kind === "rejected") log.error("Control rejected a report of crashes.", { detail: outcome.detail });
        if (outcome.kind === "unreachable") log.warn("Crashes could not be reported to control.", { crashes: crashes.length });
        return outcome.kind !== "unreachable";
    }

    // From now on control holds the crashes, of this entry and of others, and publishes whether the request may run.
    function adoptSuspicions(suspicions: Readonly<Record<string, Suspicion>>): void {
        const expiresAtMs = host.clock.nowMs() + publicationMs;
        for (const [fingerprint, suspicion] of Object.entries(suspicions)) {
            if (suspicion === "quarantined") setOwnSuspect(fingerprint, { crashes: [], isConfirmed: true, expiresAtMs });
            else ownSuspects.delete(fingerprint);
        }
    }

    function clear(fingerprint: string): void {
        if (!isUnderSuspicion(fingerprint)) return;
        const isKnownToControl = configuration.hasCrashRecord(fingerprint) || ownSuspects.get(fingerprint)?.isConfirmed === true;
        ownSuspects.delete(fingerprint);
        unreported = unreported.filter(crash => crash.fingerprint !== fingerprint);
        if (isKnownToControl && !clearing.has(fingerprint)) void clearAtControl(fingerprint);
    }

    async function clearAtControl(fingerprint: string): Promise<void> {
        clearing.add(fingerprint);
        const outcome = await control.submit("quarantine.exonerate", { fingerprint }, { timeoutMs: reportTimeoutMs });
        log.info("A request under suspicion was answered.", { fingerprint, outcome: outcome.kind });
        clearing.delete(fingerprint);
    }
}

function toReport(crash: Crash, nowMs: number): CrashReport {
    const { requestId, fingerprint, backendServer, failureDomain, isSolo, bornMs, atMs } = crash;
    return { requestId, fingerprint, backendServer, failureDomain, isSolo, incarnation: String(bornMs), ageMs: Math.max(0, nowMs - atMs) };
}
