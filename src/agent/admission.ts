/**
 * Admission checks that an agent makes before it passes a request to its backend server. A request that they refuse has
 * certainly not run.
 */
import type { ControlTimeBound } from "../kernel/controlTime.js";
import type { MessageCode } from "../kernel/diagnostics.js";
import type { Dispatch } from "../kernel/messages.js";
import type { Incarnation } from "../kernel/types.js";
import type { LeaseCounters } from "./leaseCounters.js";

/** State of the agent that the checks read in addition to the dispatch. */
export interface AdmissionState {
    readonly incarnation: Incarnation;
    /** True once control has acknowledged the announcement and reported which leases are being recovered. */
    readonly isAnnounced: boolean;
    readonly isStopping: boolean;
    readonly isDraining: boolean;
    readonly isHealthy: boolean;
    readonly runningRequests: number;
    readonly maxOutstandingRequests: number;
    /** True while a request that is suspected of crashing backend servers runs alone here, or waits to. */
    readonly isReservedForSoloRun: boolean;
    readonly time: ControlTimeBound;
    readonly counters: Pick<LeaseCounters, "isClosed">;
    /** True if the agent buffers a response under this id, or if the id was cancelled or must not run a second time. */
    hasRequest(requestId: string): boolean;
}

interface AdmissionCheck {
    readonly code: MessageCode;
    readonly isRefused: (dispatch: Dispatch, state: AdmissionState) => boolean;
}

/** Evaluated in order. The first check that refuses determines the code. */
const checks: readonly AdmissionCheck[] = [
    { code: "staleIncarnation", isRefused: (dispatch, state) => dispatch.incarnation !== state.incarnation },
    { code: "duplicateDispatch", isRefused: (dispatch, state) => state.hasRequest(dispatch.requestId) },
    { code: "stopping", isRefused: (_, state) => state.isStopping },
    { code: "backendServerDraining", isRefused: (_, state) => state.isDraining },
    { code: "notReady", isRefused: (_, state) => !state.isAnnounced },
    { code: "backendServerRefused", isRefused: (_, state) => !state.isHealthy },
    { code: "backendServerRefused", isRefused: (_, state) => state.isReservedForSoloRun },
    { code: "queueFull", isRefused: (_, state) => state.runningRequests >= state.maxOutstandingRequests },
    {
        code: "leaseClosed",
        isRefused: (dispatch, state) => dispatch.lease !== undefined && state.counters.isClosed(dispatch.lease.leaseId),
    },
    // Comparing against an upper bound of control's time keeps a delayed dispatch from running after control has reclaimed its
    // lease.
    {
        code: "leaseExpired",
        isRefused: (dispatch, state) => dispatch.lease !== undefined && !state.time.isCertainlyBefore(dispatch.lease.expiresAtMs),
    },
];

/** Returns the code of the refusal, or undefined if the dispatch may run. */
export function findRefusal(dispatch: Dispatch, state: AdmissionState): MessageCode | undefined {
    return checks.find(check => check.isRefused(dispatch, state))?.code;
}
