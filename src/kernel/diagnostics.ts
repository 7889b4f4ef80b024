/** All user-facing messages, with their codes and HTTP statuses. */

/** One user-facing message. */
export interface Message {
    readonly status: number;
    readonly title: string;
    readonly text: string;
}

/** User-facing messages by code. */
export const messages = {
    ok: { status: 200, title: "OK", text: "The request ran." },
    unauthenticated: { status: 401, title: "Not authenticated", text: "The key is missing or unknown." },
    badRequest: { status: 400, title: "Bad request", text: "The request cannot be read." },
    bodyTooLarge: { status: 413, title: "Body too large", text: "The body is larger than the limit." },
    lengthRequired: { status: 411, title: "Length required", text: "The length of the body is not stated." },
    noRoomForBody: { status: 503, title: "No room for the body", text: "The bodies of other requests take all the room of this process." },
    unknownModel: { status: 404, title: "Unknown model", text: "No route serves this model." },
    unknownPath: { status: 404, title: "Unknown path", text: "Nothing is served at this path." },
    methodNotAllowed: { status: 405, title: "Method not allowed", text: "This path does not take this method." },
    notReady: { status: 503, title: "Not ready", text: "This process has no configuration in force yet." },
    configurationOutdated: {
        status: 503,
        title: "Configuration outdated",
        text: "This process has not heard from control for too long to know whether the path or the key is valid.",
    },
    stopping: { status: 503, title: "Stopping", text: "This process takes no new work because it is stopping." },
    accountRateLimited: { status: 429, title: "Rate limit", text: "The client account sends faster than its limit." },
    accountConcurrencyLimited: { status: 429, title: "Concurrency limit", text: "The client account has too many requests in flight." },
    overloaded: { status: 503, title: "Overloaded", text: "The request cannot meet its deadline under the present load." },
    queueFull: { status: 503, title: "Queue full", text: "The waiting line is full." },
    budgetExhausted: { status: 402, title: "Budget exhausted", text: "The prepaid budget cannot cover this request." },
    budgetHeld: { status: 503, title: "Budget held", text: "The rest of the prepaid budget is held by running requests." },
    budgetUnavailable: {
        status: 503,
        title: "Budget unavailable",
        text: "Control cannot be reached and the tokens leased to this entry are spent.",
    },
    controlUnavailable: { status: 503, title: "Control unavailable", text: "Control cannot be reached." },
    keyConflict: { status: 409, title: "Idempotency key conflict", text: "This idempotency key was used with another body." },
    noBackendServer: { status: 503, title: "No backend server", text: "No backend server can take this request now." },
    poolEvacuated: {
        status: 503,
        title: "Pool evacuated",
        text: "All backend servers of the pool are in failure domains that are being evacuated.",
    },
    serversLimited: {
        status: 503,
        title: "Backend servers limited",
        text: "All backend servers have limited their rate of requests, and it is used up.",
    },
    streamOriginUnknown: {
        status: 503,
        title: "Stream of unknown origin",
        text: "It is not known which software version began this stream, and several are in service.",
    },
    streamVersionGone: {
        status: 503,
        title: "Version of the stream gone",
        text: "No backend server of the software version that began this stream is in service.",
    },
    backendServerRefused: { status: 503, title: "Refused", text: "The backend server refused the request before it ran." },
    backendServerDraining: { status: 503, title: "Draining", text: "The backend server takes no new work." },
    backendServerCrashed: { status: 502, title: "Backend server crashed", text: "The backend server stopped while the request ran." },
    backendServerFailed: { status: 502, title: "Backend server failed", text: "The backend server answered with an error." },
    leaseExpired: { status: 503, title: "Lease expired", text: "The budget lease had expired when the request reached the agent." },
    leaseClosed: { status: 503, title: "Lease closed", text: "The budget lease was closed before the request reached the agent." },
    staleIncarnation: { status: 503, title: "Agent restarted", text: "The agent restarted before the request reached it." },
    duplicateDispatch: { status: 409, title: "Duplicate dispatch", text: "The agent already holds this request." },
    deadlineExceeded: { status: 504, title: "Deadline exceeded", text: "The deadline passed before the request ran." },
    outcomeUnknown: { status: 502, title: "Outcome unknown", text: "The request may have run. Its outcome is not known." },
    answerLost: { status: 502, title: "Answer lost", text: "The request ran, but its answer is no longer held." },
    heldBack: {
        status: 503,
        title: "Held back",
        text: "Backend servers crashed while they ran this request, or others with a part of its prompt.",
    },
    quarantined: { status: 422, title: "Quarantined", text: "This request crashed several backend servers and is held back." },
    internalError: { status: 500, title: "Internal error", text: "The process failed before the request ran." },
} as const satisfies Readonly<Record<string, Message>>;

/** The code of a user-facing message. */
export type MessageCode = keyof typeof messages;

/** Tests whether the text is a message code. */
export function isMessageCode(text: string): text is MessageCode {
    return Object.hasOwn(messages, text);
}
