/** Computes the tables of the capacity page from the measured costs per unit (`Slopes`). */
import type { Slopes } from "./slopes.js";

/** Size of the deployment for which the tables are computed. */
export const targetSizes = {
    nodes: 940,
    backendServers: 4_600,
    requestsPerSecond: 37_000,
    budgets: 11_000,
    clientAccounts: 8_900,
    changesPerDay: 10_000,
    controlVms: 13,
    vmLossesPerDay: 46,
    vmRestartsPerDay: 1_100,
} as const;

/** Limits for the coordination work of an entry or an agent on its node: leases, claims, reports, heartbeats and configuration. */
const limits = { cpuShare: 0.041, memoryBytes: 256e6, bytesPerSecond: 20e3 } as const;

/** Inputs that the benchmarks do not measure. The page states each of them. */
const assumptions = {
    /** Share of requests with an idempotency key. */
    idempotencyKeyShare: 0.3,
    /** Groups of three voters each on 12 of the 13 control VMs. The remaining VM is a spare. */
    controlGroups: 4,
    claimRetentionS: 900,
    /** Budgets for which the entry on a node holds a lease at the same time. */
    activeBudgetsPerNode: 60,
    renewalIntervalS: 10,
    /** Entries to which each agent reports. */
    reportFanOut: 12,
    heartbeatIntervalS: 2,
    watchIntervalS: 10,
    /** An entry asks its agents for a report interval of 50 ms for each agent beyond 16, and of at least 0.1 s. */
    minReportIntervalS: 0.1,
    intervalAgentOffset: 16,
    reportSpacingS: 0.05,
    objectsPerChange: 3,
} as const;

const beginMarker = "<!-- slopes: begin -->";
const endMarker = "<!-- slopes: end -->";
const microsPerSecond = 1e6;
const secondsPerDay = 86_400;
/** Headers of a request and its response. */
const httpOverheadBytes = 400;

interface Row {
    readonly role: string;
    readonly activity: string;
    readonly rate: string;
    readonly cpuShare: number;
    readonly bytesPerSecond: number;
    readonly memoryBytes: number;
}

/** Replaces the text between the two markers of the page by the tables. */
export function replaceCapacityTables(page: string, slopes: Slopes): string {
    const before = page.slice(0, page.indexOf(beginMarker) + beginMarker.length);
    const after = page.slice(page.indexOf(endMarker));
    return `${before}\n${renderSlopes(slopes)}\n${renderRoles(slopes)}\n${after}`;
}

function renderSlopes(slopes: Slopes): string {
    const rows = Object.entries(slopes).flatMap(([name, value]) => {
        if (typeof value === "number") return [`| \`${name}\` | ${formatNumber(value)} | | one size |`];
        if (!("slope" in value)) {
            return Object.entries(value as object).map(([part, cost]) =>
                `| \`${name}.${part}\` | ${formatNumber(Number(cost))} | | one size |`
            );
        }
        const fit = value as Slopes["routeCpuMicros"];
        const sizes = fit.points.map(([size]) => size.toLocaleString("en-US")).join(", ");
        return [
            `| \`${name}\` | ${formatNumber(fit.slope)} | ${formatNumber(fit.intercept)} | ${sizes}; worst error ${
                (fit.worstError * 100).toFixed(1)
            }% |`,
        ];
    });
    return `### Slopes\n\n| slope | per unit | fixed part | sizes and fit |\n| --- | ---: | ---: | --- |\n${rows.join("\n")}\n`;
}

function renderRoles(slopes: Slopes): string {
    const rows = [...createEntryRows(slopes), ...createAgentRows(slopes), ...createControlRows(slopes)];
    const roles = [...new Set(rows.map(row => row.role))];
    const lines = roles.flatMap(role => {
        const roleRows = rows.filter(row => row.role === role);
        const sum = (select: (row: Row) => number) => roleRows.reduce((total, row) => total + select(row), 0);
        const total: Row = {
            role,
            activity: "**together**",
            rate: "",
            cpuShare: sum(row => row.cpuShare),
            bytesPerSecond: sum(row => row.bytesPerSecond),
            memoryBytes: sum(row => row.memoryBytes),
        };
        return [...roleRows, total].map(renderRow);
    });
    return `### Roles at the size of two years\n\n| role | what | rate or count | core | KB/s | MB |\n| --- | --- | --- | ---: | ---: | ---: |\n${
        lines.join("\n")
    }\n\n${renderLimitChecks(rows)}`;
}

