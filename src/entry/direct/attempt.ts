/** Sends one dispatch to one backend server, relays the answer, and classifies failures. */
import VError from "verror";
import type { MessageCode } from "../../kernel/diagnostics.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { HeldBytes, HeldMessage } from "../../kernel/heldBytes.js";
import { NotSentError } from "../../kernel/host.js";
import type { BackendConnections, Host, IncomingResponse, Logger } from "../../kernel/host.js";
import { maxMessageBytes } from "../../kernel/readLimits.js";
import { forEachPart, getErrorText, readAll } from "../../kernel/tasks.js";
import { createVerdict, VerdictError } from "../../kernel/verdict.js";
import type { Verdict } from "../../kernel/verdict.js";
import { createAttemptRecorder } from "./attemptTrace.js";
import type { AttemptTrace } from "./attemptTrace.js";
import { createEventFramer } from "./eventFramer.js";
import type { DispatchOutcome } from "./loadTracker.js";
import { isStream } from "./types.js";
import type { DirectCall, DirectProtocol, DispatchMetadata, Headers, ReplyHead, ServerLoad } from "./types.js";

/** A complete answer whose body was buffered. */
export interface BufferedAnswer {
    readonly status: number;
    readonly headers: Headers;
    readonly body: Uint8Array;
    /** True when the body is delimited by the end of the connection instead of a content length or chunked encoding. */
    readonly isCloseDelimited: boolean;
    /** Counts the body until it is released, once the answer is written or dropped. */
    readonly held: HeldMessage;
}

/** Result of an attempt. */
export type AttemptOutcome =
    /** The backend server sent a complete answer, which may be an error. */
    | { readonly kind: "answer"; readonly answer: BufferedAnswer; readonly trace: AttemptTrace; }
    /** The event stream was relayed to its end. */
    | { readonly kind: "streamed"; }
    | FailedAttempt;

/** An attempt without a complete answer. */
export interface FailedAttempt {
    readonly kind: "failed";
    readonly verdict: Verdict;
    readonly end: DispatchOutcome;
    /** False if no part of the request was sent. */
    readonly isSent: boolean;
    readonly trace: AttemptTrace;
}

/** Receives the events of a stream. */
export interface StreamSink {
    readonly hasStarted: boolean;
    /** Content type with which the stream has started. */
    readonly contentType: string | undefined;
    readonly lastEventId: string | undefined;
    start(status: number, headers: Headers, isCloseDelimited: boolean): void;
    /** Returns a promise if nothing more may be written until that resolves. */
    write(data: Uint8Array, eventCount: number, lastEventId: string | undefined): Promise<void> | undefined;
}

/** Options of an attempt. */
export interface AttemptOptions {
    readonly protocol: DirectProtocol;
    readonly connections: BackendConnections;
    readonly server: BackendServerRecord;
    readonly sink: StreamSink;
    /** Counts what is held of all answers. */
    readonly heldAnswers: HeldBytes;
    readonly log: Logger;
    readonly enginePriority?: number;
    readonly onLoad: (load: ServerLoad) => void;
    /** Called with the head of each answer of this server, before its outcome is known. */
    readonly onReplyHead: (head: ReplyHead) => void;
    /** Called when a valid answer has started. */
    readonly onStarted: () => void;
    /** Called when the server sends bytes after a complete answer, or a refusal whose body is larger than any refusal may be. */
    readonly onSurplus: () => void;
}

const eventStreamType = "text/event-stream";
/** Beyond this time the connection of a refusal whose body has not ended is closed. */
const refusalBodyTimeoutMs = 100;

