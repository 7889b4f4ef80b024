/**
 * The kernel's shared vocabulary: identifiers, addresses and the few records that every part uses.
 * Read this file first.
 */

/** Name of a VM, as given in its settings. */
export type VmName = string;

/** Name of a failure domain: a set of VMs that can be lost together. */
export type FailureDomainName = string;

/** Name of a client account in the configuration in force. */
export type ClientAccountName = string;

/** Name of a prepaid token budget in the configuration in force. */
export type BudgetName = string;

/** Name of a backend server, unique in the fleet and stable over its restarts. */
export type BackendServerName = string;

/** Random identifier of one life of one process. A restart gets a new one. */
export type Incarnation = string;

/** `host:port` where the host is an IP number. */
export type Address = string;

/** Identifier that makes a resent command idempotent. */
export type OperationId = string;

/** Index of a log entry. The configuration's version is the index of its commit. */
export type LogIndex = number;

/** Service class of a request. Interactive goes before batch, without starving it. */
export type ServiceClass = "interactive" | "batch";

/** The kinds of backend server that an agent can stand beside. */
export type BackendServerKind = "modelEngine" | "plainService";

/** The roles of the fleet's processes. */
export type Role = "entry" | "agent" | "control";

/** Identity of one running process of the fleet. */
export interface ProcessIdentity {
    readonly vm: VmName;
    readonly role: Role;
    readonly failureDomain: FailureDomainName;
    readonly incarnation: Incarnation;
    readonly address: Address;
}

/** Token counts of one answer. */
export interface TokenUsage {
    readonly promptTokens: number;
    readonly completionTokens: number;
}

/** Total tokens that a usage record bills. */
export function getBilledTokens(usage: TokenUsage): number {
    return usage.promptTokens + usage.completionTokens;
}
