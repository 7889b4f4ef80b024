/** A control VM: one replica of the log, the state of the plug-ins, the RPC procedures and the tasks of the leader. */
import { createControlRouter } from "../kernel/contracts.js";
import type {
    ControlApi,
    ControlStatus,
    Heartbeat,
    HeartbeatResult,
    SubmitRequest,
    WatchReply,
    WatchRequest,
} from "../kernel/contracts.js";
import type { ControlClient } from "../kernel/controlClient.js";
import { assert } from "../kernel/debug.js";
import { getDigest } from "../kernel/digest.js";
import type { BackendServerRecord } from "../kernel/directory.js";
import type { EvacuationList, EvacuationOrder } from "../kernel/evacuationMessages.js";
import type { Host } from "../kernel/host.js";
import { commandSchemas, querySchemas } from "../kernel/messages.js";
import type { ChangeOutcome, CommandInputs, CommandKind, CommandResults, ControlReply } from "../kernel/messages.js";
import { createRegistry } from "../kernel/registry.js";
import type { ControlPlugin } from "../kernel/registry.js";
import { createRoutedPools } from "../kernel/routedPools.js";
import { rpc } from "../kernel/rpc.js";
import { createNotifier, waitUntil } from "../kernel/tasks.js";
import type { Address } from "../kernel/types.js";
import { createControlDirectory } from "./directory.js";
import type { ControlDirectory } from "./directory.js";
import { createMembershipManager } from "./group.js";
import type { GroupOptions } from "./group.js";
import { createPeerCalls, createRootRouter } from "./log/peers.js";
import { createReplica } from "./log/replica.js";
import { defaultTiming } from "./log/replicaTypes.js";
import type { BarrierResult, ProposeResult, Replica, ReplicaTiming } from "./log/replicaTypes.js";
import type { LogStore } from "./log/store.js";
import { getMembers, getVoters, hasQuorum } from "./log/types.js";
import type { Member } from "./log/types.js";
import type { ControlState } from "./plugins/index.js";
import { createStateMachine } from "./stateMachine.js";
import type { ApplyOutcome } from "./stateMachine.js";
import { createStreamOriginTable } from "./streamOrigins.js";
import { createLeaderTasks } from "./tasks.js";

/** Options of a control VM. */
export interface ControlOptions {
    readonly vm: string;
    readonly self: Member;
    readonly store: LogStore;
    readonly createState: (register: (plugin: ControlPlugin) => void, registry: ReturnType<typeof createRegistry>) => ControlState;
    readonly timing?: ReplicaTiming;
    readonly snapshotEveryEntries?: number;
    readonly group?: GroupOptions;
    /** Submits a command to the leader, wherever it is. */
    readonly submit: ControlClient["submit"];
}

/** A running control VM. */
export interface Control {
    readonly api: ControlApi;
    readonly router: ReturnType<typeof createFullRouter>;
    readonly replica: Replica;
    readonly state: ControlState;
    readonly directory: ControlDirectory;
    /** Failure domains of the backend servers that this VM knows of. */
    listFailureDomains(): ReadonlySet<string>;
    isReady(): boolean;
    /** Transfers leadership to another voter if this VM leads, then stops. */
    stop(): Promise<void>;
    /** Stops immediately without transferring leadership, to simulate a crash. */
    halt(): void;
}

interface VmRecord {
    readonly role: string;
    readonly failureDomain: string;
    readonly version: number;
    readonly seenAtMs: number;
    readonly evacuationsIndex?: number;
}

const defaultSnapshotEveryEntries = 20_000;
const vmRecordRetentionMs = 60_000;
/** Watches are answered from a state that is older than this only to say so. Half of the time within which operators expect a change in force. */
const maxStateAgeMs = 1_000;
/** Time for which a watch waits at a control VM whose state is too old, so that callers without a better one do not ask all the time. */
const outdatedHoldMs = 300;
const minStateCheckMs = 20;
/** Interval between log lines that tell of refused requests for tokens of one budget. */
const refusalLogIntervalMs = 1_000;

