/** Registers the plug-ins of control and combines their state for the control VM. */
import type { Heartbeat, HeartbeatResult } from "../../kernel/contracts.js";
import type { EvacuationList, EvacuationOrder, EvacuationOutcome } from "../../kernel/evacuationMessages.js";
import type { ConfigurationDelta, ConfigurationView } from "../../kernel/messages.js";
import type { HttpRouteObject, ObjectIndex } from "../../kernel/objects.js";
import type { ControlPlugin, Registry } from "../../kernel/registry.js";
import type { Incarnation } from "../../kernel/types.js";
import { createAuditTrail } from "./audit.js";
import type { Ledger } from "./budgets/ledger.js";
import { createBudgets } from "./budgets/plugin.js";
import type { leaseRules } from "./budgets/types.js";
import { createClaims } from "./claims.js";
import { createConfiguration } from "./configuration.js";
import type { Configuration } from "./configuration.js";
import { createEvacuations } from "./evacuations.js";
import { createFleet } from "./fleet.js";
import type { FleetState } from "./fleet.js";
import { createLeavingServers } from "./leavingServers.js";
import type { LeavingServers } from "./leavingServers.js";
import { createObjectKinds } from "./objectKinds.js";
import { createOrders } from "./orders.js";
import { createQuarantine } from "./quarantine.js";

/** Combined state of all plug-ins, as read by the control VM. */
export interface ControlState {
    readonly ledger: Ledger;
    readonly fleet: FleetState;
    getConfiguration(): ConfigurationView;
    listRoutes(): readonly HttpRouteObject[];
    getDelta(sinceVersion: number): ConfigurationDelta | undefined;
    getEvacuations(): EvacuationList;
    /** Outcome of an evacuation order that would change nothing now. Undefined if it has to be committed. */
    findEvacuationOutcome(order: EvacuationOrder): EvacuationOutcome | undefined;
    readonly leavingServers: Pick<LeavingServers, "list" | "covers">;
    /** Log index of the last change to the published configuration, quarantine or evacuations. */
    getRevision(): number;
    onApplied(index: number): void;
    listRecalledBudgets(incarnation: Incarnation): readonly string[];
    hasArtifacts(): boolean;
    isReplacementInForce: Configuration["isReplacementInForce"];
    answerHeartbeat(heartbeat: Heartbeat, controlTimeMs: number): HeartbeatResult;
}

/** Overrides of plug-in defaults, for tests and benchmarks. */
export interface ControlStateOptions {
    readonly leaseRules?: typeof leaseRules;
}

