/** What each kind of process reports at its metrics endpoint. */
import type { Agent } from "./agent/agent.js";
import type { Control } from "./control/control.js";
import type { Gateway } from "./entry/direct/gateway.js";
import type { Entry } from "./entry/entry.js";
import type { Capacity } from "./kernel/capacity.js";
import type { Listener, Network } from "./kernel/host.js";
import { readHistogram } from "./kernel/metrics.js";
import type { MetricReading } from "./kernel/metrics.js";

/** Reads the metrics of a control VM. */
export function readControlMetrics(control: Control): readonly MetricReading[] {
    const status = control.replica.getStatus();
    const budgets = control.state.ledger.listViews();
    const sumBudgets = (getTokens: (budget: (typeof budgets)[number]) => number) =>
        budgets.reduce((total, budget) => total + getTokens(budget), 0);
    return [
        { name: "lovage_control_is_leader", help: "1 while this VM leads", value: status.role === "leader" ? 1 : 0 },
        { name: "lovage_control_term", help: "term of the log", value: status.term },
        { name: "lovage_control_commit_index", help: "last committed index", value: status.commitIndex },
        {
            name: "lovage_control_state_age_ms",
            help: "time since which the state of this VM may lack committed entries",
            value: status.stateAgeMs,
        },
        { name: "lovage_control_disk_failed", help: "1 while the data folder cannot be written", value: status.hasDiskFailed ? 1 : 0 },
        {
            name: "lovage_control_evacuated_domains",
            help: "failure domains that are being evacuated",
            value: control.state.getEvacuations().records.filter(record => record.isEvacuated).length,
        },
        { name: "lovage_budget_settled_tokens", help: "settled tokens of all budgets", value: sumBudgets(budget => budget.settledTokens) },
        { name: "lovage_budget_leased_tokens", help: "leased tokens of all budgets", value: sumBudgets(budget => budget.leasedTokens) },
        {
            name: "lovage_budget_in_doubt_tokens",
            help: "tokens in doubt of all budgets",
            value: sumBudgets(budget => budget.inDoubtTokens),
        },
        {
            name: "lovage_budget_written_off_tokens",
            help: "settled tokens whose actual use was lost with an entry or agent, of all budgets",
            value: sumBudgets(budget => budget.writtenOffTokens),
        },
    ];
}

/** Reads the metrics of an entry of a fleet with agents. */
export function readEntryMetrics(entry: Entry): readonly MetricReading[] {
    return [
        ...readRequestMetrics(entry),
        ...readCapacityMetrics(entry.capacity),
        { name: "lovage_entry_owed", help: "settlements and claims that are not confirmed yet", value: entry.getPendingTaskCount() },
    ];
}

/** Reads the metrics of a gateway. */
export function readGatewayMetrics(gateway: Gateway): readonly MetricReading[] {
    const { abandoned } = gateway.statistics.read();
    return [
        ...readRequestMetrics(gateway),
        { name: "lovage_entry_abandoned", help: "callers that left before their answer was complete", value: abandoned },
        { name: "lovage_entry_timer_lag_ms", help: "delay of the timers of this process", value: gateway.capacity.getLagMs() },
        { name: "lovage_entry_ceiling_waits", help: "times that events waited for a higher usage ceiling", value: gateway.getUseWaits() },
        { name: "lovage_entry_held_answer_bytes", help: "bytes held of all answers", value: gateway.heldAnswers.getTotalBytes() },
        {
            name: "lovage_entry_ended_answers",
            help: "answers that were ended because all together held too many bytes",
            value: gateway.heldAnswers.getEndedCount(),
        },
        ...readColdMetrics(gateway),
        ...gateway.admission.readMetrics(),
        ...readCapacityMetrics(gateway.capacity),
    ];
}

function readColdMetrics(gateway: Gateway): readonly MetricReading[] {
    const { cold, limited, heldBack } = gateway.getColdCounts();
    return [
        { name: "lovage_entry_cold_servers", help: "backend servers that say they are cold", value: cold },
        {
            name: "lovage_entry_cold_limited_servers",
            help: "backend servers that are limited because they are or may be cold, or were until recently",
            value: limited,
        },
        {
            name: "lovage_entry_cold_held_back",
            help: "dispatches that had to leave out a backend server because it is or may be cold",
            value: heldBack,
        },
    ];
}

function readRequestMetrics(
    entry: Pick<Entry, "statistics" | "getVersion" | "getConfigurationAgeMs" | "countEvacuatedDomains">,
): readonly MetricReading[] {
    const counts = entry.statistics.read();
    return [
        { name: "lovage_entry_requests", help: "requests so far", value: counts.requests },
        { name: "lovage_entry_dispatches", help: "dispatches so far", value: counts.dispatches },
        { name: "lovage_entry_retries", help: "retries so far", value: counts.retries },
        { name: "lovage_entry_version", help: "version in force", value: entry.getVersion() },
        {
            name: "lovage_entry_configuration_age_ms",
            help: "time since which control may have put a newer configuration into force",
            value: entry.getConfigurationAgeMs(),
        },
        {
            name: "lovage_entry_evacuated_domains",
            help: "failure domains whose backend servers get no requests",
            value: entry.countEvacuatedDomains(),
        },
        ...Object.entries(counts.refusals).map(([code, value]) => ({
            name: "lovage_entry_refusals",
            help: "refusals by code",
            value,
            labels: { code },
        })),
        ...Object.entries(counts.answered).flatMap(([serviceClass, histogram]) =>
            readHistogram("lovage_entry_duration_seconds", "time from arrival to the end of the answer", histogram, { serviceClass })
        ),
    ];
}

/** Reads the metrics of the server for callers. They are zero before it listens. */
export function readListenerMetrics(listener: Listener | undefined): readonly MetricReading[] {
    return [
        {
            name: "lovage_entry_queue_resets",
            help: "times that the connections in the listen queue were reset",
            value: listener?.getQueueResets() ?? 0,
        },
        {
            name: "lovage_entry_refused_connections",
            help: "connections that were closed because there were too many",
            value: listener?.getRefusedConnections() ?? 0,
        },
        {
            name: "lovage_entry_held_request_bytes",
            help: "bytes held of connections, and of requests until they are answered",
            value: listener?.held.getTotalBytes() ?? 0,
        },
        {
            name: "lovage_entry_ended_requests",
            help: "requests and connections that were ended because all together held too many bytes",
            value: listener?.held.getEndedCount() ?? 0,
        },
    ];
}

/** Reads the metrics of the calls between a process and others. */
export function readCallMetrics({ callCounts, heldCalls }: Network): readonly MetricReading[] {
    return [
        ...callCounts.readMetrics(),
        { name: "lovage_process_held_call_bytes", help: "bytes held of calls of other processes", value: heldCalls.getTotalBytes() },
        {
            name: "lovage_process_ended_calls",
            help: "calls and connections for calls that were ended because all together held too many bytes",
            value: heldCalls.getEndedCount(),
        },
    ];
}

/** Reads how much of its time a process is busy. */
export function readCapacityMetrics(capacity: Capacity): readonly MetricReading[] {
    return [
        {
            name: "lovage_process_utilization",
            help: "share of the time in which the event loop was busy",
            value: capacity.getUtilization(),
        },
        {
            name: "lovage_process_saturated",
            help: "1 while the process has more to do than it can do",
            value: capacity.isSaturated() ? 1 : 0,
        },
    ];
}

/** Reads the metrics of an agent. */
export function readAgentMetrics(agent: Agent): readonly MetricReading[] {
    return [{ name: "lovage_agent_running_requests", help: "requests that run now", value: agent.getRunningCount() }];
}
