/** Admission of calls at a saturated entry: what the gate has to know of a call, and the verdicts of those that it refuses. */
import type { MessageCode } from "../../kernel/diagnostics.js";
import type { Host } from "../../kernel/host.js";
import type { MetricReading } from "../../kernel/metrics.js";
import { refuse } from "../../kernel/verdict.js";
import { createAccountShares } from "./accountShares.js";
import type { RefusalReason } from "./admissionCounts.js";
import { createAdmissionGate } from "./admissionGate.js";
import type { AdmissionGateOptions, AdmissionResult } from "./admissionGate.js";
import type { DeliveryResult } from "./delivery.js";
import { createAnswerPredictor } from "./expectedAnswer.js";
import type { AnswerPredictorOptions } from "./expectedAnswer.js";
import type { DirectCall } from "./types.js";

/** Admission of calls. */
export interface CallAdmission {
    /** Records that a call arrived, whether or not it has to be admitted. */
    recordArrival(call: DirectCall): void;
    /** True while calls have to be admitted. Otherwise they are served as they arrive. */
    isNeeded(): boolean;
    /** Resolves when the call may be served. Throws a `notRun` verdict if it is refused. */
    admit(call: DirectCall): Promise<void>;
    /** Learns from the answer of a call that has ended now. */
    recordAnswer(call: DirectCall, delivery: DeliveryResult): void;
    /** Drops what is known of other backend servers. */
    retainServers(names: ReadonlySet<string>): void;
    /** Refuses all calls that wait, because the process ends. */
    end(): void;
    readMetrics(): readonly MetricReading[];
}

/** Options of an admission. */
export interface CallAdmissionOptions extends AnswerPredictorOptions, Omit<AdmissionGateOptions, "shares"> {
    /** Maximum number of tokens in one event of the pool's streams. Undefined if it is not known. */
    readonly getTokensPerEvent: (pool: string) => number | undefined;
}

/** Processor time of an entry for a request and for each event of its answer, on a whole core. Only their ratio matters. */
const requestCostMs = 4.1;
const eventCostMs = 0.12;
/** Account name of all requests without an account. They have one share together. */
const noAccount = "";

/** Creates an admission where nothing waits. */
export function createCallAdmission(host: Host, options: CallAdmissionOptions): CallAdmission {
    const { getTokensPerEvent } = options;
    const shares = createAccountShares();
    const gate = createAdmissionGate(host, { ...options, shares });
    const predictor = createAnswerPredictor(options);
    return {
        recordArrival: call => shares.recordDemand(getAccountName(call), getCostMs(call), host.clock.nowMs()),
        isNeeded: gate.isClosed,
        async admit(call) {
            const result = await enter(call);
            if (result.kind === "admitted") return;
            const { reason, expectedWaitMs, retryAfterMs } = result;
            refuse(refusalCodes[reason], `The expected wait is ${Math.round(expectedWaitMs)} ms.`, retryAfterMs);
        },
        recordAnswer: (call, delivery) => predictor.recordEnd(call, delivery, getTokensPerEvent(call.pool), host.clock.nowMs()),
        retainServers: predictor.retainServers,
        end: gate.end,
        readMetrics: gate.readMetrics,
    };

    function enter(call: DirectCall): Promise<AdmissionResult> {
        const { startMs, endMs } = predictor.predict(call, getTokensPerEvent(call.pool), host.clock.nowMs());
        const { latencyObjectiveMs } = call.route;
        // A route without an objective states none, so its requests are in time until their deadline.
        const objectiveAtMs = latencyObjectiveMs === 0 ? call.deadlineMs : call.arrivedAtMs + latencyObjectiveMs;
        const request = {
            rank: call.priority,
            account: getAccountName(call),
            sizeBytes: call.request.body.length,
            costMs: getCostMs(call),
            arrivedAtMs: call.arrivedAtMs,
            objectiveAtMs,
            deadlineMs: call.deadlineMs,
            startMs,
            endMs,
            fingerprint: call.fingerprint,
            signal: call.request.signal,
        };
        return new Promise(resolve => gate.enter(request, resolve));
    }

    function getCostMs(call: DirectCall): number {
        return requestCostMs + predictor.predictEvents(call, getTokensPerEvent(call.pool)) * eventCostMs;
    }
}

function getAccountName(call: DirectCall): string {
    return call.account?.name ?? noAccount;
}

/** Codes of refusals. The one for `disconnected` is never sent, because there is no caller to answer. */
const refusalCodes: Readonly<Record<RefusalReason, MessageCode>> = {
    late: "overloaded",
    queueFull: "queueFull",
    disconnected: "overloaded",
    stopping: "stopping",
};
