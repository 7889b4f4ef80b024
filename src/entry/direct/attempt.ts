/** One dispatch to one backend server, from sending to the last byte, and the verdict on it. */
import type { MessageCode } from "../../kernel/diagnostics.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import { NotSentError } from "../../kernel/host.js";
import type { BackendConnections, Host, IncomingResponse } from "../../kernel/host.js";
import { getErrorText } from "../../kernel/tasks.js";
import { createVerdict } from "../../kernel/verdict.js";
import type { Verdict } from "../../kernel/verdict.js";
import { createEventFramer } from "./eventFramer.js";
import type { DispatchEnd } from "./loadTracker.js";
import { isStream } from "./types.js";
import type { DirectCall, DirectProtocol, DispatchFacts, Headers, ReplyHead, ServerLoad } from "./types.js";

/** A whole answer that is not a stream. */
export interface WholeAnswer {
    readonly status: number;
    readonly headers: Headers;
    readonly body: Uint8Array;
    /** True when the backend server did not say how long its body is. */
    readonly isUnframed: boolean;
}

/** What an attempt came to. */
export type AttemptOutcome =
    /** The backend server answered whole, well or not. */
    | { readonly kind: "answer"; readonly answer: WholeAnswer; }
    /** A stream reached its end. */
    | { readonly kind: "streamed"; }
    | { readonly kind: "failed"; readonly verdict: Verdict; readonly end: DispatchEnd; };

/** Where the events of a stream go. */
export interface StreamSink {
    readonly hasStarted: boolean;
    readonly lastEventId: string | undefined;
    start(status: number, headers: Headers, isUnframed: boolean): void;
    write(data: Uint8Array, eventCount: number, lastEventId: string | undefined): Promise<void>;
}

/** What an attempt works with. */
export interface AttemptOptions {
    readonly protocol: DirectProtocol;
    readonly connections: BackendConnections;
    readonly server: BackendServerRecord;
    readonly sink: StreamSink;
    readonly enginePriority?: number;
    readonly onLoad: (load: ServerLoad) => void;
    /** Called at the first sign that the backend server works on the request. */
    readonly onStarted: () => void;
}

const maxAnswerBytes = 8 * 1024 * 1024;

/** Sends a call to a backend server and follows its answer. It ends at the call's deadline or when the caller leaves. */
export async function runAttempt(host: Host, call: DirectCall, options: AttemptOptions): Promise<AttemptOutcome> {
    const { protocol, connections, server, sink } = options;
    const closing = new AbortController();
    const remainingMs = call.deadlineAtMs - host.clock.nowMs();
    let hasTimedOut = false;
    const cancelTimer = host.timers.after(Math.max(0, remainingMs), () => {
        hasTimedOut = true;
        closing.abort();
    });
    const onGone = () => closing.abort();
    call.request.signal.addEventListener("abort", onGone);
    try {
        const facts: DispatchFacts = {
            backendServer: server.backendServer,
            remainingMs: Math.max(1, Math.floor(remainingMs)),
            clientAccount: call.account?.name,
            enginePriority: options.enginePriority,
            lastEventId: sink.lastEventId ?? call.head.lastEventId,
        };
        const reply = await connections.request(server.address, {
            method: call.request.method,
            path: call.request.path,
            headers: protocol.createDispatchHeaders(call.head, facts),
            body: call.request.body.length > 0 || call.request.headers["transfer-encoding"] !== undefined ? call.request.body : undefined,
            signal: closing.signal,
        });
        return await followReply(reply);
    }
    catch (error) {
        closing.abort();
        if (error instanceof NotSentError) return fail("notRun", "noBackendServer", "unreachable", getErrorText(error));
        if (hasTimedOut) return fail("mayHaveRun", "deadlineExceeded", "unknown");
        if (call.request.signal.aborted) return fail("mayHaveRun", "outcomeUnknown", "unknown", "The caller has left.");
        return fail("mayHaveRun", "outcomeUnknown", "broken", getErrorText(error));
    }
    finally {
        cancelTimer();
        call.request.signal.removeEventListener("abort", onGone);
    }

    async function followReply(reply: IncomingResponse): Promise<AttemptOutcome> {
        const head = protocol.parseReply(reply.status, reply.headers);
        if (head.requestId !== undefined && head.requestId !== call.head.requestId) {
            closing.abort();
            return fail("mayHaveRun", "outcomeUnknown", "unknown", "The answer belongs to another request.");
        }
        if (head.load !== undefined) options.onLoad(head.load);
        if (head.isMisdirected || head.isNotRun) {
            await readBody(reply.body);
            const code = head.isMisdirected ? "staleIncarnation" : "backendServerRefused";
            return fail("notRun", code, head.isMisdirected ? "unreachable" : "refused", `status ${head.status}`);
        }
        const problem = findProblem(head);
        if (problem !== undefined) {
            closing.abort();
            return fail("mayHaveRun", "backendServerFailed", "failed", problem);
        }
        options.onStarted();
        return head.status < 300 && isStream(call.route) ? followStream(head, reply) : readAnswer(head, reply);
    }

    // A success needs the proof of the backend server. A failure without it may come from anything on the way.
    function findProblem(head: ReplyHead): string | undefined {
        if (head.isEncoded) return "The body is encoded.";
        if (head.requestId === undefined) return "The answer names no request.";
        if (head.status < 200 || head.status >= 300 && head.status < 400) return `Status ${head.status} is not expected.`;
        return head.isSealed || head.status >= 400 ? undefined : "The answer is not sealed.";
    }

    async function readAnswer(head: ReplyHead, reply: IncomingResponse): Promise<AttemptOutcome> {
        const data = await readBody(reply.body);
        const isUnframed = reply.isCloseDelimited === true;
        return { kind: "answer", answer: { status: head.status, headers: head.passthroughHeaders, body: data, isUnframed } };
    }

    async function followStream(head: ReplyHead, reply: IncomingResponse): Promise<AttemptOutcome> {
        if (!sink.hasStarted) sink.start(head.status, head.passthroughHeaders, reply.isCloseDelimited === true);
        const framer = createEventFramer(sink.lastEventId);
        for await (const chunk of reply.body) {
            const framed = framer.push(chunk);
            if (framed.count > 0) await sink.write(framed.data, framed.count, framer.lastEventId);
            else if (framed.data.length > 0) await sink.write(framed.data, 0, framer.lastEventId);
        }
        if (framer.rest.length > 0) await sink.write(framer.rest, 1, framer.lastEventId);
        return { kind: "streamed" };
    }

    function fail(kind: Verdict["kind"], code: MessageCode, end: DispatchEnd, detail?: string): AttemptOutcome {
        return { kind: "failed", verdict: createVerdict(kind, code, detail), end };
    }
}

async function readBody(body: AsyncIterable<Uint8Array>): Promise<Uint8Array> {
    const parts: Uint8Array[] = [];
    let sizeBytes = 0;
    for await (const part of body) {
        sizeBytes += part.length;
        if (sizeBytes > maxAnswerBytes) throw new Error(`The answer is larger than ${maxAnswerBytes} bytes.`);
        parts.push(part);
    }
    return Buffer.concat(parts);
}