/** Creates all plug-ins and registers them. */
export function createControlState(
    register: (plugin: ControlPlugin) => void,
    registry: Registry,
    options: ControlStateOptions = {},
): ControlState {
    const audit = createAuditTrail();
    const claims = createClaims();
    const quarantine = createQuarantine(audit.write);
    const evacuations = createEvacuations(audit.write);
    const configuration = createConfiguration({
        registry,
        audit: audit.write,
        getQuarantine: quarantine.getPublished,
        getEvacuations: evacuations.getList,
        onActivated: objects => setPrepaid(objects),
    });
    const budgets = createBudgets({
        audit: audit.write,
        getObjects: configuration.getObjectIndex,
        billRecovered: claims.billRecovered,
        rules: options.leaseRules,
    });
    const { ledger } = budgets;
    const fleet = createFleet(
        audit.write,
        () => [...ledger.listLeases()].filter(lease => lease.state !== "open").map(lease => lease.leaseId),
        vm => [...new Set([...ledger.listLeases()].filter(lease => lease.vm === vm).map(lease => lease.incarnation))],
    );
    const leavingServers = createLeavingServers();
    const orders = createOrders({ getObjects: configuration.getObjectIndex, fleet: fleet.state });
    const objectKinds = createObjectKinds(ledger.hasOpenLeases);
    for (
        const plugin of [
            audit.plugin,
            objectKinds,
            configuration.plugin,
            budgets.plugin,
            claims.plugin,
            fleet.plugin,
            quarantine.plugin,
            evacuations.plugin,
            leavingServers.plugin,
            orders,
        ]
    ) {
        register(plugin);
    }
    let revision = 0;
    let publishedVersion = configuration.getVersion();
    let publishedQuarantine = quarantine.getPublished();
    let publishedEvacuations = evacuations.getList();
    let entriesIndex = 0;
    let entriesKey = "";
    register({
        name: "status",
        queries: {
            "control.status": (_input, nowMs) => ({
                version: configuration.getVersion(),
                appliedIndex: revision,
                controlTimeMs: nowMs,
                evacuationsIndex: evacuations.getList().changeIndex,
            }),
        },
    });
    // The revision is part of the snapshot, so that watchers with an older revision receive the restored state.
    register({
        name: "revision",
        sections: [{
            name: "revision",
            save: () => ({ revision, entriesIndex }),
            load(data) {
                const saved = data as { revision: number; entriesIndex: number; };
                revision = saved.revision;
                entriesIndex = saved.entriesIndex;
                recordPublished();
                entriesKey = getEntriesKey();
            },
        }],
    });

    return {
        ledger,
        fleet: fleet.state,
        leavingServers,
        getConfiguration: configuration.getView,
        listRoutes: () => configuration.getObjectIndex().list("httpRoute"),
        getDelta: configuration.getDelta,
        getEvacuations: evacuations.getList,
        findEvacuationOutcome: evacuations.findOutcome,
        getRevision: () => revision,
        onApplied(index) {
            if (hasUnpublishedChange()) {
                recordPublished();
                revision = index;
            }
            const newEntriesKey = getEntriesKey();
            if (newEntriesKey !== entriesKey) {
                entriesKey = newEntriesKey;
                entriesIndex = index;
            }
        },
        listRecalledBudgets: ledger.listRecalledBudgets,
        isReplacementInForce: configuration.isReplacementInForce,
        hasArtifacts: () => configuration.getObjectIndex().list("backendServerPool").some(pool => pool.artifacts.length > 0),
        answerHeartbeat(heartbeat, controlTimeMs) {
            const agent = fleet.state.agents.get(heartbeat.incarnation);
            const pendingOrders = orders.queries!["orders.for"]!({ backendServer: heartbeat.backendServer }, controlTimeMs);
            return {
                isKnown: agent !== undefined && !agent.isSuperseded,
                isDraining: agent?.isDraining ?? false,
                closedLeaseIds: heartbeat.leaseIds.filter(leaseId => ledger.getLease(leaseId) === undefined),
                entriesIndex,
                entries: heartbeat.entriesIndex === entriesIndex ? undefined : listEntries(),
                epoch: pendingOrders.epoch,
                orders: pendingOrders.orders,
            };
        },
    };

    function hasUnpublishedChange(): boolean {
        return configuration.getVersion() !== publishedVersion
            || quarantine.getPublished() !== publishedQuarantine
            || evacuations.getList() !== publishedEvacuations;
    }

    function recordPublished(): void {
        publishedVersion = configuration.getVersion();
        publishedQuarantine = quarantine.getPublished();
        publishedEvacuations = evacuations.getList();
    }

    function setPrepaid(objects: ObjectIndex): void {
        for (const budget of objects.list("budget")) {
            if (budget.prepaidTokens !== undefined) ledger.setPrepaid(budget.name, budget.prepaidTokens);
        }
    }

    function listEntries() {
        return [...fleet.state.entries.values()]
            .filter(entry => !entry.isSuperseded)
            .map(({ vm, failureDomain, incarnation, address }) => ({ vm, failureDomain, incarnation, address }));
    }

    function getEntriesKey(): string {
        return listEntries().map(entry => entry.incarnation).join(" ");
    }
}
