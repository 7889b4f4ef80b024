/**
 * The pool and the software version at which each resumable stream began. Two versions may write different answers, so a stream may go on
 * only where it began, whichever entry it is taken up at.
 *
 * While the route of a stream has led to one pool only, and one version only has served in it, for longer than any caller takes a stream up
 * again, nothing needs to be recorded. Otherwise an entry tells all control VMs where a stream is about to begin, and holds its first event
 * until a majority has answered. Thus a stream without a record began before the second pool or version was there.
 *
 * An entry that knows one pool and version only may have been out of touch while another joined, so it always asks control about a stream that
 * it did not begin itself. Without the answers of a majority the stream is refused.
 */
import { maxSharedIdLength, maxTargetLength } from "../../kernel/contracts.js";
import type { OriginReply, OriginRequest, StreamOriginRecord } from "../../kernel/contracts.js";
import type { ControlClient } from "../../kernel/controlClient.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { Host } from "../../kernel/host.js";
import type { HttpRouteObject } from "../../kernel/objects.js";
import { createRoutedPools } from "../../kernel/routedPools.js";
import type { RequestTarget } from "../../kernel/routedPools.js";
import { getErrorText, runPeriodically, sleep } from "../../kernel/tasks.js";
import { createVersionHistory } from "../../kernel/versionHistory.js";
import { decideOrigin } from "./originDecision.js";
import type { StreamOrigin } from "./originDecision.js";

/** Where a stream may go on. */
export interface StreamContinuation extends StreamOrigin {
    /** Backend servers that control knows to have another version, whatever this entry knows of them. */
    readonly otherServers: ReadonlySet<string>;
}

/** Origins of streams. */
export interface StreamOrigins {
    /** Takes over the records that control has just sent or confirmed. */
    observe(servers: readonly BackendServerRecord[]): void;
    /** Takes over the routes that are in force. Must be called after each change. */
    observeRoutes(routes: readonly HttpRouteObject[]): void;
    start(signal: AbortSignal): void;
    /** Sets the longest time for which a caller may take a stream up again. */
    setWindow(windowMs: number): void;
    /** Records where a stream is about to begin. Resolves once a majority of the control VMs has the record, or after the maximum wait. */
    record(record: StreamOriginRecord, target: RequestTarget): Promise<void>;
    /**
     * Returns where the stream that a request resumes may go on. Undefined if that is not certain. `routedPool` is one of the pools that the
     * request may be sent to now.
     */
    resolve(requestId: string | undefined, target: RequestTarget, routedPool: string): Promise<StreamContinuation | undefined>;
    /** Returns where a stream that this entry began may go on. */
    confirm(origin: StreamOrigin): Promise<StreamContinuation>;
}

/** Origins that are recorded within this time are sent to control together. */
const batchDelayMs = 8;
const callTimeoutMs = 350;
/** Maximum time for which the first event of a stream is held, if a stream without a record is refused when it is taken up. */
const maxHoldMs = 100;
/**
 * Maximum time for which the first event is held, if a stream without a record counts as one from before the last change of pools or
 * versions. It covers a short loss of contact with control.
 */
const maxHoldAfterChangeMs = 2_000;
/** Origins that no majority has confirmed are sent again together, which limits the number of calls while control is out of reach. */
const retryDelayMs = 100;
/** Interval at which known servers count as still being in service. */
const observeIntervalMs = 1_000;
const maxOwnOrigins = 20_000;
const defaultWindowMs = 20_000;

interface PendingOrigin {
    readonly record: StreamOriginRecord;
    /** The record is sent again until this time. */
    readonly untilMs: number;
}

interface Batch {
    readonly origins: PendingOrigin[];
    /** Resolves once a majority of the control VMs knows the origins, or when no more attempts are made. */
    readonly ended: Promise<void>;
}

