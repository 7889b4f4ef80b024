/** Buffers of answers, so that a dropped connection resumes and a retry attaches from the beginning. */
import type { Host } from "../kernel/host.js";
import type { Frame } from "../kernel/messages.js";
import { createNotifier } from "../kernel/tasks.js";
import type { Notifier } from "../kernel/tasks.js";

/** A frame before it has its request id and sequence number. */
export type FrameBody = Frame extends infer F ? F extends Frame ? Omit<F, "requestId" | "sequence"> : never : never;

/** The answer of one attempt. */
export interface AnswerStream {
    readonly requestId: string;
    readonly isFinished: boolean;
    readonly readerCount: number;
    /** Time since which nobody reads, or undefined while somebody does. */
    readonly unreadSinceMs: number | undefined;
    /** Adds a frame. Resolves when the readers have come close enough for more. */
    push(body: FrameBody): Promise<void>;
    /** Frames from a position on, until the answer's last one. */
    read(fromSequence: number, signal: AbortSignal): AsyncGenerator<Frame>;
}

/** All answers that this agent holds. */
export interface StreamBuffer {
    open(requestId: string, retentionMs: number): AnswerStream;
    get(requestId: string): AnswerStream | undefined;
    /** Drops finished answers whose retention is over, and the oldest while the buffer is too large. */
    sweep(): void;
    getSizeBytes(): number;
}

/** Limits of the buffer. */
export interface StreamLimits {
    readonly maxBytes: number;
    /** Frames that a writer may be ahead of its fastest reader. */
    readonly maxUnreadFrames: number;
}

interface HeldStream {
    readonly stream: AnswerStream;
    readonly retentionMs: number;
    sizeBytes: number;
    finishedAtMs: number | undefined;
}

const waitMs = 1_000;

/** Creates an empty buffer. */
export function createStreamBuffer(host: Host, limits: StreamLimits): StreamBuffer {
    const held = new Map<string, HeldStream>();
    let totalBytes = 0;
    return {
        open(requestId, retentionMs) {
            const onPush = (sizeBytes: number, isLast: boolean) => {
                entry.sizeBytes += sizeBytes;
                totalBytes += sizeBytes;
                if (isLast) entry.finishedAtMs = host.clock.nowMs();
            };
            const stream = createAnswerStream(host, requestId, limits.maxUnreadFrames, onPush);
            const entry: HeldStream = { stream, retentionMs, sizeBytes: 0, finishedAtMs: undefined };
            held.set(requestId, entry);
            return stream;
        },
        get: requestId => held.get(requestId)?.stream,
        sweep() {
            const nowMs = host.clock.nowMs();
            for (const [requestId, entry] of held) {
                if (entry.finishedAtMs === undefined || entry.stream.readerCount > 0) continue;
                const isOver = nowMs - entry.finishedAtMs > entry.retentionMs || totalBytes > limits.maxBytes;
                if (!isOver) continue;
                held.delete(requestId);
                totalBytes -= entry.sizeBytes;
            }
        },
        getSizeBytes: () => totalBytes,
    };
}

function createAnswerStream(
    host: Host,
    requestId: string,
    maxUnreadFrames: number,
    onPush: (sizeBytes: number, isLast: boolean) => void,
): AnswerStream {
    const frames: Frame[] = [];
    const positions = new Set<{ next: number; }>();
    const added: Notifier = createNotifier(host.timers);
    const taken: Notifier = createNotifier(host.timers);
    let isFinished = false;
    let unreadSinceMs: number | undefined = host.clock.nowMs();

    return {
        requestId,
        get isFinished() {
            return isFinished;
        },
        get readerCount() {
            return positions.size;
        },
        get unreadSinceMs() {
            return unreadSinceMs;
        },
        async push(body) {
            const frame = { ...body, requestId, sequence: frames.length } as Frame;
            frames.push(frame);
            isFinished = frame.kind === "end" || frame.kind === "failed";
            onPush(getSizeBytes(frame), isFinished);
            added.notify();
            while (!isFinished && positions.size > 0 && frames.length - getFurthest() > maxUnreadFrames) await taken.wait(waitMs);
        },
        async *read(fromSequence, signal) {
            const position = { next: fromSequence };
            positions.add(position);
            unreadSinceMs = undefined;
            const wake = () => added.notify();
            signal.addEventListener("abort", wake);
            try {
                while (!signal.aborted) {
                    while (position.next < frames.length && !signal.aborted) {
                        const frame = frames[position.next]!;
                        position.next++;
                        taken.notify();
                        yield frame;
                        if (frame.kind === "end" || frame.kind === "failed") return;
                    }
                    if (position.next >= frames.length && !signal.aborted) await added.wait(waitMs);
                }
            }
            finally {
                signal.removeEventListener("abort", wake);
                positions.delete(position);
                if (positions.size === 0) unreadSinceMs = host.clock.nowMs();
                taken.notify();
            }
        },
    };

    function getFurthest(): number {
        return Math.max(...[...positions].map(position => position.next));
    }
}

const frameOverheadBytes = 120;

function getSizeBytes(frame: Frame): number {
    return frameOverheadBytes + (frame.kind === "chunk" ? frame.data.length : 0);
}
