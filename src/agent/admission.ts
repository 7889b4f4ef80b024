/** The last gate before the backend server. Every refusal here is certain: the request did not run. */
import type { ControlTimeBound } from "../kernel/controlTime.js";
import type { MessageCode } from "../kernel/diagnostics.js";
import type { Dispatch } from "../kernel/messages.js";
import type { Incarnation } from "../kernel/types.js";
import type { LeaseCounters } from "./leaseCounters.js";

/** What the gate looks at besides the dispatch. */
export interface GateState {
    readonly incarnation: Incarnation;
    /** True once control has told which leases are being recovered. */
    readonly isAnnounced: boolean;
    readonly isStopping: boolean;
    readonly isDraining: boolean;
    readonly isHealthy: boolean;
    readonly runningRequests: number;
    readonly maxRequests: number;
    /** True while a suspect runs, or waits to run, alone. */
    readonly isReservedForSolo: boolean;
    readonly time: ControlTimeBound;
    readonly counters: Pick<LeaseCounters, "isClosed">;
    hasRequest(requestId: string): boolean;
}

interface Check {
    readonly code: MessageCode;
    readonly isRefused: (dispatch: Dispatch, state: GateState) => boolean;
}

/** The checks in their order. The first that refuses names the reason. */
const checks: readonly Check[] = [
    { code: "staleIncarnation", isRefused: (dispatch, state) => dispatch.incarnation !== state.incarnation },
    { code: "duplicateDispatch", isRefused: (dispatch, state) => state.hasRequest(dispatch.requestId) },
    { code: "stopping", isRefused: (_, state) => state.isStopping },
    { code: "backendServerDraining", isRefused: (_, state) => state.isDraining },
    { code: "notReady", isRefused: (_, state) => !state.isAnnounced },
    { code: "backendServerRefused", isRefused: (_, state) => !state.isHealthy },
    { code: "backendServerRefused", isRefused: (_, state) => state.isReservedForSolo },
    { code: "queueFull", isRefused: (_, state) => state.runningRequests >= state.maxRequests },
    {
        code: "leaseClosed",
        isRefused: (dispatch, state) => dispatch.lease !== undefined && state.counters.isClosed(dispatch.lease.leaseId),
    },
    // An upper bound of control's time keeps a delayed dispatch from running after its lease was taken back.
    {
        code: "leaseExpired",
        isRefused: (dispatch, state) => dispatch.lease !== undefined && !state.time.isCertainlyBefore(dispatch.lease.expiresAtMs),
    },
];

/** The reason to refuse a dispatch, or undefined when it may run. */
export function findRefusal(dispatch: Dispatch, state: GateState): MessageCode | undefined {
    return checks.find(check => check.isRefused(dispatch, state))?.code;
}
