/**
 * Chooses a backend server from load reports that may be stale, missing or contradictory.
 *
 * Compares a few random candidates and the likely holders of the prompt's prefix by expected time to the first token, after
 * Mitzenmacher's power of two choices (2001). The cost of a choice therefore does not grow with the fleet, and entries with the
 * same stale reports do not all choose the same server.
 */
import type { Host } from "../../kernel/host.js";
import type { AgentLoad, LoadReport } from "../../kernel/messages.js";
import { prefixBlockChars } from "../../kernel/prefix.js";
import type { BackendServerName } from "../../kernel/types.js";
import { createEjection } from "./ejection.js";
import type { AttemptHealth } from "./ejection.js";
import { createPrefixIndex } from "./prefixIndex.js";
import type { PrefixHolder } from "./prefixIndex.js";
import type { AttemptTimes, Candidate, Choice, OwnDispatch, RouteRequest, RoutingPolicy } from "./types.js";

/** The router of one entry. */
export interface Router {
    /** Processes a load report. Returns false when the backend server's announcement is not known yet. */
    applyReport(report: LoadReport, nowMs: number): boolean;
    /** Chooses a backend server. Undefined when none can accept the request. */
    choose(request: RouteRequest, nowMs: number): Choice | undefined;
    /** Counts an attempt as in flight until the returned function is called. */
    recordDispatch(choice: Choice, request: RouteRequest, nowMs: number): () => void;
    recordOutcome(backendServer: BackendServerName, health: AttemptHealth, times: AttemptTimes | undefined, nowMs: number): void;
    /** Updates a backend server's load from its agent's reply to a dispatch. */
    applyLoad(choice: Choice, load: AgentLoad, nowMs: number): void;
    /** True when some backend server of the pool can accept one more request. */
    hasCapacity(pool: string, nowMs: number): boolean;
    /** True when the pool has backend servers, and all are in failure domains that are being evacuated. */
    isPoolEvacuated(pool: string): boolean;
    getServerCount(): number;
    /** Sets the interval at which reports are requested, so that a long interval is not mistaken for missing reports. */
    setReportInterval(reportMs: number): void;
    countCandidates(pool: string, nowMs: number): number;
    /** True when another incarnation of the backend server is known. A server that only stopped reporting is not replaced. */
    isReplaced(backendServer: BackendServerName, incarnation: string): boolean;
    getFailureDomain(backendServer: BackendServerName): string | undefined;
}

/** Options of a router. */
export interface RouterOptions {
    readonly policy?: RoutingPolicy;
    readonly sampleSize?: number;
    /** Returns the backend server to choose instead, to compare the policy with a choice based on complete information. */
    readonly chooseOverride?: () => BackendServerName | undefined;
    /** True for failure domains whose backend servers get no requests. None by default. */
    readonly isEvacuated?: (failureDomain: string) => boolean;
}

interface Server {
    candidate: Candidate;
    readonly ownDispatches: Set<OwnDispatch>;
    meanFirstTokenMs: number;
    /** Exponentially weighted mean duration of a request, in milliseconds. */
    meanDurationMs: number;
    sequence: number;
}

/** Number of random candidates that are compared. */
const defaultSampleSize = 6;
/** Age of the last report beyond which the agent is treated as absent. */
const absentAfterMs = 3_000;
/** Age of the last report beyond which the excess is added to the expected time. */
const staleAfterMs = 1_000;
const slowStartMs = 10_000;
/** Added to the expected time of a backend server in another failure domain. */
const crossDomainMs = 3;
/** Maximum requests at a backend server, running and queued, relative to its maximum concurrency. */
const queueFactor = 1.25;
const charsPerToken = 4;
const defaultPrefillTokensPerSecond = 8_000;
const defaultFirstTokenMs = 50;
const defaultDurationMs = 1_000;
/** Weight of a new observation in the mean times. */
const meanTimeGain = 0.1;

type Chooser = (servers: readonly Server[], request: RouteRequest, nowMs: number) => Server | undefined;

