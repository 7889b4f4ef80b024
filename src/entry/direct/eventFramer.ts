/** Splits a stream of server-sent events at event boundaries, so that a broken stream never delivers a partial event. */
import { createParser } from "eventsource-parser";
import VError from "verror";
import { createByteCollector } from "../../kernel/byteCollector.js";
import { maxMessageBytes } from "../../kernel/readLimits.js";

/** Complete events found after one chunk. */
export interface FramedEvents {
    /** Bytes of the complete events, unchanged. */
    readonly data: Uint8Array;
    readonly count: number;
}

/** Framer of one stream. */
export interface EventFramer {
    /** Throws when an event is larger than the limit. */
    push(chunk: Uint8Array): FramedEvents;
    /** True if an event has begun that is not complete. */
    isInsideEvent(): boolean;
    /** Size of the incomplete event that the framer holds. */
    readonly heldBytes: number;
    readonly lastEventId: string | undefined;
}

/** The longest event boundary is a blank line of CR LF after the LF of the line before. */
const maxBoundaryBytes = 3;
const lineFeed = 10;
const carriageReturn = 13;

/** Creates a framer for a stream that resumes after `lastEventId`. */
export function createEventFramer(lastEventId?: string): EventFramer {
    // What came after the last complete event. It is joined only when the event is complete.
    const rest = createByteCollector();
    let hasRestContent = false;
    let lastBytes: Uint8Array = new Uint8Array();
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
            // A boundary may begin in an earlier chunk.
            const searched = Buffer.concat([lastBytes, chunk]);
            const end = findLastEventEnd(searched) - lastBytes.length;
            lastBytes = searched.subarray(-maxBoundaryBytes + 1);
            count = 0;
            if (end <= 0) {
                keepRest(chunk);
                return { data: new Uint8Array(), count };
            }
            rest.add(chunk.subarray(0, end));
            const complete = rest.take();
            hasRestContent = false;
            keepRest(chunk.subarray(end));
            parser.feed(complete.toString("utf8"));
            return { data: complete, count };
        },
        isInsideEvent: () => hasRestContent,
        get heldBytes() {
            return rest.sizeBytes;
        },
        get lastEventId() {
            return eventId;
        },
    };

    function keepRest(chunk: Uint8Array): void {
        rest.add(chunk);
        hasRestContent ||= chunk.some(byte => byte !== lineFeed && byte !== carriageReturn);
        if (rest.sizeBytes > maxMessageBytes.event) throw new VError("an event is larger than %d bytes", maxMessageBytes.event);
    }
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
