/**
 * Bounds the memory that all messages of one kind together hold in a process. A limit for each message is not enough: what a process can hold
 * is shared by all of them, and a sender that misbehaves sends many. When the sum is over its limit, messages are ended that are still being
 * read or wait for their receiver, of the sender that holds most, the largest first. So one faulty sender does not cost the messages of the
 * others. Half of the room is made free at once: what a faulty sender sends takes time to read, which all others wait for.
 *
 * Small messages have room of their own beyond the limit, so that large ones, which may not be ended once they are whole, leave room for them.
 */
import VError from "verror";
import type { Logger } from "./host.js";

/** Messages that share one limit. */
export interface HeldBytes {
    /** Begins to count a message. `end` is called if it has to give way to others, at most once and never after `complete` or `release`. */
    open(sender: string, end: (error: Error) => void): HeldMessage;
    /** Bytes that all messages hold now. */
    getTotalBytes(): number;
    /** Number of messages that were ended to stay within the limit. */
    getEndedCount(): number;
}

/** The bytes of one message. */
export interface HeldMessage {
    /** States how many bytes the message holds now. Ends messages if the sum is over the limit, which may be this one. */
    setSize(sizeBytes: number): void;
    /** The message is whole. It still counts, but is not ended any more. */
    complete(): void;
    /** The message may be ended again. If it waits until a receiver takes it, the receiver counts as its sender from now on. */
    allowEnd(end: (error: Error) => void, receiver?: string): void;
    /** The message holds nothing any more. */
    release(): void;
}

interface Message {
    sender: string;
    end: (error: Error) => void;
    sizeBytes: number;
    /** False while the message is whole, and once it was ended. */
    canEnd: boolean;
}

/** A size class of messages. */
interface SizeClass {
    has(message: Message): boolean;
    /** Bytes that count against the limit. */
    getBytes(): number;
    readonly maxBytes: number;
}

/** Ending a message below this size frees little, so large messages give way first. */
export const minLargeBytes = 64 * 1024;
/** Room of the small messages, as a share of the limit, which they may hold in addition to it. */
export const smallShare = 0.5;

/** Creates a count without messages. */
export function createHeldBytes(maxTotalBytes: number, log: Logger): HeldBytes {
    const messages = new Set<Message>();
    let totalBytes = 0;
    let smallBytes = 0;
    let endedCount = 0;
    const sizeClasses: readonly SizeClass[] = [
        { has: message => !isSmall(message), getBytes: () => totalBytes, maxBytes: maxTotalBytes },
        { has: isSmall, getBytes: () => smallBytes, maxBytes: maxTotalBytes * smallShare },
    ];
    return {
        open(sender, end) {
            const message: Message = { sender, end, sizeBytes: 0, canEnd: true };
            messages.add(message);
            return {
                setSize(sizeBytes) {
                    if (!messages.has(message)) return;
                    count(message, -1);
                    message.sizeBytes = sizeBytes;
                    count(message, 1);
                    for (const sizeClass of sizeClasses) {
                        while (sizeClass.getBytes() > sizeClass.maxBytes && makeRoom(sizeClass));
                    }
                },
                complete() {
                    message.canEnd = false;
                },
                allowEnd(newEnd, receiver) {
                    message.end = newEnd;
                    message.sender = receiver ?? message.sender;
                    message.canEnd = messages.has(message);
                },
                release: () => release(message),
            };
        },
        getTotalBytes: () => totalBytes,
        getEndedCount: () => endedCount,
    };

    function count(message: Message, sign: 1 | -1): void {
        totalBytes += sign * message.sizeBytes;
        if (isSmall(message)) smallBytes += sign * message.sizeBytes;
    }

    /** Ends messages of the sender that holds most, until half of their room is free. Returns false if there is none that can be ended. */
    function makeRoom({ has, getBytes, maxBytes }: SizeClass): boolean {
        const candidates = [...messages].filter(message => message.canEnd && has(message));
        const sender = findLargestSender(candidates);
        if (sender === undefined) return false;
        const heldBytes = totalBytes;
        const endedBefore = endedCount;
        const ofSender = candidates.filter(message => message.sender === sender);
        for (const message of ofSender.sort((left, right) => right.sizeBytes - left.sizeBytes)) {
            if (getBytes() <= maxBytes / 2) break;
            // The end of another one may have ended it.
            if (messages.has(message)) endMessage(message);
        }
        const ended = endedCount - endedBefore;
        log.warn("Messages are ended because all together hold too many bytes.", { sender, ended, heldBytes, totalBytes, maxTotalBytes });
        return true;
    }

    function endMessage(message: Message): void {
        endedCount++;
        release(message);
        message.end(new VError("all messages together hold more than %d bytes, those of %s most", maxTotalBytes, message.sender));
    }

    /** Returns the sender whose messages hold most, among those of the candidates. */
    function findLargestSender(candidates: readonly Message[]): string | undefined {
        const bytesBySender = new Map<string, number>();
        for (const { sender, sizeBytes } of messages) bytesBySender.set(sender, (bytesBySender.get(sender) ?? 0) + sizeBytes);
        let largest: string | undefined;
        for (const { sender } of candidates) {
            if (largest === undefined || bytesBySender.get(sender)! > bytesBySender.get(largest)!) largest = sender;
        }
        return largest;
    }

    function release(message: Message): void {
        if (!messages.delete(message)) return;
        message.canEnd = false;
        count(message, -1);
    }
}

function isSmall(message: Message): boolean {
    return message.sizeBytes < minLargeBytes;
}
