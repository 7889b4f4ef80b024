/**
 * A verdict tells the caller whether a request may have run. After `notRun` the caller can safely resend any
 * request, after `mayHaveRun` only an idempotent one.
 */
import { messages } from "./diagnostics.js";
import type { MessageCode } from "./diagnostics.js";

/** What is known about a request's execution. */
export type VerdictKind = "notRun" | "mayHaveRun" | "ran";

/** Outcome of a request or of one attempt. */
export interface Verdict {
    readonly kind: VerdictKind;
    readonly code: MessageCode;
    /** Explanation for the caller. Never contains a key or a request body. */
    readonly detail: string;
    /** Delay in milliseconds before a retry can succeed. */
    readonly retryAfterMs?: number;
}

/** Error that carries a verdict to the code that responds to the caller. */
export class VerdictError extends Error {
    override readonly name = "VerdictError";

    constructor(readonly verdict: Verdict) {
        super(`${verdict.code}: ${verdict.detail}`);
    }
}

/** Creates a verdict. The detail defaults to the text of the message. */
export function createVerdict(kind: VerdictKind, code: MessageCode, detail?: string, retryAfterMs?: number): Verdict {
    return { kind, code, detail: detail ?? messages[code].text, retryAfterMs };
}

/** Refuses a request that has certainly not run, by throwing a `VerdictError`. */
export function refuse(code: MessageCode, detail?: string, retryAfterMs?: number): never {
    throw new VerdictError(createVerdict("notRun", code, detail, retryAfterMs));
}

/** Value of the `lovage-verdict` header for each kind. */
export const verdictHeaders: Readonly<Record<VerdictKind, string>> = {
    notRun: "not-run",
    mayHaveRun: "may-have-run",
    ran: "ran",
};

/** Converts an error to a verdict. Errors without a verdict get the given kind, with a code that matches it. */
export function toVerdict(error: unknown, defaultKind: VerdictKind): Verdict {
    if (error instanceof VerdictError) return error.verdict;
    return createVerdict(defaultKind, defaultKind === "notRun" ? "internalError" : "outcomeUnknown");
}