/** Creates origins of no stream. */
export function createStreamOrigins(host: Host, control: Pick<ControlClient, "callEachMember">): StreamOrigins {
    const log = host.createLogger("streamOrigins");
    const versions = createVersionHistory();
    const pools = createRoutedPools();
    /** By request id, in the order of recording. */
    const ownOrigins = new Map<string, StreamOrigin>();
    let servers: readonly BackendServerRecord[] = [];
    let confirmedAtMs = -Infinity;
    let windowMs = defaultWindowMs;
    let batch: Batch | undefined;
    /** Origins that are sent again next. */
    let retry: Batch | undefined;

    return {
        observe(confirmed) {
            servers = confirmed;
            confirmedAtMs = host.clock.nowMs();
            versions.observe(servers, confirmedAtMs);
        },
        observeRoutes: routes => pools.observe(routes, host.clock.nowMs()),
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
        record(record, target) {
            const { requestId, pool, softwareVersion } = record;
            const replaced = ownOrigins.get(requestId);
            ownOrigins.delete(requestId);
            ownOrigins.set(requestId, { pool, softwareVersion });
            if (ownOrigins.size > maxOwnOrigins) ownOrigins.delete(ownOrigins.keys().next().value!);
            if (!isSharedId(requestId)) return Promise.resolve();
            const nowMs = host.clock.nowMs();
            const sinceMs = nowMs - windowMs;
            const isOnlyPool = pools.getOnlyPoolSince(target, sinceMs) === pool;
            if (isOnlyPool && versions.getOnlyVersionSince(pool, sinceMs) !== undefined) return Promise.resolve();
            const current = batch ?? startBatch();
            const isRefusedUnlessRecorded = !replacesOther(record, replaced) &&
                (pools.hadSeveralSince(target, sinceMs) || versions.hadSeveralSince(pool, sinceMs, nowMs));
            current.origins.push({ record, untilMs: nowMs + maxHoldAfterChangeMs });
            return Promise.race([current.ended, sleep(host.timers, isRefusedUnlessRecorded ? maxHoldMs : maxHoldAfterChangeMs)]);
        },
        async resolve(requestId, target, routedPool) {
            const own = requestId === undefined ? undefined : ownOrigins.get(requestId);
            return own === undefined ? askControl(requestId, target, routedPool) : confirm(own);
        },
        confirm,
    };

    function startBatch(): Batch {
        const origins: PendingOrigin[] = [];
        batch = { origins, ended: sendBatch(origins) };
        return batch;
    }

    async function sendBatch(origins: readonly PendingOrigin[]): Promise<void> {
        await sleep(host.timers, batchDelayMs);
        batch = undefined;
        await sendUntilConfirmed(origins);
    }

    function startRetry(): Batch {
        const origins: PendingOrigin[] = [];
        retry = { origins, ended: sendRetry(origins) };
        return retry;
    }

    async function sendRetry(origins: readonly PendingOrigin[]): Promise<void> {
        await sleep(host.timers, retryDelayMs);
        retry = undefined;
        await sendUntilConfirmed(origins);
    }

    async function sendUntilConfirmed(origins: readonly PendingOrigin[]): Promise<void> {
        const { isConfirmed, answers, members } = await sendOrigins(origins.map(({ record }) => record));
        if (isConfirmed) return;
        log.warn("No majority of the control VMs knows where streams began.", { streams: origins.length, answers, members });
        const remaining = origins.filter(origin => origin.untilMs > host.clock.nowMs());
        if (remaining.length === 0) return;
        const next = retry ?? startRetry();
        next.origins.push(...remaining);
        await next.ended;
    }

    /** Sends origins to all control VMs once. Resolves as soon as a majority has answered, or all calls have ended. */
    async function sendOrigins(
        origins: readonly StreamOriginRecord[],
    ): Promise<{ readonly isConfirmed: boolean; readonly answers: number; readonly members: number; }> {
        const calls = control.callEachMember(
            (client, signal) => client.recordOrigins.mutate({ origins: [...origins] }, { signal }),
            callTimeoutMs,
        );
        let answers = 0;
        const isConfirmed = () => answers * 2 > calls.length;
        await waitForAnswers(calls, () => {
            answers++;
            return isConfirmed();
        });
        return { isConfirmed: isConfirmed(), answers, members: calls.length };
    }

    async function askControl(
        requestId: string | undefined,
        target: RequestTarget,
        routedPool: string,
    ): Promise<StreamContinuation | undefined> {
        const sharedId = requestId !== undefined && isSharedId(requestId) ? requestId : undefined;
        const sinceMs = host.clock.nowMs() - windowMs;
        const presumedPool = pools.getOnlyPoolAt(target, sinceMs);
        const pool = presumedPool ?? routedPool;
        const isOnlyPool = pools.getOnlyPoolSince(target, sinceMs) === pool;
        const onlyVersion = isOnlyPool ? versions.getOnlyVersionSince(pool, sinceMs) : undefined;
        // Control's routes of the past count, because this entry may have started since. Digests of them are of use only if it had the same.
        const isPresumed = (routed: readonly string[] | undefined) => routed?.length === 1 && routed[0] === presumedPool;
        const leadToPool = (routes: string | undefined) =>
            routes === undefined ? isOnlyPool : presumedPool !== undefined && pools.getOnlyPool(target, routes) === presumedPool;
        const beganInPool = ({ targetPools, routesBefore }: OriginReply) =>
            targetPools === undefined ? leadToPool(routesBefore) : isPresumed(targetPools.before);
        const stayedInPool = ({ targetPools, routesSince }: OriginReply) =>
            targetPools === undefined ? (routesSince ?? [undefined]).every(leadToPool) : isPresumed(targetPools.since);
        const decide = (replies: readonly OriginReply[], memberCount: number) =>
            decideOrigin({ replies, memberCount, pool, onlyVersion, beganInPool, stayedInPool });
        const { replies, memberCount } = await findOrigin(
            { requestId: sharedId, pool, target: toSharedTarget(target) },
            (...evidence) => decide(...evidence) !== undefined,
        );
        const origin = decide(replies, memberCount);
        log.info("A stream of unknown origin is taken up again.", {
            requestId,
            pool: origin?.pool ?? pool,
            softwareVersion: origin?.softwareVersion,
            isRecorded: replies.some(reply => reply.origin !== undefined),
            replies: replies.length,
            witnesses: replies.filter(reply => reply.isWindowKnown).length,
            members: memberCount,
            onlyVersion,
            isOnlyPool,
        });
        return origin === undefined ? undefined : createContinuation(origin, replies);
    }

    // An entry that no control VM answers goes on with its own streams by what it knows of the backend servers.
    async function confirm(origin: StreamOrigin): Promise<StreamContinuation> {
        const { replies } = await findOrigin({ pool: origin.pool }, (replies, memberCount) => replies.length * 2 > memberCount);
        return createContinuation(origin, replies);
    }

    /** Asks all control VMs, until the answers are enough or no more come. */
    async function findOrigin(
        question: Omit<OriginRequest, "windowMs">,
        isEnough: (replies: readonly OriginReply[], memberCount: number) => boolean,
    ): Promise<{ readonly replies: readonly OriginReply[]; readonly memberCount: number; }> {
        const calls = control.callEachMember(
            (client, signal) => client.findOrigin.query({ ...question, windowMs }, { signal }),
            callTimeoutMs,
        );
        const replies: OriginReply[] = [];
        await waitForAnswers(calls, reply => {
            replies.push(reply);
            return isEnough(replies, calls.length);
        });
        return { replies: [...replies], memberCount: calls.length };
    }
}

