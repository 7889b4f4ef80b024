/** Limits of everything that is read whole from another process. What is read piece by piece is limited by its reader. */

const kib = 1024;
const mib = 1024 * kib;

/** Largest size of one message, in bytes, by what it is. A larger one fails, and its connection is closed. */
export const maxMessageBytes = {
    /** Plain answer of a backend server to a caller's request. */
    answer: 8 * mib,
    /** Event of a stream. Bytes without an event boundary beyond it are no event stream. */
    event: mib,
    /** Body of a backend server's or agent's refusal, of which little or nothing is used. */
    refusal: 64 * kib,
    /** Load and cache events of a model engine or plain service. */
    loadReport: 4 * mib,
    /** Reply of a model engine that holds a few fields. */
    shortReply: 64 * kib,
    /** Frame of an agent's stream, with its line end. A frame holds one piece of an answer. */
    frame: 16 * mib,
    /** Answer of an entry to one of its own sample requests. */
    sampleAnswer: 64 * kib,
} as const;
