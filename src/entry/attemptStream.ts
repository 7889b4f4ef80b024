/**
 * One attempt as the entry sees it: a dispatch to an agent, and the frames that come back. A dropped
 * connection is resumed at the frame where it broke. Frames of another request are never passed on.
 */
import { isMessageCode } from "../kernel/diagnostics.js";
import { NotSentError } from "../kernel/host.js";
import type { Host, IncomingResponse } from "../kernel/host.js";
import { agentLoadHeader, agentLoadSchema } from "../kernel/messages.js";
import type { AgentLoad, AgentRefusal, Dispatch, Frame } from "../kernel/messages.js";
import { readAll, readLines, sleep, withTimeout } from "../kernel/tasks.js";
import type { Address, Incarnation } from "../kernel/types.js";
import { createVerdict } from "../kernel/verdict.js";
import type { Verdict } from "../kernel/verdict.js";

/** Where an attempt runs. */
export interface AttemptPlace {
    readonly address: Address;
    readonly incarnation: Incarnation;
    readonly requestId: string;
}

/** How a dispatch began. */
export type DispatchOutcome =
    | { readonly kind: "accepted"; readonly reply: IncomingResponse; readonly load?: AgentLoad; }
    /** It certainly did not run. */
    | { readonly kind: "refused"; readonly verdict: Verdict; readonly load?: AgentLoad; }
    /** The connection broke before an answer. The agent may hold it. */
    | { readonly kind: "unknown"; };

/** Thrown when the agent no longer holds the answer, or never had it. */
export class AnswerLostError extends Error {
    override readonly name = "AnswerLostError";

    constructor(readonly reason: "unknownRequest" | "otherIncarnation" | "unreachable") {
        super(`the answer is lost: ${reason}`);
    }
}

/** Thrown when frames of another request, or out of order, came back. */
export class CrossedAnswerError extends Error {
    override readonly name = "CrossedAnswerError";
}

const resumePauseMs = 100;
const resumeTimeoutMs = 2_000;

/** Sends a dispatch to its agent. */
export async function sendDispatch(
    host: Host,
    address: Address,
    dispatch: Dispatch,
    body: Uint8Array,
    signal: AbortSignal,
): Promise<DispatchOutcome> {
    try {
        const reply = await host.network.request(address, {
            method: "POST",
            path: "/dispatch",
            headers: { "content-type": dispatch.contentType, "lovage-dispatch": encodeURIComponent(JSON.stringify(dispatch)) },
            body,
            signal,
        });
        const load = readLoad(reply);
        if (reply.status === 200) return { kind: "accepted", reply, load };
        return { kind: "refused", verdict: await readRefusal(reply), load };
    }
    catch (error) {
        if (error instanceof NotSentError) return { kind: "refused", verdict: createVerdict("notRun", "noBackendServer") };
        return { kind: "unknown" };
    }
}

function readLoad(reply: IncomingResponse): AgentLoad | undefined {
    const text = reply.headers[agentLoadHeader];
    return text === undefined ? undefined : agentLoadSchema.parse(JSON.parse(text));
}

async function readRefusal(reply: IncomingResponse): Promise<Verdict> {
    const refusal = JSON.parse(Buffer.from(await readAll(reply.body)).toString("utf8")) as AgentRefusal;
    return createVerdict("notRun", isMessageCode(refusal.code) ? refusal.code : "backendServerRefused", refusal.detail);
}

/** Options of following an attempt. */
export interface FollowOptions {
    readonly signal: AbortSignal;
    /** How long the agent may be out of reach before the answer counts as lost. */
    readonly maxUnreachableMs: number;
    /** Connection that is open already. */
    readonly reply?: IncomingResponse;
    /** How often an agent that does not know the request is asked again, because its dispatch may be on the way. */
    readonly unknownRetries?: number;
}

/** Yields an attempt's frames in order and once each, over as many connections as it takes. */
export async function* followAttempt(host: Host, place: AttemptPlace, options: FollowOptions): AsyncGenerator<Frame> {
    let next = 0;
    let reply = options.reply;
    let unreachableSinceMs: number | undefined;
    let unknownRetries = options.unknownRetries ?? 0;
    while (!options.signal.aborted) {
        try {
            reply ??= await resume(host, place, next, options.signal);
            for await (const frame of readFrames(reply, place.requestId)) {
                unreachableSinceMs = undefined;
                if (frame.sequence < next) continue;
                if (frame.sequence > next) throw new CrossedAnswerError(`frame ${frame.sequence} came in place of ${next}`);
                next++;
                yield frame;
                if (frame.kind === "end" || frame.kind === "failed") return;
            }
        }
        catch (error) {
            if (error instanceof CrossedAnswerError) throw error;
            if (error instanceof AnswerLostError && (error.reason !== "unknownRequest" || unknownRetries-- <= 0)) throw error;
        }
        reply = undefined;
        unreachableSinceMs ??= host.clock.nowMs();
        if (host.clock.nowMs() - unreachableSinceMs > options.maxUnreachableMs) throw new AnswerLostError("unreachable");
        await sleep(host.timers, resumePauseMs, options.signal);
    }
}

async function resume(host: Host, place: AttemptPlace, next: number, signal: AbortSignal): Promise<IncomingResponse> {
    const path = `/streams/${encodeURIComponent(place.requestId)}?from=${next}&incarnation=${encodeURIComponent(place.incarnation)}`;
    const call = host.network.request(place.address, { method: "GET", path, signal });
    const reply = await withTimeout(host.timers, call, resumeTimeoutMs, "resume");
    if (reply.status === 200) return reply;
    await readAll(reply.body);
    throw new AnswerLostError(reply.status === 404 ? "unknownRequest" : "otherIncarnation");
}

async function* readFrames(reply: IncomingResponse, requestId: string): AsyncGenerator<Frame> {
    for await (const line of readLines(reply.body)) {
        const frame = JSON.parse(line) as Frame;
        if (frame.requestId !== requestId) throw new CrossedAnswerError(`a frame of ${frame.requestId} came to ${requestId}`);
        yield frame;
    }
}
