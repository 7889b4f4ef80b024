/** Reports crashes of backend servers to control's quarantine, in batches and until control has confirmed them. */
import type { ControlClient } from "../../kernel/controlClient.js";
import type { Host } from "../../kernel/host.js";
import { crashReportLimits } from "../../kernel/messages.js";
import type { CrashReport, Suspicion } from "../../kernel/messages.js";
import { createNotifier, sleep } from "../../kernel/tasks.js";

/** A crash of a backend server while it ran a request. */
export interface Crash {
    readonly requestId: string;
    readonly fingerprint: string;
    readonly backendServer: string;
    /** Start time of the incarnation that crashed. */
    readonly bornMs: number;
    readonly failureDomain: string;
    readonly atMs: number;
    /** Parts of the prompt that may be to blame. Empty if the answer had begun. */
    readonly partIds: readonly string[];
}

/** Reports crashes in the background. */
export interface CrashReporter {
    add(crashes: readonly Crash[]): void;
    /** Drops what is not reported yet of a request. */
    drop(fingerprint: string): void;
    start(signal: AbortSignal): void;
}

/** Options of a reporter. */
export interface CrashReporterOptions {
    readonly control: Pick<ControlClient, "submit">;
    readonly onConfirmed: (crashes: readonly Crash[], suspicions: Readonly<Record<string, Suspicion>>) => void;
}

const maxUnreported = 1_000;
const maxCrashesPerReport = 200;
const reportTimeoutMs = 2_000;
const reportRetryMs = 100;
const idleIntervalMs = 60_000;

/** Creates a reporter without crashes. */
export function createCrashReporter(host: Host, options: CrashReporterOptions): CrashReporter {
    const log = host.createLogger("crashGuard");
    const reportRequested = createNotifier(host.timers);
    let unreported: readonly Crash[] = [];
    return {
        add(crashes) {
            unreported = [...unreported, ...crashes].slice(-maxUnreported);
            if (crashes.length > 0) reportRequested.notify();
        },
        drop(fingerprint) {
            unreported = unreported.filter(crash => crash.fingerprint !== fingerprint);
        },
        start: signal => void run(signal),
    };

    async function run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const batch = unreported.slice(0, maxCrashesPerReport);
            if (batch.length === 0) await reportRequested.wait(idleIntervalMs);
            else if (await report(batch)) unreported = unreported.filter(crash => !batch.includes(crash));
            else await sleep(host.timers, reportRetryMs, signal);
        }
    }

    // Control counts a crash of one incarnation once, so a report may be sent again.
    async function report(crashes: readonly Crash[]): Promise<boolean> {
        const nowMs = host.clock.nowMs();
        const input = { crashes: crashes.map(crash => toReport(crash, nowMs)) };
        const outcome = await options.control.submit("quarantine.report", input, { timeoutMs: reportTimeoutMs });
        if (outcome.kind === "done") options.onConfirmed(crashes, outcome.result.suspicions);
        if (outcome.kind === "rejected") log.error("Control rejected a report of crashes.", { detail: outcome.detail });
        if (outcome.kind === "unreachable") log.warn("Crashes could not be reported to control.", { crashes: crashes.length });
        return outcome.kind !== "unreachable";
    }
}

/** Names the incarnation that crashed, as control does. */
export function getCrashId(crash: Pick<Crash, "backendServer" | "bornMs">): string {
    return `${crash.backendServer} ${crash.bornMs}`;
}

function toReport(crash: Crash, nowMs: number): CrashReport {
    const { requestId, fingerprint, backendServer, failureDomain, bornMs, atMs, partIds } = crash;
    return {
        requestId: requestId.slice(0, crashReportLimits.nameLength),
        fingerprint,
        backendServer,
        failureDomain,
        incarnation: String(bornMs),
        isSolo: false,
        ageMs: Math.max(0, nowMs - atMs),
        partIds: [...partIds],
    };
}
