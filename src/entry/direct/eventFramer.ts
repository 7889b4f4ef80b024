/** Splits a stream of server-sent events at event boundaries, so that a broken stream never delivers a partial event. */
import { createParser } from "eventsource-parser";

/** Complete events found after one chunk. */
export interface FramedEvents {
    /** Bytes of the complete events, unchanged. */
    readonly data: Uint8Array;
    readonly count: number;
}

/** Framer of one stream. */
export interface EventFramer {
    push(chunk: Uint8Array): FramedEvents;
    /** Bytes after the last complete event. */
    readonly rest: Uint8Array;
    readonly lastEventId: string | undefined;
}

const lineFeed = 10;
const carriageReturn = 13;

/** Creates a framer for a stream that resumes after `lastEventId`. */
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
            const end = findLastEventEnd(data);
            rest = data.subarray(end);
            const complete = data.subarray(0, end);
            count = 0;
            if (end > 0) parser.feed(complete.toString("utf8"));
            return { data: complete, count };
        },
        get rest() {
            return rest;
        },
        get lastEventId() {
            return eventId;
        },
    };
}

// Returns the offset after the last blank line, or 0 when there is none.
function findLastEventEnd(data: Buffer): number {
    for (let offset = data.length - 1; offset > 0; offset--) {
        if (data[offset] !== lineFeed) continue;
        if (data[offset - 1] === lineFeed) return offset + 1;
        if (data[offset - 1] === carriageReturn && data[offset - 2] === lineFeed) return offset + 1;
    }
    return 0;
}