function renderRow(row: Row): string {
    const cells = [
        row.role,
        row.activity,
        row.rate,
        `${(row.cpuShare * 100).toFixed(2)}%`,
        (row.bytesPerSecond / 1e3).toFixed(1),
        (row.memoryBytes / 1e6).toFixed(1),
    ];
    return `| ${cells.join(" | ")} |`;
}

function renderLimitChecks(rows: readonly Row[]): string {
    const summaryLines = ["entry", "agent"].map(role => {
        const roleRows = rows.filter(row => row.role === role);
        const sum = (select: (row: Row) => number) => roleRows.reduce((total, row) => total + select(row), 0);
        const checks = [
            ["core", sum(row => row.cpuShare), limits.cpuShare],
            ["memory", sum(row => row.memoryBytes), limits.memoryBytes],
            ["bytes a second", sum(row => row.bytesPerSecond), limits.bytesPerSecond],
        ] as const;
        const parts = checks.map(([name, value, limit]) =>
            `${name} ${value <= limit ? "within" : "**over**"} the limit (${(value / limit * 100).toFixed(0)}% of it)`
        );
        return `- ${role}: ${parts.join(", ")}.`;
    });
    return `Against the limits for control at a node (4.1% of a core, 256 MB, 20 KB/s):\n\n${summaryLines.join("\n")}\n`;
}

function createEntryRows(slopes: Slopes): readonly Row[] {
    const { nodes, backendServers, requestsPerSecond } = targetSizes;
    const requestsPerNode = requestsPerSecond / nodes;
    const reportingAgents = backendServers * assumptions.reportFanOut / nodes;
    const reportsPerSecond = reportingAgents / getReportIntervalS(reportingAgents);
    const renewalBytes = assumptions.activeBudgetsPerNode * slopes.leaseRenewalBytes.slope + httpOverheadBytes;
    const claimCalls = requestsPerNode * assumptions.idempotencyKeyShare * 2;
    return [
        {
            role: "entry",
            activity: "lease renewals",
            rate: `${assumptions.activeBudgetsPerNode} leases every ${assumptions.renewalIntervalS} s`,
            cpuShare: (assumptions.activeBudgetsPerNode * slopes.leaseRenewalCpuMicros.slope + slopes.calls.unbatchedCpuMicros / 2) /
                assumptions.renewalIntervalS / microsPerSecond,
            bytesPerSecond: renewalBytes / assumptions.renewalIntervalS,
            memoryBytes: assumptions.activeBudgetsPerNode * slopes.leaseHeapBytes.slope,
        },
        {
            role: "entry",
            activity: "claims of keyed requests",
            rate: `${claimCalls.toFixed(1)} calls/s`,
            cpuShare: claimCalls * slopes.calls.batchedCpuMicros / 2 / microsPerSecond,
            bytesPerSecond: claimCalls * slopes.claimBytes,
            memoryBytes: 0,
        },
        {
            role: "entry",
            activity: "load and cache reports",
            rate: `${reportsPerSecond.toFixed(0)}/s from ${reportingAgents.toFixed(0)} agents`,
            cpuShare: reportsPerSecond * (slopes.calls.batchedCpuMicros / 2 + slopes.reportCpuMicros.slope) / microsPerSecond,
            bytesPerSecond: reportsPerSecond * slopes.reportBytes,
            memoryBytes: reportingAgents * slopes.routeHeapBytes.slope,
        },
        createConfigurationRow("entry", slopes),
    ];
}

/** Time between two reports of an agent to the same entry. */
function getReportIntervalS(reportingAgents: number): number {
    return Math.max(assumptions.minReportIntervalS, (reportingAgents - assumptions.intervalAgentOffset) * assumptions.reportSpacingS);
}

// A change is sent as a delta. The receiver applies it and checks the digest of the whole object set.
function createConfigurationRow(role: string, slopes: Slopes, receiverCount = 1): Row {
    const objectCount = targetSizes.budgets + targetSizes.clientAccounts;
    const changesPerSecond = targetSizes.changesPerDay / secondsPerDay;
    const deltaBytes = assumptions.objectsPerChange * slopes.objectBytes.slope + httpOverheadBytes;
    return {
        role,
        activity: "configuration: deltas, checked by the set's digest",
        rate: `${changesPerSecond.toFixed(2)} changes/s to ${objectCount.toLocaleString("en-US")} objects`,
        cpuShare: changesPerSecond * (objectCount * slopes.setDigestCpuMicros.slope + receiverCount * slopes.calls.batchedCpuMicros) /
            microsPerSecond,
        bytesPerSecond: changesPerSecond * deltaBytes * receiverCount,
        memoryBytes: objectCount * slopes.objectBytes.slope * 3,
    };
}