/** Creates a router that knows no backend server yet. */
export function createRouter(host: Pick<Host, "random">, options: RouterOptions = {}): Router {
    const byName = new Map<BackendServerName, Server>();
    const pools = new Map<string, Server[]>();
    const prefixes = createPrefixIndex();
    const ejection = createEjection();
    const sampleSize = options.sampleSize ?? defaultSampleSize;
    const isEvacuated = (server: Server) => options.isEvacuated?.(server.candidate.agent.failureDomain) ?? false;
    let roundRobinIndex = 0;
    let reportIntervalMs = 0;

    const choosers: Readonly<Record<RoutingPolicy, Chooser>> = {
        expectedCompletion: chooseByExpectedTime,
        random: servers => pickRandom(servers),
        roundRobin: servers => servers[roundRobinIndex++ % servers.length],
        leastReported: servers => minBy(servers, server => server.candidate.runningRequests + server.candidate.queuedRequests),
        prefixOnly: chooseByPrefix,
    };
    const chooser = choosers[options.policy ?? "expectedCompletion"];

    return {
        applyReport,
        choose(request, nowMs) {
            const servers = pools.get(request.pool) ?? [];
            const usable = options.policy === undefined || options.policy === "expectedCompletion"
                ? servers
                : servers.filter(server => isUsable(server, request, nowMs));
            if (usable.length === 0) return undefined;
            const override = options.chooseOverride?.();
            const server = override === undefined ? chooser(usable, request, nowMs) : byName.get(override);
            if (server === undefined) return undefined;
            const { agent } = server.candidate;
            const holder = prefixes.find(request.prefixHashes, nowMs).find(candidate => candidate.backendServer === agent.backendServer);
            return {
                candidate: server.candidate,
                backendServer: agent.backendServer,
                incarnation: agent.incarnation,
                expectedFirstTokenMs: getExpectedFirstTokenMs(server, request, holder, nowMs),
                meanFirstTokenMs: server.meanFirstTokenMs,
                prefillTokens: getPrefillTokens(request, holder),
            };
        },
        recordDispatch(choice, request, nowMs) {
            const server = byName.get(choice.backendServer);
            const dispatch: OwnDispatch = { sentAtMs: nowMs, prefillTokens: choice.prefillTokens };
            server?.ownDispatches.add(dispatch);
            // The prefix will be cached there after this request, so it is added before a cache event confirms it.
            prefixes.add(choice.backendServer, request.prefixHashes, nowMs);
            return () => void server?.ownDispatches.delete(dispatch);
        },
        applyLoad(choice, load, nowMs) {
            const server = byName.get(choice.backendServer);
            if (server?.candidate.agent.incarnation !== choice.incarnation) return;
            server.candidate = { ...server.candidate, ...load, loadAtMs: nowMs };
        },
        recordOutcome(backendServer, health, times, nowMs) {
            ejection.record(backendServer, health, nowMs);
            const server = byName.get(backendServer);
            if (server === undefined || times === undefined) return;
            server.meanFirstTokenMs += (times.firstTokenMs - server.meanFirstTokenMs) * meanTimeGain;
            server.meanDurationMs += (times.durationMs - server.meanDurationMs) * meanTimeGain;
        },
        hasCapacity(pool, nowMs) {
            const servers = pools.get(pool) ?? [];
            if (servers.length <= sampleSize) return servers.some(server => isPresent(server, nowMs) && hasQueueCapacity(server));
            return sample(servers).some(server => isPresent(server, nowMs) && hasQueueCapacity(server));
        },
        isPoolEvacuated(pool) {
            const servers = pools.get(pool) ?? [];
            return servers.length > 0 && servers.every(isEvacuated);
        },
        getServerCount: () => byName.size,
        setReportInterval(reportMs) {
            reportIntervalMs = reportMs;
        },
        countCandidates: (pool, nowMs) => (pools.get(pool) ?? []).filter(server => isPresent(server, nowMs)).length,
        isReplaced: (backendServer, incarnation) => (byName.get(backendServer)?.candidate.agent.incarnation ?? incarnation) !== incarnation,
        getFailureDomain: backendServer => byName.get(backendServer)?.candidate.agent.failureDomain,
    };

    function applyReport(report: LoadReport, nowMs: number): boolean {
        const known = byName.get(report.backendServer);
        const isSameIncarnation = known?.candidate.agent.incarnation === report.incarnation;
        const agent = report.agent ?? (isSameIncarnation ? known?.candidate.agent : undefined);
        if (agent === undefined) return false;
        if (known !== undefined && isSameIncarnation && report.sequence < known.sequence) return true;
        if (known !== undefined && !isSameIncarnation) {
            // After a restart the cache is empty, and failures of the earlier incarnation no longer count.
            prefixes.removeServer(agent.backendServer);
            ejection.removeServer(agent.backendServer);
        }
        const candidate: Candidate = {
            agent,
            isLeaving: report.isLeaving,
            isHealthy: report.isHealthy,
            joinedAtMs: isSameIncarnation ? known!.candidate.joinedAtMs : nowMs,
            reportedAtMs: nowMs,
            loadAtMs: nowMs,
            outstandingRequests: report.outstandingRequests,
            pendingTokens: report.pendingTokens,
            runningRequests: report.runningRequests,
            queuedRequests: report.queuedRequests,
            tokensPerSecond: report.tokensPerSecond,
        };
        if (known === undefined || known.candidate.agent.pool !== agent.pool) addServer(candidate, report.sequence);
        else {
            known.candidate = candidate;
            known.sequence = report.sequence;
        }
        prefixes.remove(agent.backendServer, report.cacheRemoved);
        prefixes.add(agent.backendServer, report.cacheAdded, nowMs);
        dropAbsent(agent.pool, nowMs);
        return true;
    }

    function addServer(candidate: Candidate, sequence: number): void {
        const { backendServer, pool } = candidate.agent;
        removeServer(backendServer);
        const server: Server = {
            candidate,
            ownDispatches: new Set(),
            meanFirstTokenMs: defaultFirstTokenMs,
            meanDurationMs: defaultDurationMs,
            sequence,
        };
        byName.set(backendServer, server);
        pools.set(pool, [...pools.get(pool) ?? [], server]);
        ejection.setServerCount(byName.size);
    }

    function removeServer(backendServer: BackendServerName): void {
        const server = byName.get(backendServer);
        if (server === undefined) return;
        byName.delete(backendServer);
        const { pool } = server.candidate.agent;
        pools.set(pool, (pools.get(pool) ?? []).filter(other => other !== server));
        ejection.setServerCount(byName.size);
    }

    // Checks one random server per report and removes it when it has not reported for a long time, so that the lists stay short.
    function dropAbsent(pool: string, nowMs: number): void {
        const servers = pools.get(pool) ?? [];
        const sampled = servers[Math.floor(host.random.nextFloat() * servers.length)];
        if (sampled !== undefined && nowMs - sampled.candidate.reportedAtMs > absentAfterMs * 10) {
            removeServer(sampled.candidate.agent.backendServer);
        }
    }

    function isPresent(server: Server, nowMs: number): boolean {
        const { candidate } = server;
        return !isEvacuated(server) && !candidate.isLeaving && candidate.isHealthy &&
            nowMs - candidate.reportedAtMs < absentAfterMs + reportIntervalMs;
    }

    function hasQueueCapacity(server: Server): boolean {
        return getOutstanding(server) < server.candidate.agent.maxConcurrent * queueFactor;
    }

    function isUsable(server: Server, request: RouteRequest, nowMs: number): boolean {
        const { agent } = server.candidate;
        if (!isPresent(server, nowMs) || request.excluded.has(agent.backendServer)) return false;
        if (request.model !== undefined && !agent.models.includes(request.model)) return false;
        if (ejection.isOnProbation(agent.backendServer) && server.ownDispatches.size > 0) return false;
        return !ejection.isEjected(agent.backendServer, nowMs);
    }

    // Requests at the server: those that were reported, plus this entry's own dispatches since then.
    function getOutstanding(server: Server): number {
        const { candidate } = server;
        let sinceReport = 0;
        for (const dispatch of server.ownDispatches) {
            if (dispatch.sentAtMs > candidate.loadAtMs) sinceReport++;
        }
        return Math.max(server.ownDispatches.size, candidate.outstandingRequests + sinceReport);
    }

    function getPendingTokens(server: Server): number {
        let tokens = server.candidate.pendingTokens;
        for (const dispatch of server.ownDispatches) {
            if (dispatch.sentAtMs > server.candidate.loadAtMs) tokens += dispatch.prefillTokens;
        }
        return tokens;
    }

    function getExpectedFirstTokenMs(server: Server, request: RouteRequest, holder: PrefixHolder | undefined, nowMs: number): number {
        const { candidate } = server;
        const prefillTokensPerMs = (candidate.tokensPerSecond || defaultPrefillTokensPerSecond) / 1_000;
        const prefillMs = (getPendingTokens(server) + getPrefillTokens(request, holder)) / prefillTokensPerMs;
        // Requests beyond the maximum concurrency wait until another one finishes.
        const waiting = Math.max(0, getOutstanding(server) + 1 - candidate.agent.maxConcurrent);
        const waitMs = waiting * server.meanDurationMs / candidate.agent.maxConcurrent;
        const loadShare = getOutstanding(server) / candidate.agent.maxConcurrent;
        const domainPenaltyMs = candidate.agent.failureDomain === request.failureDomain ? 0 : crossDomainMs;
        const staleMs = Math.max(0, nowMs - candidate.reportedAtMs - staleAfterMs - reportIntervalMs);
        return (prefillMs + waitMs + defaultFirstTokenMs * loadShare) * getSlowStartFactor(candidate, nowMs) + domainPenaltyMs + staleMs;
    }

    // Slow start: a server that joined recently receives less than its full share, so that it is not overloaded when it returns.
    function getSlowStartFactor(candidate: Candidate, nowMs: number): number {
        const share = Math.min(1, Math.max(0.1, (nowMs - candidate.joinedAtMs) / slowStartMs));
        return 1 / Math.sqrt(share);
    }

    function chooseByExpectedTime(servers: readonly Server[], request: RouteRequest, nowMs: number): Server | undefined {
        const holders = prefixes.find(request.prefixHashes, nowMs);
        const compared = new Map<Server, PrefixHolder | undefined>(sample(servers).map(server => [server, undefined]));
        for (const holder of holders) {
            const server = byName.get(holder.backendServer);
            if (server !== undefined && server.candidate.agent.pool === request.pool) compared.set(server, holder);
        }
        const usable = [...compared.keys()].filter(server => isUsable(server, request, nowMs));
        // Falls back to all servers when none of the compared ones is usable.
        const candidates = usable.length > 0 ? usable : servers.filter(server => isUsable(server, request, nowMs));
        return minBy(candidates, server => getExpectedFirstTokenMs(server, request, compared.get(server), nowMs));
    }

    function chooseByPrefix(servers: readonly Server[], request: RouteRequest): Server | undefined {
        const hash = request.prefixHashes[0];
        if (hash === undefined) return pickRandom(servers);
        return servers[Number.parseInt(hash.slice(2), 16) % servers.length];
    }

    function pickRandom(servers: readonly Server[]): Server | undefined {
        return servers[Math.floor(host.random.nextFloat() * servers.length)];
    }

    function sample(servers: readonly Server[]): readonly Server[] {
        if (servers.length <= sampleSize) return servers;
        const picked = new Set<Server>();
        while (picked.size < sampleSize) picked.add(pickRandom(servers)!);
        return [...picked];
    }
}

function getPrefillTokens(request: RouteRequest, holder: PrefixHolder | undefined): number {
    const cachedTokens = holder === undefined ? 0 : holder.blocks * prefixBlockChars / charsPerToken * holder.confidence;
    return Math.max(0, request.promptTokens - cachedTokens);
}

function minBy<T>(items: readonly T[], getCost: (item: T) => number): T | undefined {
    let best: T | undefined;
    let bestCost = Infinity;
    for (const item of items) {
        const cost = getCost(item);
        if (cost >= bestCost) continue;
        best = item;
        bestCost = cost;
    }
    return best;
}
