/**
 * Basic types that are used throughout the code: identifiers, addresses and a few records.
 * A good starting point for reading the code.
 */

/** Name of a VM, as given in the settings of its process. */
export type VmName = string;

/** Name of a failure domain: a set of VMs that can fail together. */
export type FailureDomainName = string;

/** Name of a client account in the configuration in force. */
export type ClientAccountName = string;

/** Name of a prepaid token budget in the configuration in force. */
export type BudgetName = string;

/** Name of a backend server. It is unique in the fleet and stays the same across restarts. */
export type BackendServerName = string;

/** Random identifier of one run of a process. A restarted process gets a new one. */
export type Incarnation = string;

/** `host:port`, where the host is an IP address. */
export type Address = string;

/** Identifier of a command, by which a resent command is recognized and applied only once. */
export type OperationId = string;

/** Index of an entry of the replicated log. The configuration's version is the index of the entry that committed it. */
export type LogIndex = number;

/** Service class of a request. Interactive requests take precedence over batch requests without starving them. */
export type ServiceClass = "interactive" | "batch";

/** The kinds of backend server that an agent can run alongside. */
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

/** Token counts of one request. */
export interface TokenUsage {
    readonly promptTokens: number;
    readonly completionTokens: number;
}

/** Returns the total number of billed tokens. */
export function getBilledTokens(usage: TokenUsage): number {
    return usage.promptTokens + usage.completionTokens;
}
