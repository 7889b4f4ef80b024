/**
 * Client side of an attempt: sends the dispatch to an agent and reads the frames of the answer. A dropped connection is resumed at
 * the first frame not yet received. Frames of another request are rejected.
 */
import { isMessageCode } from "../kernel/diagnostics.js";
import { NotSentError } from "../kernel/host.js";
import type { Host, IncomingResponse } from "../kernel/host.js";
import { agentLoadHeader, agentLoadSchema } from "../kernel/messages.js";
import type { AgentLoad, AgentRefusal, Dispatch, Frame } from "../kernel/messages.js";
import { maxMessageBytes } from "../kernel/readLimits.js";
import { readAll, readLines, sleep, withTimeout } from "../kernel/tasks.js";
import type { Address, Incarnation } from "../kernel/types.js";
import { createVerdict } from "../kernel/verdict.js";
import type { Verdict } from "../kernel/verdict.js";

/** Identifies an attempt and the agent process that runs it. */
export interface AttemptLocation {
    readonly address: Address;
    readonly incarnation: Incarnation;
    readonly requestId: string;
}

/** Result of sending a dispatch. */
export type SendDispatchResult =
    | { readonly kind: "accepted"; readonly reply: IncomingResponse; readonly load?: AgentLoad; }
    /** The request did not run. */
    | { readonly kind: "refused"; readonly verdict: Verdict; readonly load?: AgentLoad; }
    /** The connection broke before the agent replied. The agent may have accepted the dispatch. */
    | { readonly kind: "unknown"; };

/** Thrown when the answer cannot be read: the agent never had it or no longer holds it, has restarted, or is unreachable. */
export class AnswerLostError extends Error {
    override readonly name = "AnswerLostError";

    constructor(readonly reason: "unknownRequest" | "otherIncarnation" | "unreachable") {
        super(`answer cannot be read: ${reason}`);
    }
}

/** Thrown when a frame belongs to another request or skips a sequence number. */
export class UnexpectedFrameError extends Error {
    override readonly name = "UnexpectedFrameError";
}

const resumeRetryDelayMs = 100;
const resumeTimeoutMs = 2_000;

/** Sends a dispatch to its agent. */
export async function sendDispatch(
    host: Host,
    address: Address,
    dispatch: Dispatch,
    body: Uint8Array,
    signal: AbortSignal,
): Promise<SendDispatchResult> {
    try {
        const reply = await host.network.request(address, {
            method: "POST",
            path: "/dispatch",
            headers: { "content-type": dispatch.contentType, "lovage-dispatch": encodeURIComponent(JSON.stringify(dispatch)) },
            body,
            signal,
        });
        const load = readAgentLoad(reply);
        if (reply.status === 200) return { kind: "accepted", reply, load };
        return { kind: "refused", verdict: await readRefusal(reply), load };
    }
    catch (error) {
        if (error instanceof NotSentError) return { kind: "refused", verdict: createVerdict("notRun", "noBackendServer") };
        return { kind: "unknown" };
    }
}

function readAgentLoad(reply: IncomingResponse): AgentLoad | undefined {
    const text = reply.headers[agentLoadHeader];
    return text === undefined ? undefined : agentLoadSchema.parse(JSON.parse(text));
}

async function readRefusal(reply: IncomingResponse): Promise<Verdict> {
    const refusal = JSON.parse(Buffer.from(await readAll(reply.body, maxMessageBytes.refusal)).toString("utf8")) as AgentRefusal;
    return createVerdict("notRun", isMessageCode(refusal.code) ? refusal.code : "backendServerRefused", refusal.detail);
}

/** Options of `followAttempt`. */
export interface FollowOptions {
    readonly signal: AbortSignal;
    /** How long the agent may be unreachable before `AnswerLostError` is thrown. */
    readonly maxUnreachableMs: number;
    /** Reply to the dispatch, whose body is read first. Without it a connection is opened. */
    readonly reply?: IncomingResponse;
    /** How often to ask again when the agent does not know the request, because the dispatch may still be in transit. */
    readonly unknownRequestRetries?: number;
}

/** Yields the frames of an attempt in order and exactly once, reconnecting as needed. */
export async function* followAttempt(host: Host, location: AttemptLocation, options: FollowOptions): AsyncGenerator<Frame> {
    let nextSequence = 0;
    let reply = options.reply;
    let unreachableSinceMs: number | undefined;
    let unknownRetriesLeft = options.unknownRequestRetries ?? 0;
    while (!options.signal.aborted) {
        try {
            reply ??= await resume(host, location, nextSequence, options.signal);
            for await (const frame of readFrames(reply, location.requestId)) {
                unreachableSinceMs = undefined;
                if (frame.sequence < nextSequence) continue;
                if (frame.sequence > nextSequence) throw new UnexpectedFrameError(`got frame ${frame.sequence}, expected ${nextSequence}`);
                nextSequence++;
                yield frame;
                if (frame.kind === "end" || frame.kind === "failed") return;
            }
        }
        catch (error) {
            if (error instanceof UnexpectedFrameError) throw error;
            if (error instanceof AnswerLostError && (error.reason !== "unknownRequest" || unknownRetriesLeft-- <= 0)) throw error;
        }
        reply = undefined;
        unreachableSinceMs ??= host.clock.nowMs();
        if (host.clock.nowMs() - unreachableSinceMs > options.maxUnreachableMs) throw new AnswerLostError("unreachable");
        await sleep(host.timers, resumeRetryDelayMs, options.signal);
    }
}

async function resume(host: Host, location: AttemptLocation, fromSequence: number, signal: AbortSignal): Promise<IncomingResponse> {
    const path = `/streams/${encodeURIComponent(location.requestId)}?from=${fromSequence}&incarnation=${
        encodeURIComponent(location.incarnation)
    }`;
    const call = host.network.request(location.address, { method: "GET", path, signal });
    const reply = await withTimeout(host.timers, call, resumeTimeoutMs, "resume");
    if (reply.status === 200) return reply;
    await readAll(reply.body, maxMessageBytes.refusal);
    throw new AnswerLostError(reply.status === 404 ? "unknownRequest" : "otherIncarnation");
}

async function* readFrames(reply: IncomingResponse, requestId: string): AsyncGenerator<Frame> {
    for await (const line of readLines(reply.body, maxMessageBytes.frame)) {
        const frame = JSON.parse(line) as Frame;
        if (frame.requestId !== requestId) throw new UnexpectedFrameError(`got a frame of ${frame.requestId}, expected ${requestId}`);
        yield frame;
    }
}
