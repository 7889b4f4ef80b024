/** The read-only status page, as static HTML. */
import type { ControlStatus } from "../kernel/contracts.js";
import { listEvacuationStatus } from "../kernel/evacuations.js";
import type { AuditRecord, BudgetView, FleetAgent } from "../kernel/messages.js";

/** Data shown on the status page. */
export interface StatusPageData {
    readonly status: ControlStatus;
    readonly budgets: readonly BudgetView[];
    readonly agents: readonly FleetAgent[];
    readonly audit: readonly AuditRecord[];
    readonly isQuorumReached: boolean;
}

const style = `
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 70rem; padding: 0 1rem; color: #1c2422; background: #fbfcfb; }
h1 { font-size: 1.4rem; margin-bottom: .2rem; } h2 { font-size: 1.05rem; margin: 1.8rem 0 .4rem; }
table { border-collapse: collapse; width: 100%; } th, td { text-align: left; padding: .3rem .6rem; border-bottom: 1px solid #dde4e0; }
th { font-weight: 600; color: #47544f; } td.number, th.number { text-align: right; font-variant-numeric: tabular-nums; }
.warning { color: #8a2b0a; font-weight: 600; } .muted { color: #66736e; }`;

/** Renders the status page. */
export function renderStatusPage(data: StatusPageData): string {
    const { status } = data;
    const quorumWarning = data.isQuorumReached
        ? ""
        : "<p class=\"warning\">No quorum of control answers. What stands below may be old.</p>";
    return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width"><title>lovagefold</title><style>${style}</style></head>
<body><h1>lovagefold</h1>
<p class="muted">Version ${status.version} in force. Seen from ${escapeHtml(status.vm)} (${
        escapeHtml(status.role)
    }, term ${status.term}).</p>${quorumWarning}
<h2>Evacuated failure domains</h2>${renderEvacuations(status)}
<h2>VMs</h2>${renderVms(status)}
<h2>Budgets</h2>${renderBudgets(data.budgets)}
<h2>Backend servers</h2>${renderAgents(data.agents)}
<h2>Recent changes</h2>${renderAudit(data.audit)}
</body></html>
`;
}

function renderEvacuations(status: ControlStatus): string {
    const rows = listEvacuationStatus(status).map(({ failureDomain, since, actor, unconfirmedEntries }) =>
        [failureDomain, since, actor, unconfirmedEntries.join(", ") || "none"].map(renderCell).join("")
    );
    return renderTable(["Failure domain", "Since", "Who", "Entries that have not confirmed"], rows);
}

function renderVms(status: ControlStatus): string {
    const rows = status.vms.map(vm => {
        const classAttribute = vm.versionInForce === status.version ? "" : " class=\"warning\"";
        return [vm.vm, vm.role, vm.failureDomain].map(renderCell).join("") +
            `<td class="number"><span${classAttribute}>${vm.versionInForce}</span></td>`;
    });
    return renderTable(["VM", "Role", "Failure domain", "#Version in force"], rows);
}

function renderBudgets(budgets: readonly BudgetView[]): string {
    const rows = budgets.map(budget =>
        renderCell(budget.budget)
        + [budget.toppedUpTokens, budget.settledTokens, budget.leasedTokens, budget.inDoubtTokens, budget.freeTokens]
            .map(renderNumberCell)
            .join("")
    );
    return renderTable(["Budget", "#Topped up", "#Settled", "#Leased", "#In doubt", "#Free"], rows);
}

function renderAgents(agents: readonly FleetAgent[]): string {
    const rows = agents.map(agent => {
        const state = agent.isDraining ? "draining" : agent.state;
        return [agent.backendServer, agent.pool, agent.failureDomain, state, agent.models.join(", ")].map(renderCell).join("");
    });
    return renderTable(["Backend server", "Pool", "Failure domain", "State", "Models"], rows);
}

function renderAudit(records: readonly AuditRecord[]): string {
    const rows = [...records].reverse().map(record =>
        [new Date(record.wallMs).toISOString(), record.actor, record.action, record.outcome, record.detail].map(renderCell).join("")
    );
    return renderTable(["Time", "Who", "What", "Outcome", "Detail"], rows);
}

// A heading that starts with # marks a numeric column.
function renderTable(headings: readonly string[], rows: readonly string[]): string {
    if (rows.length === 0) return "<p class=\"muted\">None.</p>";
    const head = headings.map(heading => heading.startsWith("#") ? `<th class="number">${heading.slice(1)}</th>` : `<th>${heading}</th>`)
        .join("");
    return `<table><thead><tr>${head}</tr></thead><tbody>${rows.map(row => `<tr>${row}</tr>`).join("")}</tbody></table>`;
}

function renderCell(text: string): string {
    return `<td>${escapeHtml(text)}</td>`;
}

function renderNumberCell(value: number): string {
    return `<td class="number">${value.toLocaleString("en-US")}</td>`;
}

function escapeHtml(text: string): string {
    return text.replace(/[&<>"']/g, character => `&#${character.charCodeAt(0)};`);
}
