/**
 * Choice of a backend server on stale, missing and contradictory reports.
 *
 * A few random candidates and the likely holders of the prompt's prefix are compared by expected time to
 * the first token, in the manner of Mitzenmacher's power of two choices (2001), so that the cost of a
 * choice does not grow with the fleet and entries with the same stale reports do not all choose alike.
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
    /** Takes a report in. False when the backend server's announcement is not known yet. */
    applyReport(report: LoadReport, nowMs: number): boolean;
    /** Chooses a backend server, or undefined when none can take the request. */
    choose(request: RouteRequest, nowMs: number): Choice | undefined;
    /** Counts an attempt until the returned function is called. */
    recordDispatch(choice: Choice, request: RouteRequest, nowMs: number): () => void;
    recordOutcome(backendServer: BackendServerName, health: AttemptHealth, times: AttemptTimes | undefined, nowMs: number): void;
    /** Takes in what an agent holds, as it said with its reply to a dispatch. */
    applyLoad(choice: Choice, load: AgentLoad, nowMs: number): void;
    /** True when some backend server of the pool has room for one more. */
    hasCapacity(pool: string, nowMs: number): boolean;
    getServerCount(): number;
    /** Tells how often reports are asked for, so that a slow pace is not taken for silence. */
    setReportInterval(reportMs: number): void;
    countCandidates(pool: string, nowMs: number): number;
    /** True when a newer incarnation of the backend server is known here. One that only fell silent is not replaced. */
    isReplaced(backendServer: BackendServerName, incarnation: string): boolean;
    getFailureDomain(backendServer: BackendServerName): string | undefined;
}

/** Options of a router. */
export interface RouterOptions {
    readonly policy?: RoutingPolicy;
    readonly sampleSize?: number;
    /** Name of the backend server to take, for comparisons with a choice that sees everything. */
    readonly chooseOverride?: () => BackendServerName | undefined;
}

interface Server {
    candidate: Candidate;
    readonly own: Set<OwnDispatch>;
    meanFirstTokenMs: number;
    /** Mean time that a request takes there, in milliseconds. */
    meanDurationMs: number;
    sequence: number;
}

/** Random candidates that are compared. */
const defaultSampleSize = 6;
/** A report older than this says that the agent is gone. */
const goneAfterMs = 3_000;
/** A report older than this counts for less. */
const staleAfterMs = 1_000;
const slowStartMs = 10_000;
const otherDomainMs = 3;
/** Room that a backend server's own queue may take, relative to what it runs at once. */
const queueFactor = 1.25;
const charsPerToken = 4;
const defaultPrefillTokensPerSecond = 8_000;
const defaultFirstTokenMs = 50;
const defaultDurationMs = 1_000;
const timeGain = 0.1;

type Chooser = (servers: readonly Server[], request: RouteRequest, nowMs: number) => Server | undefined;

