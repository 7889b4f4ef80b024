/** Cuts a stream of server-sent events into whole events, so that a caller never gets a part of one that breaks off. */
import { createParser } from "eventsource-parser";

/** Whole events of one chunk. */
export interface FramedEvents {
    /** Bytes of the whole events, as they came. */
    readonly data: Uint8Array;
    readonly count: number;
}

/** The framing of one stream. */
export interface EventFramer {
    push(chunk: Uint8Array): FramedEvents;
    /** Bytes after the last whole event. */
    readonly rest: Uint8Array;
    readonly lastEventId: string | undefined;
}

const lineFeed = 10;
const carriageReturn = 13;

/** Creates the framing of a stream that goes on after `lastEventId`. */
export function createEventFramer(lastEventId?: string): EventFramer {
    let rest: Buffer = Buffer.alloc(0);
    let eventId = lastEventId;
    let count = 0;
    const parser = createParser({
        onEvent(event) {
            count++;
            if (event.id !== undefined) eventId = event.id;
        },
    });
    return {
        push(chunk) {
            const data = rest.length === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength) : Buffer.concat([rest, chunk]);
            const end = findLastEnd(data);
            rest = data.subarray(end);
            const whole = data.subarray(0, end);
            count = 0;
            if (end > 0) parser.feed(whole.toString("utf8"));
            return { data: whole, count };
        },
        get rest() {
            return rest;
        },
        get lastEventId() {
            return eventId;
        },
    };
}

// Offset after the last blank line, or 0 where there is none.
function findLastEnd(data: Buffer): number {
    for (let at = data.length - 1; at > 0; at--) {
        if (data[at] !== lineFeed) continue;
        if (data[at - 1] === lineFeed) return at + 1;
        if (data[at - 1] === carriageReturn && data[at - 2] === lineFeed) return at + 1;
    }
    return 0;
}
