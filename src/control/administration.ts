/** The administration API and the status page. Every request must carry the operator token. */
import { z } from "zod";
import type { ControlApi, ControlStatus } from "../kernel/contracts.js";
import type { ControlRouter } from "../kernel/contracts.js";
import type { ControlClient } from "../kernel/controlClient.js";
import { sendText } from "../kernel/endpoints.js";
import { orderEvacuation } from "../kernel/evacuations.js";
import type { EvacuationResult } from "../kernel/evacuations.js";
import type { HttpHandler, HttpRequest, HttpResponse } from "../kernel/host.js";
import type { Host } from "../kernel/host.js";
import { commandSchemas, querySchemas } from "../kernel/messages.js";
import type { CommandKind, ControlReply, QueryKind } from "../kernel/messages.js";
import { createRpcClients } from "../kernel/rpc.js";
import { withTimeout } from "../kernel/tasks.js";
import { renderStatusPage } from "./statusPage.js";

/** Dependencies of the administration API. */
export interface AdministrationOptions {
    readonly isOperator: (token: string | undefined) => boolean;
    readonly control: ControlClient;
    readonly local: ControlApi;
    /** Failure domains that may be evacuated. */
    readonly listFailureDomains: () => ReadonlySet<string>;
    /** Addresses of all control VMs. Each is queried for the VMs that have contacted it. */
    readonly controlAddresses: readonly string[];
}

/** Commands that operators may submit. */
const operatorCommands: ReadonlySet<CommandKind> = new Set([
    "configuration.apply",
    "budgets.topUp",
    "budgets.release",
    "fleet.drain",
    "quarantine.clear",
]);

const submitSchema = z.object({ kind: z.string(), operationId: z.string().min(1).max(200), input: z.record(z.string(), z.unknown()) });
const querySchema = z.object({ kind: z.string(), input: z.record(z.string(), z.unknown()) });
const evacuateSchema = z.object({ failureDomain: z.string().min(1).max(200), phase: z.enum(["begin", "finish"]) });
const replaceVoterSchema = z.object({ oldVoterId: z.string(), voterId: z.string(), address: z.string(), failureDomain: z.string() });
const actorHeader = "lovage-actor";
const callTimeoutMs = 10_000;
const statusTimeoutMs = 1_000;
const replaceTimeoutMs = 60_000;
const statusPageAuditPeriodMs = 24 * 3_600_000;
const maxStatusPageAuditRecords = 50;

type RouteHandler = (request: HttpRequest) => Promise<AdminReply>;

interface AdminReply {
    readonly status: number;
    readonly body: unknown;
}

