/**
 * What an attempt did on the wire, for the log: how far it got, what its connection had done before, and what the answer said. Tells why an
 * attempt counts as one that has not run the request.
 */
import type { SentConnection } from "../../kernel/host.js";
import type { ReplyHead } from "./types.js";

/** How far an attempt got. Past `notSent`, the backend server may have run the request. */
export type AttemptStage = "notSent" | "sent" | "answered";

/** What shows that an attempt has not run the request. */
export type NotRunEvidence =
    /** No part of the request was sent. */
    | "notSent"
    /** The answer states that its backend server did not run the request. */
    | "header"
    /** Another backend server has the address and refused the request. */
    | "misdirected";

/** What an attempt did so far. */
export interface AttemptTrace {
    readonly stage: AttemptStage;
    /** Connection that the request was sent on. */
    readonly connection?: SentConnection;
    /** Status of the answer. */
    readonly status?: number;
    readonly isSealed?: boolean;
    readonly notRunEvidence?: NotRunEvidence;
}

/** Records what an attempt does. */
export interface AttemptRecorder {
    recordSent(connection: SentConnection): void;
    recordHead(head: ReplyHead): void;
    recordNotRun(evidence: NotRunEvidence): void;
    read(): AttemptTrace;
}

/** Creates a recorder of an attempt that has sent nothing yet. */
export function createAttemptRecorder(): AttemptRecorder {
    let trace: AttemptTrace = { stage: "notSent" };
    return {
        recordSent(connection) {
            trace = { ...trace, stage: "sent", connection };
        },
        recordHead({ status, isSealed }) {
            trace = { ...trace, stage: "answered", status, isSealed };
        },
        recordNotRun(notRunEvidence) {
            trace = { ...trace, notRunEvidence };
        },
        read: () => trace,
    };
}

/** Fields of a log line about an attempt. */
export function getTraceFields({ stage, connection, status, isSealed, notRunEvidence }: AttemptTrace): Readonly<Record<string, unknown>> {
    return {
        stage,
        status,
        isSealed,
        notRunEvidence,
        serverConnectionAgeMs: connection === undefined ? undefined : Math.round(connection.ageMs),
        earlierAnswers: connection?.earlierAnswers,
        serverConnectionPort: connection?.localPort,
    };
}