/** Starts a control VM on its store. */
export function createControl(host: Host, options: ControlOptions): Control {
    const { store } = options;
    const log = host.createLogger("control");
    const registry = createRegistry();
    const state = options.createState(plugin => registry.register(plugin), registry);
    const stateMachine = createStateMachine(registry);
    const stateChanged = createNotifier(host.timers);
    const vmRecords = new Map<string, VmRecord>();
    let loggedEvacuations = state.getEvacuations();
    const routedPools = createRoutedPools();
    // The replica loads its snapshot before the directory exists.
    const forwardReference: { directory?: ControlDirectory; } = {};
    /** Control time of the command that was applied last. */
    let appliedAtMs = 0;
    /** Refusals since the last log line, by budget. */
    const refusalsByBudget = new Map<string | undefined, { readonly loggedAtMs: number; readonly refusals: number; }>();
    const replica = createReplica(host, {
        self: options.self,
        store,
        timing: options.timing ?? defaultTiming,
        snapshotEveryEntries: options.snapshotEveryEntries ?? defaultSnapshotEveryEntries,
        calls: createPeerCalls(host),
        stateMachine: {
            apply(entry, context) {
                const revisionBefore = state.getRevision();
                const outcome = stateMachine.apply(entry, context);
                state.onApplied(context.index);
                appliedAtMs = context.nowMs;
                // The directory learns of a committed leaving at once, also where no push of another VM arrives.
                if (entry.command === "leavingServers.record") {
                    const { record } = entry.input as CommandInputs["leavingServers.record"];
                    forwardReference.directory?.recordLeaving([record]);
                }
                logEvacuationChanges();
                // Watchers wait for a new revision or for a recall, which only a lease renewal starts.
                const isPublished = state.getRevision() !== revisionBefore;
                if (isPublished || entry.command === "leases.renew") stateChanged.notify();
                if (isPublished) routedPools.observe(state.listRoutes(), host.clock.nowMs());
                return outcome;
            },
            save: stateMachine.save,
            load(saved) {
                stateMachine.load(saved);
                forwardReference.directory?.recordLeaving(listLeaving());
                logEvacuationChanges();
                stateChanged.notify();
                routedPools.observe(state.listRoutes(), host.clock.nowMs());
            },
        },
    });
    const tasks = createLeaderTasks(host, { replica, state, submit });
    const directory = createControlDirectory(host, host.random.nextId(), {
        listPeers: () =>
            getMembers(replica.getStatus().membership).map(member => member.address).filter(address => address !== options.self.address),
        hasQuorum(isCounted) {
            const { membership } = replica.getStatus();
            const isCountedVoter = ({ address }: Member) => address === options.self.address || isCounted(address);
            const counted = new Set(getVoters(membership).filter(isCountedVoter).map(voter => voter.voterId));
            return hasQuorum(membership, voterId => counted.has(voterId));
        },
        isConnected: () => replica.getStatus().isConnected,
        hasCaughtUp: () => Number.isFinite(replica.getStatus().stateAgeMs),
        leaving: { list: listLeaving, covers: state.leavingServers.covers, commit: commitLeaving },
    });
    forwardReference.directory = directory;
    const streamOrigins = createStreamOriginTable(directory.versions, routedPools, directory.list);
    const group = createMembershipManager(host, { replica, self: options.self, ...options.group });
    replica.start();
    tasks.start();
    directory.start();
    group.start();

    const api: ControlApi = {
        submit,
        query,
        watch,
        heartbeat,
        status,
        replaceVoter,
        ping: () => ({ isConnected: replica.getStatus().isConnected }),
        watchDirectory: directory.watch,
        spread: directory.spread,
        recordOrigins(message) {
            streamOrigins.record(message.origins, host.clock.nowMs());
            return true;
        },
        findOrigin: request => streamOrigins.find(request, host.clock.nowMs()),
        join: group.join,
    };
    return {
        api,
        router: createFullRouter(api, replica),
        replica,
        state,
        isReady: () => replica.getStatus().leaderId !== undefined,
        directory,
        listFailureDomains: () =>
            new Set([...directory.list(), ...state.fleet.agents.values()].map(server => server.failureDomain).filter(name => name !== "")),
        async stop() {
            const isHandedOver = await replica.transferLeadership();
            log.info("The control VM is stopping.", { isHandedOver });
            group.stop();
            directory.stop();
            tasks.stop();
            replica.stop();
            stateChanged.notify();
        },
        halt() {
            group.stop();
            directory.stop();
            tasks.stop();
            replica.stop();
            stateChanged.notify();
        },
    };

    async function submit(request: SubmitRequest): Promise<ControlReply<unknown>> {
        const parsed = commandSchemas[request.kind].safeParse(request.input);
        if (!parsed.success) return { kind: "rejected", detail: formatIssues(parsed.error.issues) };
        if (request.kind === "configuration.replace" && state.isReplacementInForce(parsed.data as CommandInputs["configuration.replace"])) {
            return confirmReplacement();
        }
        if (request.kind === "evacuations.set") {
            const confirmed = await confirmEvacuation(parsed.data as EvacuationOrder);
            if (confirmed !== undefined) return confirmed;
        }
        const proposed = await replica.propose(request.operationId, request.kind, parsed.data);
        return toReply(proposed, request.kind);
    }

    function listLeaving(): readonly BackendServerRecord[] {
        return state.leavingServers.list(appliedAtMs);
    }

    // Several control VMs may get the same notice. Those that are pending together make one log entry.
    async function commitLeaving(record: BackendServerRecord, timeoutMs: number): Promise<boolean> {
        const operationId = `leaving/${getDigest([record.backendServer, record.bornMs, record.state])}`;
        return (await options.submit("leavingServers.record", { record }, { timeoutMs, operationId })).kind === "done";
    }

    // An operator who got no answer sends the same set again and again. A log entry for each would only make the answers later.
    function confirmReplacement(): Promise<ControlReply<ChangeOutcome>> {
        return read(() => ({ outcome: "repeated", version: state.getConfiguration().version, problems: [] }));
    }

    // An order that changes nothing adds no log entry. Its outcome is taken from a state that a quorum has confirmed.
    async function confirmEvacuation(
        order: EvacuationOrder,
    ): Promise<ControlReply<CommandResults["evacuations.set"]> | undefined> {
        if (state.findEvacuationOutcome(order) === undefined) return undefined;
        const reply = await read(() => state.findEvacuationOutcome(order));
        if (reply.kind !== "done") return reply;
        // Another order may have been applied before the quorum answered.
        const { result: outcome } = reply;
        return outcome === undefined ? undefined : { ...reply, result: { outcome } };
    }

    function logEvacuationChanges(): void {
        const previous = loggedEvacuations;
        loggedEvacuations = state.getEvacuations();
        if (loggedEvacuations === previous) return;
        for (const { failureDomain, isEvacuated, changeIndex, actor } of listChangedEvacuations(previous, loggedEvacuations)) {
            const message = isEvacuated ? "The evacuation of a failure domain began." : "The evacuation of a failure domain ended.";
            log.info(message, { failureDomain, changeIndex, actor });
        }
    }

    function toReply(proposed: ProposeResult, kind: CommandKind): ControlReply<unknown> {
        if (proposed.kind === "notLeader") return proposed;
        if (proposed.kind === "unknown") return { kind: "unavailable", detail: "the outcome is not known yet" };
        const outcome = proposed.result as ApplyOutcome;
        if (kind === "leases.renew" && outcome.kind === "ok") logRefusedLeases(outcome.result as CommandResults["leases.renew"]);
        if (outcome.kind === "operationConflict") {
            return { kind: "rejected", detail: `this operation id was used before for another ${kind}` };
        }
        // A resent operation returns the stored result of the first one, but the control time of its own log entry.
        return { kind: "done", index: outcome.index, controlTimeMs: proposed.controlTimeMs, result: outcome.result };
    }

    // Entries that wait for tokens ask again and again, so one line a second for each budget tells how many.
    function logRefusedLeases({ grants }: CommandResults["leases.renew"]): void {
        const nowMs = host.clock.nowMs();
        for (const grant of grants.filter(grant => grant.outcome === "exhausted" || grant.outcome === "recalling")) {
            const lease = state.ledger.getLease(grant.leaseId);
            const view = lease === undefined ? undefined : state.ledger.getView(lease.budget);
            const { loggedAtMs, refusals } = refusalsByBudget.get(view?.budget) ?? { loggedAtMs: -Infinity, refusals: 0 };
            const isDue = nowMs - loggedAtMs >= refusalLogIntervalMs;
            refusalsByBudget.set(view?.budget, isDue ? { loggedAtMs: nowMs, refusals: 0 } : { loggedAtMs, refusals: refusals + 1 });
            if (!isDue) continue;
            log.info("A budget has too few free tokens for a request.", {
                ...view,
                vm: lease?.vm,
                leaseId: grant.leaseId,
                outcome: grant.outcome,
                refusalsBefore: refusals,
            });
        }
    }

    async function query(request: { readonly kind: keyof typeof querySchemas; readonly input?: unknown; }): Promise<ControlReply<unknown>> {
        const parsed = querySchemas[request.kind].safeParse(request.input);
        if (!parsed.success) return { kind: "rejected", detail: formatIssues(parsed.error.issues) };
        return read(controlTimeMs => registry.query(request.kind, parsed.data, controlTimeMs));
    }

    async function read<T>(readState: (controlTimeMs: number, index: number) => T): Promise<ControlReply<T>> {
        const barrier: BarrierResult = await replica.readBarrier();
        if (barrier.kind !== "confirmed") return barrier;
        const { index, controlTimeMs } = barrier;
        return { kind: "done", index, controlTimeMs, result: readState(controlTimeMs, index) };
    }

    async function watch(request: WatchRequest): Promise<WatchReply> {
        vmRecords.set(request.vm, {
            role: request.role,
            failureDomain: request.failureDomain,
            version: request.version,
            seenAtMs: host.clock.nowMs(),
            evacuationsIndex: request.evacuationsIndex,
        });
        const receivedAtMs = host.clock.nowMs();
        const hasUpdate = () => state.getRevision() > request.revision || state.listRecalledBudgets(request.incarnation).length > 0;
        await waitWhileCurrent(hasUpdate, request.timeoutMs);
        const revision = state.getRevision();
        const recalledBudgets = state.listRecalledBudgets(request.incarnation);
        const { membership, term, stateAgeMs } = replica.getStatus();
        const members = getVoters(membership).map(voter => voter.address);
        const waitedMs = host.clock.nowMs() - receivedAtMs;
        const baseReply = {
            revision,
            recalledBudgets,
            isConnected: stateAgeMs < maxStateAgeMs,
            stateAgeMs: Number.isFinite(stateAgeMs) ? Math.round(stateAgeMs) : undefined,
            term,
            members,
            waitedMs,
        };
        if (revision <= request.revision) return baseReply;
        const delta = state.getDelta(request.version);
        return delta === undefined ? { ...baseReply, configuration: state.getConfiguration() } : { ...baseReply, delta };
    }

    // Ends before the timeout when the state becomes too old, so that the caller can turn to another control VM.
    async function waitWhileCurrent(hasUpdate: () => boolean, timeoutMs: number): Promise<void> {
        const deadlineMs = host.clock.nowMs() + timeoutMs;
        if (getCurrentLeftMs() <= 0) await waitUntil(host, stateChanged, hasUpdate, Math.min(outdatedHoldMs, timeoutMs));
        while (!hasUpdate() && getCurrentLeftMs() > 0 && host.clock.nowMs() < deadlineMs) {
            const nextCheckMs = Math.max(minStateCheckMs, getCurrentLeftMs());
            await stateChanged.wait(Math.min(deadlineMs - host.clock.nowMs(), nextCheckMs));
        }
    }

    /** Time after which the state is too old if nothing is heard from the group until then. */
    function getCurrentLeftMs(): number {
        return maxStateAgeMs - replica.getStatus().stateAgeMs;
    }

    async function heartbeat(request: Heartbeat): Promise<ControlReply<HeartbeatResult>> {
        const { vm, failureDomain } = request;
        vmRecords.set(vm, { role: "agent", failureDomain, version: state.getConfiguration().version, seenAtMs: host.clock.nowMs() });
        tasks.recordHeartbeat(request.incarnation);
        return read(controlTimeMs => state.answerHeartbeat(request, controlTimeMs));
    }

    async function status(): Promise<ControlStatus> {
        const { role, term, leaderAddress, commitIndex, appliedIndex, membership } = replica.getStatus();
        const voters = [
            ...membership.voters.map(voter => ({ ...voter, isLearner: false })),
            ...membership.learners.map(learner => ({ ...learner, isLearner: true })),
        ];
        const nowMs = host.clock.nowMs();
        vmRecords.set(options.vm, {
            role: "control",
            failureDomain: options.self.failureDomain,
            version: state.getConfiguration().version,
            seenAtMs: nowMs,
        });
        for (const [vm, record] of vmRecords) {
            if (record.seenAtMs < nowMs - vmRecordRetentionMs) vmRecords.delete(vm);
        }
        const vms = [...vmRecords].map(([vm, record]) => ({
            vm,
            role: record.role,
            failureDomain: record.failureDomain,
            versionInForce: record.version,
            seenMsAgo: Math.round(nowMs - record.seenAtMs),
            evacuationsIndex: record.evacuationsIndex,
        }));
        const version = state.getConfiguration().version;
        return {
            voterId: options.self.voterId,
            vm: options.vm,
            role,
            term,
            leaderAddress,
            version,
            commitIndex,
            appliedIndex,
            voters,
            vms,
            evacuations: state.getEvacuations(),
        };
    }

    async function replaceVoter(
        request: { oldVoterId: string; voterId: string; address: Address; failureDomain: string; },
    ): Promise<ControlReply<boolean>> {
        const { voters } = replica.getStatus().membership;
        if (!voters.some(voter => voter.voterId === request.oldVoterId)) {
            return { kind: "rejected", detail: `${request.oldVoterId} is no voter` };
        }
        if (voters.some(voter => voter.voterId === request.voterId)) {
            return { kind: "rejected", detail: `${request.voterId} votes already` };
        }
        const { voterId, address, failureDomain } = request;
        const replacement = await replica.replaceVoter(request.oldVoterId, { voterId, address, failureDomain });
        if (replacement.kind === "applied") {
            return { kind: "done", index: replacement.index, controlTimeMs: replacement.controlTimeMs, result: true };
        }
        return replacement.kind === "notLeader" ? replacement : { kind: "unavailable", detail: "the new voter did not catch up in time" };
    }
}

/** Creates the router with all RPC procedures of a control VM. */
export function createFullRouter(api: ControlApi, replica: Replica) {
    return rpc.mergeRouters(createControlRouter(api), createRootRouter(replica));
}

function listChangedEvacuations(before: EvacuationList, after: EvacuationList): EvacuationList["records"] {
    const indexBefore = new Map(before.records.map(record => [record.failureDomain, record.changeIndex]));
    return after.records.filter(record => indexBefore.get(record.failureDomain) !== record.changeIndex);
}

function formatIssues(issues: readonly { readonly path: readonly PropertyKey[]; readonly message: string; }[]): string {
    assert(issues.length > 0, "a failed schema check reported no issue");
    return issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ");
}