/** Creates a router that knows no backend server yet. */
export function createRouter(host: Pick<Host, "random">, options: RouterOptions = {}): Router {
    const byName = new Map<BackendServerName, Server>();
    const pools = new Map<string, Server[]>();
    const prefixes = createPrefixIndex();
    const ejection = createEjection();
    const sampleSize = options.sampleSize ?? defaultSampleSize;
    let turn = 0;
    let paceMs = 0;

    const choosers: Readonly<Record<RoutingPolicy, Chooser>> = {
        expectedCompletion: chooseByExpectation,
        random: servers => pickRandom(servers),
        roundRobin: servers => servers[turn++ % servers.length],
        leastReported: servers => minBy(servers, server => server.candidate.runningRequests + server.candidate.queuedRequests),
        prefixOnly: choosePrefix,
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
            const forced = options.chooseOverride?.();
            const server = forced === undefined ? chooser(usable, request, nowMs) : byName.get(forced);
            if (server === undefined) return undefined;
            const { agent } = server.candidate;
            const holder = prefixes.find(request.prefixHashes, nowMs).find(candidate => candidate.backendServer === agent.backendServer);
            return {
                candidate: server.candidate,
                backendServer: agent.backendServer,
                incarnation: agent.incarnation,
                expectedMs: getExpectedMs(server, request, holder, nowMs),
                averageFirstTokenMs: server.meanFirstTokenMs,
                prefillTokens: getPrefillTokens(request, holder),
            };
        },
        recordDispatch(choice, request, nowMs) {
            const server = byName.get(choice.backendServer);
            const own: OwnDispatch = { sentAtMs: nowMs, prefillTokens: choice.prefillTokens };
            server?.own.add(own);
            // The prefix will be warm there, whatever the cache events say later.
            prefixes.add(choice.backendServer, request.prefixHashes, nowMs);
            return () => void server?.own.delete(own);
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
            server.meanFirstTokenMs += (times.firstTokenMs - server.meanFirstTokenMs) * timeGain;
            server.meanDurationMs += (times.durationMs - server.meanDurationMs) * timeGain;
        },
        hasCapacity(pool, nowMs) {
            const servers = pools.get(pool) ?? [];
            if (servers.length <= sampleSize) return servers.some(server => isPresent(server, nowMs) && isRoomy(server));
            return sample(servers).some(server => isPresent(server, nowMs) && isRoomy(server));
        },
        getServerCount: () => byName.size,
        setReportInterval(reportMs) {
            paceMs = reportMs;
        },
        countCandidates: (pool, nowMs) => (pools.get(pool) ?? []).filter(server => isPresent(server, nowMs)).length,
        isReplaced: (backendServer, incarnation) => (byName.get(backendServer)?.candidate.agent.incarnation ?? incarnation) !== incarnation,
        getFailureDomain: backendServer => byName.get(backendServer)?.candidate.agent.failureDomain,
    };

    function applyReport(report: LoadReport, nowMs: number): boolean {
        const known = byName.get(report.backendServer);
        const isSame = known?.candidate.agent.incarnation === report.incarnation;
        const agent = report.agent ?? (isSame ? known?.candidate.agent : undefined);
        if (agent === undefined) return false;
        if (known !== undefined && isSame && report.sequence < known.sequence) return true;
        if (known !== undefined && !isSame) {
            // A restart: its cache is cold, and its failures are behind it.
            prefixes.forget(agent.backendServer);
            ejection.forget(agent.backendServer);
        }
        const candidate: Candidate = {
            agent,
            isLeaving: report.isLeaving,
            isHealthy: report.isHealthy,
            joinedAtMs: isSame ? known!.candidate.joinedAtMs : nowMs,
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
        dropGone(agent.pool, nowMs);
        return true;
    }

    function addServer(candidate: Candidate, sequence: number): void {
        const { backendServer, pool } = candidate.agent;
        removeServer(backendServer);
        const server: Server = {
            candidate,
            own: new Set(),
            meanFirstTokenMs: defaultFirstTokenMs,
            meanDurationMs: defaultDurationMs,
            sequence,
        };
        byName.set(backendServer, server);
        pools.set(pool, [...pools.get(pool) ?? [], server]);
        ejection.setFleetSize(byName.size);
    }

    function removeServer(backendServer: BackendServerName): void {
        const server = byName.get(backendServer);
        if (server === undefined) return;
        byName.delete(backendServer);
        const { pool } = server.candidate.agent;
        pools.set(pool, (pools.get(pool) ?? []).filter(other => other !== server));
        ejection.setFleetSize(byName.size);
    }

    // A backend server that has said nothing for long is dropped from the lists, so that they stay short.
    function dropGone(pool: string, nowMs: number): void {
        const servers = pools.get(pool) ?? [];
        const oldest = servers[Math.floor(host.random.nextFloat() * servers.length)];
        if (oldest !== undefined && nowMs - oldest.candidate.reportedAtMs > goneAfterMs * 10) {
            removeServer(oldest.candidate.agent.backendServer);
        }
    }

    function isPresent(server: Server, nowMs: number): boolean {
        const { candidate } = server;
        return !candidate.isLeaving && candidate.isHealthy && nowMs - candidate.reportedAtMs < goneAfterMs + paceMs;
    }

    function isRoomy(server: Server): boolean {
        return getOutstanding(server) < server.candidate.agent.maxConcurrent * queueFactor;
    }

    function isUsable(server: Server, request: RouteRequest, nowMs: number): boolean {
        const { agent } = server.candidate;
        if (!isPresent(server, nowMs) || request.excluded.has(agent.backendServer)) return false;
        if (request.model !== undefined && !agent.models.includes(request.model)) return false;
        if (ejection.isOnProbation(agent.backendServer) && server.own.size > 0) return false;
        return !ejection.isEjected(agent.backendServer, nowMs);
    }

    // Requests there: those of the report, and this entry's own since the moment that the report tells of.
    function getOutstanding(server: Server): number {
        const { candidate } = server;
        let sinceReport = 0;
        for (const own of server.own) {
            if (own.sentAtMs > candidate.loadAtMs) sinceReport++;
        }
        return Math.max(server.own.size, candidate.outstandingRequests + sinceReport);
    }

    function getPendingTokens(server: Server): number {
        let tokens = server.candidate.pendingTokens;
        for (const own of server.own) {
            if (own.sentAtMs > server.candidate.loadAtMs) tokens += own.prefillTokens;
        }
        return tokens;
    }

    function getExpectedMs(server: Server, request: RouteRequest, holder: PrefixHolder | undefined, nowMs: number): number {
        const { candidate } = server;
        const prefillTokensPerMs = (candidate.tokensPerSecond || defaultPrefillTokensPerSecond) / 1_000;
        const prefillMs = (getPendingTokens(server) + getPrefillTokens(request, holder)) / prefillTokensPerMs;
        // Those beyond what runs at once wait for one of them to finish.
        const waiting = Math.max(0, getOutstanding(server) + 1 - candidate.agent.maxConcurrent);
        const waitMs = waiting * server.meanDurationMs / candidate.agent.maxConcurrent;
        const loadShare = getOutstanding(server) / candidate.agent.maxConcurrent;
        const distanceMs = candidate.agent.failureDomain === request.failureDomain ? 0 : otherDomainMs;
        const staleMs = Math.max(0, nowMs - candidate.reportedAtMs - staleAfterMs - paceMs);
        return (prefillMs + waitMs + defaultFirstTokenMs * loadShare) * getSlowStartFactor(candidate, nowMs) + distanceMs + staleMs;
    }

    // A newcomer takes its full share only after a while, so that a repair does not draw everyone at once.
    function getSlowStartFactor(candidate: Candidate, nowMs: number): number {
        const share = Math.min(1, Math.max(0.1, (nowMs - candidate.joinedAtMs) / slowStartMs));
        return 1 / Math.sqrt(share);
    }

    function chooseByExpectation(servers: readonly Server[], request: RouteRequest, nowMs: number): Server | undefined {
        const holders = prefixes.find(request.prefixHashes, nowMs);
        const compared = new Map<Server, PrefixHolder | undefined>(sample(servers).map(server => [server, undefined]));
        for (const holder of holders) {
            const server = byName.get(holder.backendServer);
            if (server !== undefined && server.candidate.agent.pool === request.pool) compared.set(server, holder);
        }
        const usable = [...compared.keys()].filter(server => isUsable(server, request, nowMs));
        // The sample may have missed the few that are usable.
        const candidates = usable.length > 0 ? usable : servers.filter(server => isUsable(server, request, nowMs));
        return minBy(candidates, server => getExpectedMs(server, request, compared.get(server), nowMs));
    }

    function choosePrefix(servers: readonly Server[], request: RouteRequest): Server | undefined {
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
