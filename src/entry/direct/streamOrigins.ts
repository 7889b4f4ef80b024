/**
 * The software version at which each resumable stream began. What two versions write does not fit together, so a stream may go on only at
 * the version that began it, whichever entry it is taken up at.
 *
 * While one version only has served for longer than any caller takes a stream up again, nothing needs to be told. Otherwise an entry tells
 * all control VMs where a stream is about to begin, and holds its first event until a majority has answered. Thus a stream that nobody
 * knows began before the second version was there.
 */
import { maxSharedIdLength } from "../../kernel/contracts.js";
import type { StreamOriginRecord } from "../../kernel/contracts.js";
import type { ControlClient } from "../../kernel/controlClient.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { Host } from "../../kernel/host.js";
import { getErrorText, runPeriodically, sleep } from "../../kernel/tasks.js";
import { createVersionHistory } from "../../kernel/versionHistory.js";

/** The pool and the version of a stream. */
export type StreamOrigin = Omit<StreamOriginRecord, "requestId">;

/** Origins of streams. */
export interface StreamOrigins {
    /** Takes over the records that control has just sent or confirmed. */
    observe(servers: readonly BackendServerRecord[]): void;
    start(signal: AbortSignal): void;
    /** Sets the longest time for which a caller may take a stream up again. */
    setWindow(windowMs: number): void;
    /** Records where a stream is about to begin. Resolves once the record outlives this entry, or cannot be made to in time. */
    record(requestId: string, origin: StreamOrigin): Promise<void>;
    /** Returns where the stream began that a request goes on with. Undefined if that cannot be told. */
    resolve(requestId: string | undefined, pool: string): Promise<StreamOrigin | undefined>;
}

/** Origins of one dispatch after the other are told together. */
const batchDelayMs = 8;
const callTimeoutMs = 350;
/** The first event of a stream is held for no longer than this. */
const maxHoldMs = 100;
/** Knowledge that control has not confirmed for this time may lack a new version. */
const staleMs = 2_500;
/** Interval at which known servers count as still being in service. */
const observeIntervalMs = 1_000;
const maxOwnOrigins = 20_000;
const defaultWindowMs = 20_000;

interface Batch {
    readonly origins: StreamOriginRecord[];
    readonly isSafe: Promise<void>;
}

/** Creates origins of no stream. */
export function createStreamOrigins(host: Host, control: Pick<ControlClient, "callEachMember">): StreamOrigins {
    const log = host.createLogger("streamOrigins");
    const versions = createVersionHistory();
    /** By request id, in the order of recording. */
    const ownOrigins = new Map<string, StreamOrigin>();
    let servers: readonly BackendServerRecord[] = [];
    let confirmedAtMs = -Infinity;
    let windowMs = defaultWindowMs;
    let batch: Batch | undefined;

    return {
        observe(confirmed) {
            servers = confirmed;
            confirmedAtMs = host.clock.nowMs();
            versions.observe(servers, confirmedAtMs);
        },
        start: signal =>
            void runPeriodically(
                host.timers,
                observeIntervalMs,
                signal,
                async () => {
                    if (confirmedAtMs > -Infinity) versions.observe(servers, host.clock.nowMs());
                },
                error => log.error("The versions in service could not be recorded.", { detail: getErrorText(error) }),
            ),
        setWindow(newWindowMs) {
            windowMs = newWindowMs;
        },
        record(requestId, origin) {
            ownOrigins.delete(requestId);
            ownOrigins.set(requestId, origin);
            if (ownOrigins.size > maxOwnOrigins) ownOrigins.delete(ownOrigins.keys().next().value!);
            if (!isSharedId(requestId)) return Promise.resolve();
            if (versions.getOnlyVersionSince(origin.pool, host.clock.nowMs() - windowMs) !== undefined) return Promise.resolve();
            const current = batch ?? startBatch();
            current.origins.push({ requestId, ...origin });
            return current.isSafe;
        },
        async resolve(requestId, pool) {
            const own = requestId === undefined ? undefined : ownOrigins.get(requestId);
            if (own !== undefined) return own;
            const nowMs = host.clock.nowMs();
            const onlyVersion = versions.getOnlyVersionSince(pool, nowMs - windowMs);
            const onlyOrigin = onlyVersion === undefined ? undefined : { pool, softwareVersion: onlyVersion };
            const isFresh = nowMs - confirmedAtMs <= staleMs;
            return onlyOrigin !== undefined && isFresh ? onlyOrigin : askControl(requestId, pool, onlyOrigin);
        },
    };

    function startBatch(): Batch {
        const origins: StreamOriginRecord[] = [];
        batch = { origins, isSafe: sendBatch(origins) };
        return batch;
    }

    async function sendBatch(origins: readonly StreamOriginRecord[]): Promise<void> {
        await sleep(host.timers, batchDelayMs);
        batch = undefined;
        const calls = control.callEachMember(
            (client, signal) => client.recordOrigins.mutate({ origins: [...origins] }, { signal }),
            callTimeoutMs,
        );
        const answers = await waitForMajority(calls, sleep(host.timers, maxHoldMs));
        if (answers * 2 > calls.length) return;
        log.warn("No majority of the control VMs knows where streams began.", { streams: origins.length, answers, members: calls.length });
    }

    async function askControl(
        requestId: string | undefined,
        pool: string,
        onlyOrigin: StreamOrigin | undefined,
    ): Promise<StreamOrigin | undefined> {
        const sharedId = requestId !== undefined && isSharedId(requestId) ? requestId : undefined;
        const calls = control.callEachMember(
            (client, signal) => client.findOrigin.query({ requestId: sharedId, pool, windowMs }, { signal }),
            callTimeoutMs,
        );
        const replies = (await Promise.all(calls)).filter(reply => reply !== undefined);
        const known = replies.find(reply => reply.origin !== undefined)?.origin;
        if (known !== undefined) return known;
        if (replies.length === 0 && onlyOrigin !== undefined) return onlyOrigin;
        // Each recorded stream is known to a majority, so a majority that knows all that time tells that this one was not recorded.
        const witnesses = replies.filter(reply => reply.isWindowKnown);
        const versionsBefore = new Set(witnesses.map(reply => reply.versionBefore));
        const [softwareVersion] = versionsBefore;
        const isTold = witnesses.length * 2 > calls.length && versionsBefore.size === 1 && softwareVersion !== undefined;
        log.info("A stream of unknown origin is taken up again.", {
            requestId,
            pool,
            softwareVersion: isTold ? softwareVersion : undefined,
            replies: replies.length,
            witnesses: witnesses.length,
        });
        return isTold ? { pool, softwareVersion } : undefined;
    }
}

function isSharedId(requestId: string): boolean {
    return requestId !== "" && requestId.length <= maxSharedIdLength;
}

/** Resolves to the number of answers, as soon as a majority has answered, all calls have ended or the time is over. */
function waitForMajority(calls: readonly Promise<unknown>[], timeout: Promise<void>): Promise<number> {
    return new Promise(resolve => {
        let answers = 0;
        let ended = 0;
        void timeout.then(() => resolve(answers));
        for (const call of calls) {
            void call.then(reply => {
                ended++;
                if (reply !== undefined) answers++;
                if (answers * 2 > calls.length || ended === calls.length) resolve(answers);
            });
        }
    });
}
