/** Types of the delivery stage. */
import type { AgentRouter } from "../../kernel/contracts.js";
import type { ControlClient } from "../../kernel/controlClient.js";
import type { Host } from "../../kernel/host.js";
import type { RpcClients } from "../../kernel/rpc.js";
import type { FailureDomainName } from "../../kernel/types.js";
import type { Verdict } from "../../kernel/verdict.js";
import type { AttemptLocation } from "../attemptStream.js";
import type { LeaseManager, Reservation } from "../budgets/leaseManager.js";
import type { NodeConfiguration } from "../nodeConfiguration.js";
import type { RetryBudget } from "../retryBudget.js";
import type { Router } from "../routing/router.js";
import type { EntryStatistics } from "../statistics.js";

/** Dependencies of the delivery stage. */
export interface DeliveryContext {
    readonly host: Host;
    readonly control: ControlClient;
    readonly configuration: NodeConfiguration;
    readonly router: Router;
    readonly leases: LeaseManager;
    readonly retryBudget: RetryBudget;
    readonly agents: RpcClients<AgentRouter>;
    readonly failureDomain: FailureDomainName;
    readonly statistics: EntryStatistics;
    readonly background: BackgroundTasks;
}

/** Tasks that outlive their request, such as pending settlements. */
export interface BackgroundTasks {
    run(task: () => Promise<void>): void;
    getCount(): number;
}

/** An attempt that is in progress. */
export interface Attempt {
    readonly location: AttemptLocation;
    readonly backendServer: string;
    readonly reservation?: Reservation;
    /** Present when the request has an idempotency key. */
    readonly claim?: { readonly clientAccount: string; readonly key: string; };
    readonly isIdempotent: boolean;
    /** Limit on the answer's length. Lower than requested if the budget could not cover that. */
    readonly maxCompletionTokens: number;
    /** True when the limit is lower than requested. An answer that reaches it is incomplete, so nothing is sent before the end. */
    readonly isTight: boolean;
}

/** How an attempt ended. */
export type AttemptResult =
    /** The caller has received the complete answer, or has disconnected. */
    | { readonly kind: "delivered"; }
    /** Nothing was sent to the caller, and another attempt may be made. */
    | { readonly kind: "again"; readonly verdict: Verdict; readonly isSolo: boolean; readonly replacesRequestId?: string; }
    /** The attempt failed and may not be retried; the verdict is sent to the caller. */
    | { readonly kind: "failed"; readonly verdict: Verdict; };
