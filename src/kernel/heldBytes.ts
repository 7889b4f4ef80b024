/**
 * Bounds the memory that all messages of one kind together hold in a process. A limit for each message is not enough: what a process can hold
 * is shared by all of them, and a sender that misbehaves sends many. When the sum is over its limit, messages are ended that are still being
 * read, of the sender that holds most, the largest first. So one faulty sender does not cost the messages of the others. Half of the room is
 * made free at once: what a faulty sender sends takes time to read, which all others wait for.
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
    /** The message holds nothing any more. */
    release(): void;
}

interface Message {
    readonly sender: string;
    readonly end: (error: Error) => void;
    sizeBytes: number;
    /** False once the message is whole or was ended. */
    isReading: boolean;
}

/** Smaller messages are not ended: their number is bounded by that of the connections, and ending them would free little. */
export const minEndedBytes = 64 * 1024;

/** Creates a count without messages. */
export function createHeldBytes(maxTotalBytes: number, log: Logger): HeldBytes {
    const messages = new Set<Message>();
    let totalBytes = 0;
    let endedCount = 0;
    return {
        open(sender, end) {
            const message: Message = { sender, end, sizeBytes: 0, isReading: true };
            messages.add(message);
            return {
                setSize(sizeBytes) {
                    if (!messages.has(message)) return;
                    totalBytes += sizeBytes - message.sizeBytes;
                    message.sizeBytes = sizeBytes;
                    while (totalBytes > maxTotalBytes && makeRoom());
                },
                complete() {
                    message.isReading = false;
                },
                release: () => release(message),
            };
        },
        getTotalBytes: () => totalBytes,
        getEndedCount: () => endedCount,
    };

    /** Ends messages of the sender that holds most, until half of the limit is free. Returns false if there is none that can be ended. */
    function makeRoom(): boolean {
        const sender = findLargestSender();
        const candidates = [...messages].filter(message => isCandidate(message) && message.sender === sender);
        for (const message of candidates.sort((left, right) => right.sizeBytes - left.sizeBytes)) {
            if (totalBytes <= maxTotalBytes / 2) break;
            endMessage(message);
        }
        return candidates.length > 0;
    }

    function endMessage(message: Message): void {
        const { sender, sizeBytes } = message;
        log.warn("A message is ended because all messages together hold too many bytes.", { sender, sizeBytes, totalBytes, maxTotalBytes });
        endedCount++;
        release(message);
        message.end(new VError("all messages together hold more than %d bytes, those of %s most", maxTotalBytes, sender));
    }

    /** Returns the sender whose messages hold most, among those with a message that can be ended. */
    function findLargestSender(): string | undefined {
        const bytesBySender = new Map<string, number>();
        for (const { sender, sizeBytes } of messages) bytesBySender.set(sender, (bytesBySender.get(sender) ?? 0) + sizeBytes);
        let largest: string | undefined;
        for (const message of messages) {
            if (!isCandidate(message)) continue;
            if (largest === undefined || bytesBySender.get(message.sender)! > bytesBySender.get(largest)!) largest = message.sender;
        }
        return largest;
    }

    function isCandidate(message: Message): boolean {
        return message.isReading && message.sizeBytes >= minEndedBytes;
    }

    function release(message: Message): void {
        if (!messages.delete(message)) return;
        message.isReading = false;
        totalBytes -= message.sizeBytes;
    }
}
