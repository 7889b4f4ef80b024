/** Works out the capacity table from measured slopes. */
import type { Slopes } from "./slopes.js";

/** Sizes that the project is built towards. */
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

/** Limits for control at one node. */
const limits = { cpuShare: 0.041, memoryBytes: 256e6, bytesPerSecond: 20e3 } as const;

/** Assumptions that no measurement gives. Each is stated on the page. */
const assumptions = {
    /** Share of requests with an idempotency key. */
    keyedShare: 0.3,
    /** Groups of three voters on 12 of the 13 VMs, and one spare. */
    controlGroups: 4,
    claimRetentionS: 900,
    /** Budgets that one node draws on at a time. */
    activeBudgetsPerNode: 60,
    renewalIntervalS: 10,
    /** Entries that hear each agent. */
    reportFanOut: 12,
    heartbeatS: 2,
    watchS: 10,
    /** As the entry paces them: a tenth of a second, and 50 ms for each agent beyond 16. */
    minReportS: 0.1,
    unpacedAgents: 16,
    reportShareS: 0.05,
    objectsPerChange: 3,
} as const;

const begin = "<!-- slopes: begin -->";
const end = "<!-- slopes: end -->";
const microsPerSecond = 1e6;
const secondsPerDay = 86_400;
const httpOverheadBytes = 400;

interface Row {
    readonly role: string;
    readonly what: string;
    readonly rate: string;
    readonly cpuShare: number;
    readonly bytesPerSecond: number;
    readonly memoryBytes: number;
}

/** Puts the table between its marks on the page. */
export function putCapacityTable(page: string, slopes: Slopes): string {
    const before = page.slice(0, page.indexOf(begin) + begin.length);
    const after = page.slice(page.indexOf(end));
    return `${before}\n${renderSlopes(slopes)}\n${renderRoles(slopes)}\n${after}`;
}

