/** Outlier ejection: a backend server that fails or stalls is left out for a while, within a cap on the share. */
import type { BackendServerName } from "../../kernel/types.js";

/** How an attempt ended, as ejection sees it. */
export type AttemptHealth = "good" | "failed" | "stalled";

/** Memory of failures. */
export interface Ejection {
    record(backendServer: BackendServerName, health: AttemptHealth, nowMs: number): void;
    isEjected(backendServer: BackendServerName, nowMs: number): boolean;
    /** True after an ejection until a request has succeeded there. One request at a time may try. */
    isOnProbation(backendServer: BackendServerName): boolean;
    forget(backendServer: BackendServerName): void;
    /** Tells how many backend servers there are, for the cap. */
    setFleetSize(count: number): void;
}

interface FailureRecord {
    readonly failures: number;
    readonly ejections: number;
    readonly ejectedUntilMs: number;
    readonly isOnProbation: boolean;
}

/** Failures in a row that eject, by kind: a stall says more than an error. */
const failureWeights: Readonly<Record<AttemptHealth, number>> = { good: 0, failed: 1, stalled: 2 };
const failuresToEject = 3;
const baseEjectionMs = 5_000;
const maxEjectionMs = 60_000;
const maxEjectedShare = 0.4;

/** Creates a memory without failures. */
export function createEjection(): Ejection {
    const records = new Map<BackendServerName, FailureRecord>();
    let fleetSize = 0;
    return {
        record(backendServer, health, nowMs) {
            const known = records.get(backendServer) ?? { failures: 0, ejections: 0, ejectedUntilMs: -Infinity, isOnProbation: false };
            if (health === "good") {
                records.set(backendServer, { ...known, failures: 0, ejections: Math.max(0, known.ejections - 1), isOnProbation: false });
                return;
            }
            const failures = known.failures + failureWeights[health];
            const isCapReached = countEjected(nowMs) + 1 > Math.max(1, Math.floor(fleetSize * maxEjectedShare));
            if (failures < failuresToEject || isCapReached || known.ejectedUntilMs > nowMs) {
                records.set(backendServer, { ...known, failures });
                return;
            }
            // Each ejection in a row lasts twice as long. One failure after it ejects again.
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
        forget: backendServer => void records.delete(backendServer),
        setFleetSize(count) {
            fleetSize = count;
        },
    };

    function countEjected(nowMs: number): number {
        return [...records.values()].filter(record => record.ejectedUntilMs > nowMs).length;
    }
}
