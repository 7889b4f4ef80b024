/**
 * Verdicts say whether a request may have run. A caller that reads `notRun` may safely send again;
 * after `mayHaveRun` only an idempotent request may be repeated.
 */
import { messages } from "./diagnostics.js";
import type { MessageCode } from "./diagnostics.js";

/** What is known about a request's execution. */
export type VerdictKind = "notRun" | "mayHaveRun" | "ran";

/** Outcome of a request or of one attempt. */
export interface Verdict {
    readonly kind: VerdictKind;
    readonly code: MessageCode;
    /** Detail for the caller in plain words, never holding a key or a body. */
    readonly detail: string;
    /** Earliest time after which another try can help, in milliseconds. */
    readonly retryAfterMs?: number;
}

/** Error that carries a verdict up to the stage that answers the caller. */
export class VerdictError extends Error {
    override readonly name = "VerdictError";

    constructor(readonly verdict: Verdict) {
        super(`${verdict.code}: ${verdict.detail}`);
    }
}

/** Builds a verdict from the message table. */
export function createVerdict(kind: VerdictKind, code: MessageCode, detail?: string, retryAfterMs?: number): Verdict {
    return { kind, code, detail: detail ?? messages[code].text, retryAfterMs };
}

/** Throws a refusal of a request that has certainly not run. */
export function refuse(code: MessageCode, detail?: string, retryAfterMs?: number): never {
    throw new VerdictError(createVerdict("notRun", code, detail, retryAfterMs));
}

/** Value of the `lovage-verdict` header for each kind. */
export const verdictHeaders: Readonly<Record<VerdictKind, string>> = {
    notRun: "not-run",
    mayHaveRun: "may-have-run",
    ran: "ran",
};

/** The verdict that an unexpected error stands for at a place where nothing more is known. */
export function toVerdict(error: unknown, defaultKind: VerdictKind): Verdict {
    if (error instanceof VerdictError) return error.verdict;
    return createVerdict(defaultKind, defaultKind === "notRun" ? "internalError" : "outcomeUnknown");
}