function createContinuation(origin: StreamOrigin, replies: readonly OriginReply[]): StreamContinuation {
    const hasOtherVersion = ([, version]: readonly [string, string]) => version !== origin.softwareVersion;
    const others = replies.flatMap(reply => Object.entries(reply.versionByServer ?? {})).filter(hasOtherVersion);
    return { pool: origin.pool, softwareVersion: origin.softwareVersion, otherServers: new Set(others.map(([server]) => server)) };
}

function replacesOther({ pool, softwareVersion }: StreamOrigin, replaced: StreamOrigin | undefined): boolean {
    return replaced !== undefined && (replaced.pool !== pool || replaced.softwareVersion !== softwareVersion);
}

function isSharedId(requestId: string): boolean {
    return requestId !== "" && requestId.length <= maxSharedIdLength;
}

function toSharedTarget({ host, path }: RequestTarget): RequestTarget | undefined {
    return Math.max(host.length, path.length) <= maxTargetLength ? { host, path } : undefined;
}

/** Resolves once `isEnough` returns true for an answer or all calls have ended. A call that failed has no answer. */
function waitForAnswers<T>(calls: readonly Promise<T | undefined>[], isEnough: (answer: T) => boolean): Promise<void> {
    return new Promise(resolve => {
        let outstanding = calls.length;
        if (outstanding === 0) resolve();
        for (const call of calls) {
            void call.then(answer => {
                outstanding--;
                if ((answer !== undefined && isEnough(answer)) || outstanding === 0) resolve();
            });
        }
    });
}