/** Sends a request to a backend server and relays the answer. Ends at the deadline or when the caller disconnects. */
export async function runAttempt(host: Host, call: DirectCall, options: AttemptOptions): Promise<AttemptOutcome> {
    const { protocol, connections, server, sink } = options;
    const abortController = new AbortController();
    const recorder = createAttemptRecorder();
    const remainingMs = call.deadlineMs - host.clock.nowMs();
    let hasTimedOut = false;
    const endInTime = () => {
        hasTimedOut = true;
        abortController.abort();
    };
    const cancelTimer = host.timers.after(Math.max(0, remainingMs), endInTime);
    call.endSignal.addEventListener("abort", endInTime);
    const onCallerDisconnect = () => abortController.abort();
    call.request.signal.addEventListener("abort", onCallerDisconnect);
    let endedForRoom: Error | undefined;
    const held = options.heldAnswers.open(server.backendServer, error => {
        endedForRoom = error;
        abortController.abort();
    });
    // A whole answer is released by the delivery, which writes it.
    let isHandedOver = false;
    try {
        const metadata: DispatchMetadata = {
            backendServer: server.backendServer,
            remainingMs: Math.max(1, Math.floor(remainingMs)),
            clientAccount: call.account?.name,
            enginePriority: options.enginePriority,
            lastEventId: sink.lastEventId ?? call.head.lastEventId,
        };
        const reply = await connections.request(server.address, {
            method: call.request.method,
            path: call.request.path,
            headers: protocol.createDispatchHeaders(call.head, metadata),
            body: call.request.body.length > 0 || call.request.headers["transfer-encoding"] !== undefined ? call.request.body : undefined,
            signal: abortController.signal,
            requestId: call.head.requestId,
            onSurplus: options.onSurplus,
            onSent: recorder.recordSent,
        });
        const outcome = await processReply(reply);
        isHandedOver = outcome.kind === "answer";
        return outcome;
    }
    catch (error) {
        abortController.abort();
        if (error instanceof NotSentError) {
            recorder.recordNotRun("notSent");
            return { ...createFailure("notRun", "noBackendServer", "unreachable", getErrorText(error)), isSent: false };
        }
        if (endedForRoom !== undefined) return createFailure("mayHaveRun", "outcomeUnknown", "failed", getErrorText(endedForRoom));
        // In a busy process the timer may be late.
        if (hasTimedOut || host.clock.nowMs() >= call.deadlineMs) return createFailure("mayHaveRun", "deadlineExceeded", "unknown");
        if (call.request.signal.aborted) return createFailure("mayHaveRun", "outcomeUnknown", "unknown", "The caller has left.");
        // The budget does not cover more events. The backend server has not failed.
        if (error instanceof VerdictError) return createFailure("mayHaveRun", error.verdict.code, "unknown", error.verdict.detail);
        return createFailure("mayHaveRun", "outcomeUnknown", "broken", getErrorText(error));
    }
    finally {
        if (!isHandedOver) held.release();
        cancelTimer();
        call.endSignal.removeEventListener("abort", endInTime);
        call.request.signal.removeEventListener("abort", onCallerDisconnect);
    }

    async function processReply(reply: IncomingResponse): Promise<AttemptOutcome> {
        const head = protocol.parseReply(reply.status, reply.headers);
        recorder.recordHead(head);
        const doubt = findDoubt(head, reply);
        if (doubt !== undefined) {
            abortController.abort();
            return createFailure("mayHaveRun", "outcomeUnknown", "unknown", doubt);
        }
        if (head.load !== undefined) options.onLoad(head.load);
        if (!head.isMisdirected && head.requestId !== undefined) options.onReplyHead(head);
        if (head.isMisdirected || head.isNotRun) {
            reply.recordRefusal?.();
            recorder.recordNotRun(head.isNotRun ? "header" : "misdirected");
            if (head.requestId === undefined) abortController.abort();
            else await discardRefusal(reply);
            const code = head.isMisdirected ? "staleIncarnation" : "backendServerRefused";
            return createFailure("notRun", code, head.isMisdirected ? "unreachable" : "refused", `status ${head.status}`);
        }
        const problem = findReplyProblem(head);
        if (problem !== undefined) {
            abortController.abort();
            return createFailure("mayHaveRun", "backendServerFailed", "failed", problem);
        }
        options.onStarted();
        return head.status < 300 && isStream(call.route) ? relayStream(head, reply) : readAnswer(head, reply);
    }

    /**
     * Returns why the answer is not shown to be that of this request. A faulty backend server may write an earlier answer once more,
     * so an answer without an id is believed only where there was no earlier one. Nothing may follow it on its connection.
     */
    function findDoubt(head: ReplyHead, reply: IncomingResponse): string | undefined {
        if (head.requestId === call.head.requestId) return undefined;
        if (head.requestId !== undefined) return "The answer belongs to another request.";
        return reply.isFirstOnConnection === true ? undefined : "The answer names no request, and is not the first on its connection.";
    }

    async function discardRefusal(reply: IncomingResponse): Promise<void> {
        const cancelDiscard = host.timers.after(refusalBodyTimeoutMs, () => abortController.abort());
        try {
            if (!await discardBody(reply.body)) options.onSurplus();
        }
        catch (error) {
            options.log.info("The body of a refusal did not end.", {
                requestId: call.head.requestId,
                backendServer: server.backendServer,
                detail: getErrorText(error),
            });
        }
        finally {
            cancelDiscard();
        }
    }

    // An answer that callers act on must carry the backend server's seal: a success, and a status that promises that the request has not run.
    // Another error need not, because an intermediary may have generated it.
    function findReplyProblem(head: ReplyHead): string | undefined {
        if (head.isEncoded) return "The body is encoded.";
        if (head.requestId === undefined) return "The answer names no request.";
        if (head.status < 200 || head.status >= 300 && head.status < 400) return `Status ${head.status} is not expected.`;
        const mustBeSealed = head.status < 400 || protocol.notRunStatuses.has(head.status);
        if (mustBeSealed && !head.isSealed) return `The answer with status ${head.status} is not sealed.`;
        return head.status < 300 && sink.hasStarted && !continuesStream(head) ? "The answer does not go on with the stream." : undefined;
    }

    function continuesStream(head: ReplyHead): boolean {
        const mediaType = getMediaType(head.passthroughHeaders["content-type"]);
        return mediaType === eventStreamType || mediaType === getMediaType(sink.contentType);
    }

    async function readAnswer(head: ReplyHead, reply: IncomingResponse): Promise<AttemptOutcome> {
        const body = await readAll(reply.body, maxMessageBytes.answer, held);
        held.complete();
        const isCloseDelimited = reply.isCloseDelimited === true;
        const { status, passthroughHeaders: headers } = head;
        return { kind: "answer", answer: { status, headers, body, isCloseDelimited, held }, trace: recorder.read() };
    }

    async function relayStream(head: ReplyHead, reply: IncomingResponse): Promise<AttemptOutcome> {
        if (!sink.hasStarted) sink.start(head.status, head.passthroughHeaders, reply.isCloseDelimited === true);
        const framer = createEventFramer(sink.lastEventId);
        await forEachPart(reply, chunk => {
            const framed = framer.push(chunk);
            held.setSize(framer.heldBytes);
            return framed.data.length > 0 ? sink.write(framed.data, framed.count, framer.lastEventId) : undefined;
        });
        if (framer.isInsideEvent()) throw new VError("the stream ended inside an event");
        return { kind: "streamed" };
    }

    function createFailure(kind: Verdict["kind"], code: MessageCode, end: DispatchOutcome, detail?: string): FailedAttempt {
        return { kind: "failed", verdict: createVerdict(kind, code, detail), end, isSent: true, trace: recorder.read() };
    }
}

function getMediaType(contentType: string | undefined): string | undefined {
    return contentType?.split(";")[0]?.trim().toLowerCase();
}

/**
 * Reads the body of a refusal, so that its connection can be used again. The outcome of the attempt is known without it. Returns false if the
 * body is larger than a refusal may be. Its connection is closed then.
 */
async function discardBody(body: AsyncIterable<Uint8Array>): Promise<boolean> {
    let sizeBytes = 0;
    for await (const part of body) {
        sizeBytes += part.length;
        if (sizeBytes > maxMessageBytes.refusal) return false;
    }
    return true;
}