function renderSlopes(slopes: Slopes): string {
    const rows = Object.entries(slopes).flatMap(([name, value]) => {
        if (typeof value === "number") return [`| \`${name}\` | ${format(value)} | | one size |`];
        if (!("slope" in value)) {
            return Object.entries(value as object).map(([part, cost]) => `| \`${name}.${part}\` | ${format(Number(cost))} | | one size |`);
        }
        const fit = value as Slopes["routeCpuMicros"];
        const sizes = fit.points.map(([size]) => size.toLocaleString("en-US")).join(", ");
        return [
            `| \`${name}\` | ${format(fit.slope)} | ${format(fit.intercept)} | ${sizes}; worst error ${
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
        const own = rows.filter(row => row.role === role);
        const sum = (pick: (row: Row) => number) => own.reduce((total, row) => total + pick(row), 0);
        const total: Row = {
            role,
            what: "**together**",
            rate: "",
            cpuShare: sum(row => row.cpuShare),
            bytesPerSecond: sum(row => row.bytesPerSecond),
            memoryBytes: sum(row => row.memoryBytes),
        };
        return [...own, total].map(renderRow);
    });
    return `### Roles at the size of two years\n\n| role | what | rate or count | core | KB/s | MB |\n| --- | --- | --- | ---: | ---: | ---: |\n${
        lines.join("\n")
    }\n\n${renderVerdicts(rows)}`;
}

function renderRow(row: Row): string {
    const cells = [
        row.role,
        row.what,
        row.rate,
        `${(row.cpuShare * 100).toFixed(2)}%`,
        (row.bytesPerSecond / 1e3).toFixed(1),
        (row.memoryBytes / 1e6).toFixed(1),
    ];
    return `| ${cells.join(" | ")} |`;
}

function renderVerdicts(rows: readonly Row[]): string {
    const judged = ["entry", "agent"].map(role => {
        const own = rows.filter(row => row.role === role);
        const sum = (pick: (row: Row) => number) => own.reduce((total, row) => total + pick(row), 0);
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
    return `Against the limits for control at a node (4.1% of a core, 256 MB, 20 KB/s):\n\n${judged.join("\n")}\n`;
}

function createEntryRows(slopes: Slopes): readonly Row[] {
    const { nodes, backendServers, requestsPerSecond } = targetSizes;
    const requestsHere = requestsPerSecond / nodes;
    const agentsHeard = backendServers * assumptions.reportFanOut / nodes;
    const reportsPerSecond = agentsHeard / getPaceS(agentsHeard);
    const renewalBytes = assumptions.activeBudgetsPerNode * slopes.leaseRenewalBytes.slope + httpOverheadBytes;
    const keyedCalls = requestsHere * assumptions.keyedShare * 2;
    return [
        {
            role: "entry",
            what: "lease renewals",
            rate: `${assumptions.activeBudgetsPerNode} leases every ${assumptions.renewalIntervalS} s`,
            cpuShare: (assumptions.activeBudgetsPerNode * slopes.leaseRenewalCpuMicros.slope + slopes.calls.unbatchedCpuMicros / 2) /
                assumptions.renewalIntervalS / microsPerSecond,
            bytesPerSecond: renewalBytes / assumptions.renewalIntervalS,
            memoryBytes: assumptions.activeBudgetsPerNode * slopes.leaseHeapBytes.slope,
        },
        {
            role: "entry",
            what: "claims of keyed requests",
            rate: `${keyedCalls.toFixed(1)} calls/s`,
            cpuShare: keyedCalls * slopes.calls.batchedCpuMicros / 2 / microsPerSecond,
            bytesPerSecond: keyedCalls * slopes.claimBytes,
            memoryBytes: 0,
        },
        {
            role: "entry",
            what: "load and cache reports",
            rate: `${reportsPerSecond.toFixed(0)}/s from ${agentsHeard.toFixed(0)} agents`,
            cpuShare: reportsPerSecond * (slopes.calls.batchedCpuMicros / 2 + slopes.reportCpuMicros.slope) / microsPerSecond,
            bytesPerSecond: reportsPerSecond * slopes.reportBytes,
            memoryBytes: agentsHeard * slopes.routeHeapBytes.slope,
        },
        createConfigurationRow("entry", slopes),
    ];
}

function getPaceS(agentsHeard: number): number {
    return Math.max(assumptions.minReportS, (agentsHeard - assumptions.unpacedAgents) * assumptions.reportShareS);
}

// A change publishes what it changed, and the node checks the digest of the whole set.
function createConfigurationRow(role: string, slopes: Slopes, receivers = 1): Row {
    const objects = targetSizes.budgets + targetSizes.clientAccounts;
    const changesPerSecond = targetSizes.changesPerDay / secondsPerDay;
    const deltaBytes = assumptions.objectsPerChange * slopes.objectBytes.slope + httpOverheadBytes;
    return {
        role,
        what: "configuration: deltas, checked by the set's digest",
        rate: `${changesPerSecond.toFixed(2)} changes/s to ${objects.toLocaleString("en-US")} objects`,
        cpuShare: changesPerSecond * (objects * slopes.setDigestCpuMicros.slope + receivers * slopes.calls.batchedCpuMicros) /
            microsPerSecond,
        bytesPerSecond: changesPerSecond * deltaBytes * receivers,
        memoryBytes: objects * slopes.objectBytes.slope * 3,
    };
}

function createAgentRows(slopes: Slopes): readonly Row[] {
    const { backendServers, nodes, requestsPerSecond } = targetSizes;
    const perAgent = requestsPerSecond / backendServers;
    const agentsHeard = backendServers * assumptions.reportFanOut / nodes;
    const reportsPerSecond = assumptions.reportFanOut / getPaceS(agentsHeard);
    return [
        {
            role: "agent",
            what: "load and cache reports",
            rate: `${reportsPerSecond.toFixed(1)}/s to ${assumptions.reportFanOut} entries`,
            cpuShare: reportsPerSecond * slopes.calls.unbatchedCpuMicros / 2 / microsPerSecond,
            bytesPerSecond: reportsPerSecond * (slopes.reportBytes + httpOverheadBytes),
            memoryBytes: 0,
        },
        {
            role: "agent",
            what: "heartbeats to control",
            rate: `every ${assumptions.heartbeatS} s`,
            cpuShare: slopes.calls.unbatchedCpuMicros / 2 / assumptions.heartbeatS / microsPerSecond,
            bytesPerSecond: (httpOverheadBytes + heartbeatBytes) / assumptions.heartbeatS,
            memoryBytes: 0,
        },
        {
            role: "agent",
            what: "lease counters and held answers",
            rate: `${perAgent.toFixed(1)} requests/s, answers held 10 min with a key and 30 s without`,
            cpuShare: 0,
            bytesPerSecond: 0,
            memoryBytes: 2_000 * slopes.counterHeapBytes.slope
                + perAgent * (assumptions.keyedShare * 600 + (1 - assumptions.keyedShare) * 30) * slopes.heldStreamHeapBytes.slope,
        },
    ];
}

const heartbeatBytes = 2_400;

function createControlRows(slopes: Slopes): readonly Row[] {
    const { nodes, requestsPerSecond, budgets, backendServers } = targetSizes;
    const groups = assumptions.controlGroups;
    const role = `control VM (leader, 1 of ${groups} groups)`;
    const renewals = nodes / assumptions.renewalIntervalS / groups * groups;
    const leasesPerSecond = nodes * assumptions.activeBudgetsPerNode / assumptions.renewalIntervalS / groups;
    const claimsPerSecond = requestsPerSecond * assumptions.keyedShare / groups;
    const claimsHeld = claimsPerSecond * assumptions.claimRetentionS;
    return [
        {
            role,
            what: "lease renewals",
            rate: `${leasesPerSecond.toFixed(0)} leases/s in ${(renewals / groups * groups / 1).toFixed(0)} calls/s`,
            cpuShare: (leasesPerSecond * slopes.leaseRenewalCpuMicros.slope + renewals * slopes.calls.batchedCpuMicros / 2) /
                microsPerSecond,
            bytesPerSecond: leasesPerSecond * slopes.leaseRenewalBytes.slope * 3,
            memoryBytes: budgets / groups * slopes.budgetHeapBytes.slope +
                nodes * assumptions.activeBudgetsPerNode / groups * slopes.leaseHeapBytes.slope,
        },
        {
            role,
            what: "claims: open and finish",
            rate: `${(claimsPerSecond * 2).toFixed(0)} commands/s, ${(claimsHeld / 1e6).toFixed(1)} million held`,
            cpuShare: claimsPerSecond * (slopes.claimCpuMicros.slope + slopes.calls.batchedCpuMicros) / microsPerSecond,
            bytesPerSecond: claimsPerSecond * 2 * slopes.claimBytes * 3,
            memoryBytes: claimsHeld * slopes.claimHeapBytes.slope,
        },
        {
            role,
            what: "agents' heartbeats",
            rate: `${(backendServers / assumptions.heartbeatS / groups).toFixed(0)}/s`,
            cpuShare: backendServers / assumptions.heartbeatS / groups * slopes.calls.batchedCpuMicros / 2 / microsPerSecond,
            bytesPerSecond: backendServers / assumptions.heartbeatS / groups * (httpOverheadBytes + heartbeatBytes),
            memoryBytes: backendServers / groups * slopes.agentHeapBytes.slope,
        },
        createConfigurationRow(role, slopes, nodes / 12),
    ];
}

function format(value: number): string {
    return Math.abs(value) >= 100 ? Math.round(value).toLocaleString("en-US") : value.toPrecision(3);
}
