/** Sample load reports of agents, for benchmarks and tests. */
import type { AgentAnnouncement, LoadReport } from "../src/kernel/messages.js";

const hostsPerSubnet = 250;

/** Announcement of the agent with this index. */
export function createAnnouncement(index: number): AgentAnnouncement {
    return {
        backendServer: `engine-${index}`,
        vm: `agent-vm-${index}`,
        failureDomain: `domain-${index % 8}`,
        incarnation: `agent-incarnation-${index}`,
        address: `10.0.${Math.floor(index / hostsPerSubnet)}.${index % hostsPerSubnet}:7200`,
        kind: "modelEngine",
        pool: "lovage-pool",
        models: ["model-1", "model-2"],
        adapters: [],
        checksFencing: true,
        maxConcurrent: 16,
    };
}

/** A typical report. It leaves out the announcement, which the entry already has. */
export function createReport(index: number, sequence: number): LoadReport {
    return {
        backendServer: `engine-${index}`,
        incarnation: `agent-incarnation-${index}`,
        sequence,
        isLeaving: false,
        isHealthy: true,
        outstandingRequests: index % 12,
        pendingTokens: (index * 37) % 4_000,
        runningRequests: 5,
        queuedRequests: 1,
        tokensPerSecond: 8_000,
        cacheAdded: ["3:1a2b3c4d", "4:5e6f7a8b"],
        cacheRemoved: ["7:9c8d7e6f"],
    };
}

/** The first report of an agent, which carries its announcement. */
export function createFirstReport(index: number): LoadReport {
    return { ...createReport(index, 0), agent: createAnnouncement(index) };
}