/** Creates the handler of the administration API. */
export function createAdministration(host: Host, options: AdministrationOptions): HttpHandler {
    const controlClients = createRpcClients<ControlRouter>(host.network);
    const handlers: Readonly<Record<string, RouteHandler>> = {
        "POST /admin/v1/submit": submit,
        "POST /admin/v1/query": query,
        "POST /admin/v1/evacuate": evacuate,
        "POST /admin/v1/replace-voter": replaceVoter,
        "GET /admin/v1/status": async () => ({ status: 200, body: await collectStatus() }),
    };
    return async (request, response) => {
        if (!options.isOperator(getToken(request))) return sendUnauthorized(request, response);
        const pathname = request.path.split("?", 1)[0]!;
        if (request.method === "GET" && pathname === "/") return sendStatusPage(response);
        const handler = handlers[`${request.method} ${pathname}`];
        const reply = handler === undefined ? createErrorReply(404, "Nothing is served at this path.") : await handler(request);
        await sendText(response, reply.status, JSON.stringify(reply.body), "application/json");
    };

    async function submit(request: HttpRequest): Promise<AdminReply> {
        const parsed = submitSchema.safeParse(tryParseJson(request.body));
        if (!parsed.success) return createErrorReply(400, "The body must hold kind, operationId and input.");
        const kind = parsed.data.kind as CommandKind;
        if (!operatorCommands.has(kind)) return createErrorReply(400, `${JSON.stringify(kind)} is no command for operators.`);
        const input = { ...parsed.data.input, actor: request.headers[actorHeader] ?? "operator" };
        const checked = commandSchemas[kind].safeParse(input);
        if (!checked.success) return createErrorReply(400, formatIssues(checked.error.issues));
        const { operationId } = parsed.data;
        const outcome = await options.control.submit(kind, checked.data as never, { timeoutMs: callTimeoutMs, operationId });
        return toReply(outcome);
    }

    async function query(request: HttpRequest): Promise<AdminReply> {
        const parsed = querySchema.safeParse(tryParseJson(request.body));
        if (!parsed.success || !Object.hasOwn(querySchemas, parsed.data.kind)) {
            return createErrorReply(400, "The body must hold a known kind and input.");
        }
        const kind = parsed.data.kind as QueryKind;
        const checked = querySchemas[kind].safeParse(parsed.data.input);
        if (!checked.success) return createErrorReply(400, formatIssues(checked.error.issues));
        return toReply(await options.control.query(kind, checked.data as never, { timeoutMs: callTimeoutMs }));
    }

    async function evacuate(request: HttpRequest): Promise<AdminReply> {
        const parsed = evacuateSchema.safeParse(tryParseJson(request.body));
        if (!parsed.success) return createErrorReply(400, formatIssues(parsed.error.issues));
        const { failureDomain, phase } = parsed.data;
        const actor = request.headers[actorHeader] ?? "operator";
        const isKnownDomain = options.listFailureDomains().has(failureDomain);
        const result = await orderEvacuation(options.control, { failureDomain, phase, actor, isKnownDomain }, {
            clock: host.clock,
            deadlineMs: host.clock.nowMs() + callTimeoutMs,
            signal: request.signal,
        });
        if (result === "changed" || result === "repeated") return { status: 200, body: { kind: "done", outcome: result } };
        return createErrorReply(...evacuationErrors[result]);
    }

    async function replaceVoter(request: HttpRequest): Promise<AdminReply> {
        const parsed = replaceVoterSchema.safeParse(tryParseJson(request.body));
        if (!parsed.success) return createErrorReply(400, formatIssues(parsed.error.issues));
        for (const address of options.controlAddresses) {
            const call = controlClients.get(address).replaceVoter.mutate(parsed.data) as Promise<ControlReply<boolean>>;
            const reply = await withTimeout(host.timers, call, replaceTimeoutMs, "replacement").catch(() => undefined);
            if (reply?.kind === "done") return { status: 200, body: { kind: "done", index: reply.index, result: true } };
            if (reply?.kind === "rejected") return createErrorReply(400, reply.detail);
        }
        return createErrorReply(503, "No control VM could carry out the replacement.");
    }

    // Each control VM knows only the VMs that contacted it, so the replies are merged. The most recent record of a VM is used.
    async function collectStatus(): Promise<ControlStatus> {
        const ownStatus = await options.local.status();
        const replies = await Promise.all(options.controlAddresses.map(address => {
            const call = controlClients.get(address).status.query() as Promise<ControlStatus>;
            return withTimeout(host.timers, call, statusTimeoutMs, "status").catch(() => undefined);
        }));
        const latestByVm = new Map(ownStatus.vms.map(vm => [vm.vm, vm]));
        for (const vm of replies.flatMap(reply => reply?.vms ?? [])) {
            const existing = latestByVm.get(vm.vm);
            if (existing === undefined || vm.seenMsAgo < existing.seenMsAgo) latestByVm.set(vm.vm, vm);
        }
        const version = Math.max(ownStatus.version, ...replies.map(reply => reply?.version ?? 0));
        const evacuations = [ownStatus, ...replies]
            .map(reply => reply?.evacuations ?? { changeIndex: 0, records: [] })
            .reduce((newest, list) => list.changeIndex > newest.changeIndex ? list : newest);
        return { ...ownStatus, version, evacuations, vms: [...latestByVm.values()].sort((a, b) => a.vm < b.vm ? -1 : 1) };
    }

    async function sendStatusPage(response: HttpResponse): Promise<void> {
        const { control } = options;
        const timeoutMs = callTimeoutMs;
        const [status, budgets, fleet, audit] = await Promise.all([
            collectStatus(),
            control.query("budgets.list", {}, { timeoutMs }),
            control.query("fleet.list", {}, { timeoutMs }),
            control.query("audit.since", {
                wallMs: Math.max(0, host.clock.wallMs() - statusPageAuditPeriodMs),
                limit: maxStatusPageAuditRecords,
            }, {
                timeoutMs,
            }),
        ]);
        const page = renderStatusPage({
            status,
            budgets: budgets.kind === "done" ? budgets.result.budgets : [],
            agents: fleet.kind === "done" ? fleet.result.agents : [],
            audit: audit.kind === "done" ? audit.result.records : [],
            isQuorumReached: budgets.kind === "done",
        });
        await sendText(response, 200, page, "text/html; charset=utf-8");
    }
}

const evacuationErrors: Readonly<Record<Exclude<EvacuationResult, "changed" | "repeated">, readonly [status: number, detail: string]>> = {
    neverEvacuated: [409, "This failure domain was never evacuated."],
    unknownDomain: [400, "No backend server is in this failure domain, and it was never evacuated."],
    outdated: [409, "Another order for this failure domain was carried out at the same time."],
    unreachable: [503, "No quorum of control answered in time. The order may still take effect; it is safe to give it again."],
};

function toReply(outcome: { readonly kind: string; readonly detail?: string; }): AdminReply {
    if (outcome.kind === "rejected") return createErrorReply(409, outcome.detail ?? "refused");
    if (outcome.kind === "unreachable") {
        return createErrorReply(503, "No quorum of control answered in time. A resend under the same operation id is safe.");
    }
    return { status: 200, body: outcome };
}

function createErrorReply(status: number, detail: string): AdminReply {
    return { status, body: { error: { status, detail } } };
}

function formatIssues(issues: readonly { readonly path: readonly PropertyKey[]; readonly message: string; }[]): string {
    return issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ");
}

// A browser sends the token as the password of HTTP basic authentication.
function getToken(request: HttpRequest): string | undefined {
    const [scheme, value] = (request.headers["authorization"] ?? "").split(" ", 2);
    if (scheme?.toLowerCase() === "bearer") return value;
    if (scheme?.toLowerCase() !== "basic") return undefined;
    const credentials = Buffer.from(value ?? "", "base64").toString("utf8");
    return credentials.slice(credentials.indexOf(":") + 1);
}

async function sendUnauthorized(request: HttpRequest, response: HttpResponse): Promise<void> {
    const isBrowser = request.headers["accept"]?.includes("text/html") === true;
    response.start(401, isBrowser ? { "www-authenticate": "Basic realm=\"lovagefold\"" } : {});
    response.end();
}

function tryParseJson(body: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(body).toString("utf8"));
    }
    catch {
        return undefined;
    }
}
