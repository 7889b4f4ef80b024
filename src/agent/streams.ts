/** Buffers responses, so that a reader can resume after a dropped connection and a retry can read from the beginning. */
import type { Host } from "../kernel/host.js";
import type { Frame } from "../kernel/messages.js";
import { createNotifier } from "../kernel/tasks.js";
import type { Notifier } from "../kernel/tasks.js";

/** A frame without its request id and sequence number, which the stream assigns. */
export type FrameBody = Frame extends infer F ? F extends Frame ? Omit<F, "requestId" | "sequence"> : never : never;

/** The response of one attempt. */
export interface ResponseStream {
    readonly requestId: string;
    readonly isFinished: boolean;
    readonly readerCount: number;
    /** Time at which the stream last had a reader, or was opened. Undefined while it has one. */
    readonly unreadSinceMs: number | undefined;
    /** Appends a frame. Resolves when the fastest reader is at most `maxUnreadFrames` behind, or when there is no reader. */
    push(body: FrameBody): Promise<void>;
    /** Yields the frames from a sequence number up to the last frame of the response, waiting for those still to come. */
    read(fromSequence: number, signal: AbortSignal): AsyncGenerator<Frame>;
}

/** All responses that this agent buffers. */
export interface StreamBuffer {
    open(requestId: string, retentionMs: number): ResponseStream;
    get(requestId: string): ResponseStream | undefined;
    /** Drops finished responses without readers whose retention time has passed, and the oldest ones while the buffer is too large. */
    evictExpired(): void;
    getSizeBytes(): number;
}

/** Limits of the buffer. */
export interface StreamLimits {
    readonly maxBytes: number;
    /** Number of frames that the writer may be ahead of the fastest reader. */
    readonly maxUnreadFrames: number;
}

interface BufferedStream {
    readonly stream: ResponseStream;
    readonly retentionMs: number;
    sizeBytes: number;
    finishedAtMs: number | undefined;
}

/** Maximum time to wait for a notification before the condition is checked again. */
const waitMs = 1_000;

/** Creates an empty buffer. */
export function createStreamBuffer(host: Host, limits: StreamLimits): StreamBuffer {
    const buffered = new Map<string, BufferedStream>();
    let totalBytes = 0;
    return {
        open(requestId, retentionMs) {
            const onPush = (sizeBytes: number, isLast: boolean) => {
                entry.sizeBytes += sizeBytes;
                totalBytes += sizeBytes;
                if (isLast) entry.finishedAtMs = host.clock.nowMs();
            };
            const stream = createResponseStream(host, requestId, limits.maxUnreadFrames, onPush);
            const entry: BufferedStream = { stream, retentionMs, sizeBytes: 0, finishedAtMs: undefined };
            buffered.set(requestId, entry);
            return stream;
        },
        get: requestId => buffered.get(requestId)?.stream,
        evictExpired() {
            const nowMs = host.clock.nowMs();
            for (const [requestId, entry] of buffered) {
                if (entry.finishedAtMs === undefined || entry.stream.readerCount > 0) continue;
                const isEvictable = nowMs - entry.finishedAtMs > entry.retentionMs || totalBytes > limits.maxBytes;
                if (!isEvictable) continue;
                buffered.delete(requestId);
                totalBytes -= entry.sizeBytes;
            }
        },
        getSizeBytes: () => totalBytes,
    };
}

function createResponseStream(
    host: Host,
    requestId: string,
    maxUnreadFrames: number,
    onPush: (sizeBytes: number, isLast: boolean) => void,
): ResponseStream {
    const frames: Frame[] = [];
    const readers = new Set<{ next: number; }>();
    const frameAdded: Notifier = createNotifier(host.timers);
    const frameTaken: Notifier = createNotifier(host.timers);
    let isFinished = false;
    let unreadSinceMs: number | undefined = host.clock.nowMs();

    return {
        requestId,
        get isFinished() {
            return isFinished;
        },
        get readerCount() {
            return readers.size;
        },
        get unreadSinceMs() {
            return unreadSinceMs;
        },
        async push(body) {
            const frame = { ...body, requestId, sequence: frames.length } as Frame;
            frames.push(frame);
            isFinished = frame.kind === "end" || frame.kind === "failed";
            onPush(getSizeBytes(frame), isFinished);
            frameAdded.notify();
            while (!isFinished && readers.size > 0 && frames.length - getMaxPosition() > maxUnreadFrames) await frameTaken.wait(waitMs);
        },
        async *read(fromSequence, signal) {
            const position = { next: fromSequence };
            readers.add(position);
            unreadSinceMs = undefined;
            const wake = () => frameAdded.notify();
            signal.addEventListener("abort", wake);
            try {
                while (!signal.aborted) {
                    while (position.next < frames.length && !signal.aborted) {
                        const frame = frames[position.next]!;
                        position.next++;
                        frameTaken.notify();
                        yield frame;
                        if (frame.kind === "end" || frame.kind === "failed") return;
                    }
                    if (position.next >= frames.length && !signal.aborted) await frameAdded.wait(waitMs);
                }
            }
            finally {
                signal.removeEventListener("abort", wake);
                readers.delete(position);
                if (readers.size === 0) unreadSinceMs = host.clock.nowMs();
                frameTaken.notify();
            }
        },
    };

    function getMaxPosition(): number {
        return Math.max(...[...readers].map(position => position.next));
    }
}

/** Estimated memory of a frame without its data. */
const frameOverheadBytes = 120;

function getSizeBytes(frame: Frame): number {
    return frameOverheadBytes + (frame.kind === "chunk" ? frame.data.length : 0);
}
