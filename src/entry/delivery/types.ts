/** Shared vocabulary of delivery: what an attempt needs and how it ends. */
import type { AgentRouter } from "../../kernel/contracts.js";
import type { ControlClient } from "../../kernel/controlClient.js";
import type { Host } from "../../kernel/host.js";
import type { RpcClients } from "../../kernel/rpc.js";
import type { FailureDomainName } from "../../kernel/types.js";
import type { Verdict } from "../../kernel/verdict.js";
import type { AttemptLocation } from "../attemptStream.js";
import type { LeaseBook, Reservation } from "../budgets/leaseBook.js";
import type { NodeConfiguration } from "../configurationView.js";
import type { RetryBudget } from "../retryBudget.js";
import type { Router } from "../routing/router.js";
import type { EntryStatistics } from "../statistics.js";

/** Everything that delivery reaches. */
export interface DeliveryContext {
    readonly host: Host;
    readonly control: ControlClient;
    readonly configuration: NodeConfiguration;
    readonly router: Router;
    readonly leases: LeaseBook;
    readonly retryBudget: RetryBudget;
    readonly agents: RpcClients<AgentRouter>;
    readonly failureDomain: FailureDomainName;
    readonly statistics: EntryStatistics;
    readonly background: BackgroundTasks;
}

/** Work that outlives its request, such as settlements that are owed. */
export interface BackgroundTasks {
    run(work: () => Promise<void>): void;
    getCount(): number;
}

/** One attempt that is on its way. */
export interface Attempt {
    readonly location: AttemptLocation;
    readonly backendServer: string;
    readonly reservation?: Reservation;
    /** Set where the request has an idempotency key. */
    readonly claim?: { readonly clientAccount: string; readonly key: string; };
    readonly isIdempotent: boolean;
    /** Cap on the answer. Below what the caller asked where the budget could not cover that. */
    readonly maxCompletionTokens: number;
    /** True when an answer that reaches the cap is not whole, so that nothing is shown before its end. */
    readonly isTight: boolean;
}

/** How an attempt ended. */
export type AttemptResult =
    /** The caller has the whole answer, or has gone. */
    | { readonly kind: "delivered"; }
    /** Nothing reached the caller, and another attempt may be made. */
    | { readonly kind: "again"; readonly verdict: Verdict; readonly isSolo: boolean; readonly replacesRequestId?: string; }
    /** The caller is to be told. */
    | { readonly kind: "failed"; readonly verdict: Verdict; };
