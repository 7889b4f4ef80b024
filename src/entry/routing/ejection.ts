/** Outlier ejection: excludes failing or stalled backend servers for a time, up to a maximum share of all servers. */
import type { BackendServerName } from "../../kernel/types.js";

/** Result of an attempt, as input to ejection. */
export type AttemptHealth = "good" | "failed" | "stalled";

/** Tracks failures of backend servers and decides which are ejected. */
export interface Ejection {
    record(backendServer: BackendServerName, health: AttemptHealth, nowMs: number): void;
    isEjected(backendServer: BackendServerName, nowMs: number): boolean;
    /** True from an ejection until a request to the server succeeds. Meanwhile the server gets one request at a time. */
    isOnProbation(backendServer: BackendServerName): boolean;
    removeServer(backendServer: BackendServerName): void;
    /** Sets the number of backend servers, from which the maximum number of ejected ones follows. */
    setServerCount(count: number): void;
}

interface FailureRecord {
    readonly failures: number;
    readonly ejections: number;
    readonly ejectedUntilMs: number;
    readonly isOnProbation: boolean;
}

/** Weight of a result in the count of consecutive failures. A stall is a stronger sign of a fault than an error. */
const failureWeights: Readonly<Record<AttemptHealth, number>> = { good: 0, failed: 1, stalled: 2 };
const failuresToEject = 3;
const baseEjectionMs = 5_000;
const maxEjectionMs = 60_000;
const maxEjectedShare = 0.4;

/** Creates an ejection tracker without failures. */
export function createEjection(): Ejection {
    const records = new Map<BackendServerName, FailureRecord>();
    let serverCount = 0;
    return {
        record(backendServer, health, nowMs) {
            const known = records.get(backendServer) ?? { failures: 0, ejections: 0, ejectedUntilMs: -Infinity, isOnProbation: false };
            if (health === "good") {
                records.set(backendServer, { ...known, failures: 0, ejections: Math.max(0, known.ejections - 1), isOnProbation: false });
                return;
            }
            const failures = known.failures + failureWeights[health];
            const isCapReached = countEjected(nowMs) + 1 > Math.max(1, Math.floor(serverCount * maxEjectedShare));
            if (failures < failuresToEject || isCapReached || known.ejectedUntilMs > nowMs) {
                records.set(backendServer, { ...known, failures });
                return;
            }
            // Each consecutive ejection lasts twice as long. A single failure after it ejects the server again.
            const ejectionMs = Math.min(maxEjectionMs, baseEjectionMs * 2 ** known.ejections);
            records.set(backendServer, {
                failures: failuresToEject - 1,
                ejections: known.ejections + 1,
                ejectedUntilMs: nowMs + ejectionMs,
                isOnProbation: true,
            });
        },
        isEjected: (backendServer, nowMs) => (records.get(backendServer)?.ejectedUntilMs ?? -Infinity) > nowMs,
        isOnProbation: backendServer => (records.get(backendServer)?.isOnProbation ?? false),
        removeServer: backendServer => void records.delete(backendServer),
        setServerCount(count) {
            serverCount = count;
        },
    };

    function countEjected(nowMs: number): number {
        return [...records.values()].filter(record => record.ejectedUntilMs > nowMs).length;
    }
}