function createAgentRows(slopes: Slopes): readonly Row[] {
    const { backendServers, nodes, requestsPerSecond } = targetSizes;
    const requestsPerAgent = requestsPerSecond / backendServers;
    const reportingAgents = backendServers * assumptions.reportFanOut / nodes;
    const reportsPerSecond = assumptions.reportFanOut / getReportIntervalS(reportingAgents);
    return [
        {
            role: "agent",
            activity: "load and cache reports",
            rate: `${reportsPerSecond.toFixed(1)}/s to ${assumptions.reportFanOut} entries`,
            cpuShare: reportsPerSecond * slopes.calls.unbatchedCpuMicros / 2 / microsPerSecond,
            bytesPerSecond: reportsPerSecond * (slopes.reportBytes + httpOverheadBytes),
            memoryBytes: 0,
        },
        {
            role: "agent",
            activity: "heartbeats to control",
            rate: `every ${assumptions.heartbeatIntervalS} s`,
            cpuShare: slopes.calls.unbatchedCpuMicros / 2 / assumptions.heartbeatIntervalS / microsPerSecond,
            bytesPerSecond: (httpOverheadBytes + heartbeatBytes) / assumptions.heartbeatIntervalS,
            memoryBytes: 0,
        },
        {
            role: "agent",
            activity: "lease counters and held answers",
            rate: `${requestsPerAgent.toFixed(1)} requests/s, answers held 10 min with a key and 30 s without`,
            cpuShare: 0,
            bytesPerSecond: 0,
            memoryBytes: 2_000 * slopes.counterHeapBytes.slope
                + requestsPerAgent * (assumptions.idempotencyKeyShare * 600 + (1 - assumptions.idempotencyKeyShare) * 30) *
                    slopes.heldStreamHeapBytes.slope,
        },
    ];
}

const heartbeatBytes = 2_400;

function createControlRows(slopes: Slopes): readonly Row[] {
    const { nodes, requestsPerSecond, budgets, backendServers } = targetSizes;
    const groupCount = assumptions.controlGroups;
    const role = `control VM (leader, 1 of ${groupCount} groups)`;
    const renewalCallsPerSecond = nodes / assumptions.renewalIntervalS / groupCount * groupCount;
    const leasesPerSecond = nodes * assumptions.activeBudgetsPerNode / assumptions.renewalIntervalS / groupCount;
    const claimsPerSecond = requestsPerSecond * assumptions.idempotencyKeyShare / groupCount;
    const retainedClaims = claimsPerSecond * assumptions.claimRetentionS;
    return [
        {
            role,
            activity: "lease renewals",
            rate: `${leasesPerSecond.toFixed(0)} leases/s in ${(renewalCallsPerSecond / groupCount * groupCount / 1).toFixed(0)} calls/s`,
            cpuShare: (leasesPerSecond * slopes.leaseRenewalCpuMicros.slope + renewalCallsPerSecond * slopes.calls.batchedCpuMicros / 2) /
                microsPerSecond,
            bytesPerSecond: leasesPerSecond * slopes.leaseRenewalBytes.slope * 3,
            memoryBytes: budgets / groupCount * slopes.budgetHeapBytes.slope +
                nodes * assumptions.activeBudgetsPerNode / groupCount * slopes.leaseHeapBytes.slope,
        },
        {
            role,
            activity: "claims: open and finish",
            rate: `${(claimsPerSecond * 2).toFixed(0)} commands/s, ${(retainedClaims / 1e6).toFixed(1)} million held`,
            cpuShare: claimsPerSecond * (slopes.claimCpuMicros.slope + slopes.calls.batchedCpuMicros) / microsPerSecond,
            bytesPerSecond: claimsPerSecond * 2 * slopes.claimBytes * 3,
            memoryBytes: retainedClaims * slopes.claimHeapBytes.slope,
        },
        {
            role,
            activity: "agents' heartbeats",
            rate: `${(backendServers / assumptions.heartbeatIntervalS / groupCount).toFixed(0)}/s`,
            cpuShare: backendServers / assumptions.heartbeatIntervalS / groupCount * slopes.calls.batchedCpuMicros / 2 / microsPerSecond,
            bytesPerSecond: backendServers / assumptions.heartbeatIntervalS / groupCount * (httpOverheadBytes + heartbeatBytes),
            memoryBytes: backendServers / groupCount * slopes.agentHeapBytes.slope,
        },
        createConfigurationRow(role, slopes, nodes / 12),
    ];
}

function formatNumber(value: number): string {
    return Math.abs(value) >= 100 ? Math.round(value).toLocaleString("en-US") : value.toPrecision(3);
}
