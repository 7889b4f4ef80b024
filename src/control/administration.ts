/** The administration API: what operators read and change, behind the operator's token, and the status page. */
import { z } from "zod";
import type { ControlApi, ControlStatus } from "../kernel/contracts.js";
import type { ControlRouter } from "../kernel/contracts.js";
import type { ControlClient } from "../kernel/controlClient.js";
import { sendText } from "../kernel/endpoints.js";
import type { HttpHandler, HttpRequest, HttpResponse } from "../kernel/host.js";
import type { Host } from "../kernel/host.js";
import { commandSchemas, querySchemas } from "../kernel/messages.js";
import type { CommandKind, ControlReply, QueryKind } from "../kernel/messages.js";
import { createRpcClients } from "../kernel/rpc.js";
import { withTimeout } from "../kernel/tasks.js";
import { renderStatusPage } from "./statusPage.js";

/** What the administration API works with. */
export interface AdministrationOptions {
    readonly isOperator: (token: string | undefined) => boolean;
    readonly control: ControlClient;
    readonly local: ControlApi;
    /** Addresses of all control VMs, asked for the VMs that they have seen. */
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
const replaceSchema = z.object({ oldVoterId: z.string(), voterId: z.string(), address: z.string(), failureDomain: z.string() });
const actorHeader = "lovage-actor";
const callTimeoutMs = 10_000;
const statusTimeoutMs = 1_000;
const replaceTimeoutMs = 60_000;
const pageAuditMs = 24 * 3_600_000;
const pageAuditRecords = 50;

type Procedure = (request: HttpRequest) => Promise<AdminAnswer>;

interface AdminAnswer {
    readonly status: number;
    readonly body: unknown;
}

/** Creates the handler of the administration API. */
export function createAdministration(host: Host, options: AdministrationOptions): HttpHandler {
    const peers = createRpcClients<ControlRouter>(host.network);
    const procedures: Readonly<Record<string, Procedure>> = {
        "POST /admin/v1/submit": submit,
        "POST /admin/v1/query": query,
        "POST /admin/v1/replace-voter": replaceVoter,
        "GET /admin/v1/status": async () => ({ status: 200, body: await gatherStatus() }),
    };
    return async (request, response) => {
        if (!options.isOperator(getToken(request))) return refuseUnauthenticated(request, response);
        const pathname = request.path.split("?", 1)[0]!;
        if (request.method === "GET" && pathname === "/") return sendPage(response);
        const procedure = procedures[`${request.method} ${pathname}`];
        const answer = procedure === undefined ? createError(404, "Nothing is served at this path.") : await procedure(request);
        await sendText(response, answer.status, JSON.stringify(answer.body), "application/json");
    };

    async function submit(request: HttpRequest): Promise<AdminAnswer> {
        const parsed = submitSchema.safeParse(tryParseJson(request.body));
        if (!parsed.success) return createError(400, "The body must hold kind, operationId and input.");
        const kind = parsed.data.kind as CommandKind;
        if (!operatorCommands.has(kind)) return createError(400, `${JSON.stringify(kind)} is no command for operators.`);
        const input = { ...parsed.data.input, actor: request.headers[actorHeader] ?? "operator" };
        const checked = commandSchemas[kind].safeParse(input);
        if (!checked.success) return createError(400, describe(checked.error.issues));
        const { operationId } = parsed.data;
        const outcome = await options.control.submit(kind, checked.data as never, { timeoutMs: callTimeoutMs, operationId });
        return toAnswer(outcome);
    }

    async function query(request: HttpRequest): Promise<AdminAnswer> {
        const parsed = querySchema.safeParse(tryParseJson(request.body));
        if (!parsed.success || !Object.hasOwn(querySchemas, parsed.data.kind)) {
            return createError(400, "The body must hold a known kind and input.");
        }
        const kind = parsed.data.kind as QueryKind;
        const checked = querySchemas[kind].safeParse(parsed.data.input);
        if (!checked.success) return createError(400, describe(checked.error.issues));
        return toAnswer(await options.control.query(kind, checked.data as never, { timeoutMs: callTimeoutMs }));
    }

    async function replaceVoter(request: HttpRequest): Promise<AdminAnswer> {
        const parsed = replaceSchema.safeParse(tryParseJson(request.body));
        if (!parsed.success) return createError(400, describe(parsed.error.issues));
        for (const address of options.controlAddresses) {
            const call = peers.get(address).replaceVoter.mutate(parsed.data) as Promise<ControlReply<boolean>>;
            const reply = await withTimeout(host.timers, call, replaceTimeoutMs, "replacement").catch(() => undefined);
            if (reply?.kind === "done") return { status: 200, body: { kind: "done", index: reply.index, result: true } };
            if (reply?.kind === "rejected") return createError(400, reply.detail);
        }
        return createError(503, "No control VM could carry out the replacement.");
    }

    // Each control VM has seen other nodes, so the answers are put together. The freshest word on a VM counts.
    async function gatherStatus(): Promise<ControlStatus> {
        const own = await options.local.status();
        const answers = await Promise.all(options.controlAddresses.map(address => {
            const call = peers.get(address).status.query() as Promise<ControlStatus>;
            return withTimeout(host.timers, call, statusTimeoutMs, "status").catch(() => undefined);
        }));
        const seen = new Map(own.vms.map(vm => [vm.vm, vm]));
        for (const vm of answers.flatMap(answer => answer?.vms ?? [])) {
            const known = seen.get(vm.vm);
            if (known === undefined || vm.seenMsAgo < known.seenMsAgo) seen.set(vm.vm, vm);
        }
        const version = Math.max(own.version, ...answers.map(answer => answer?.version ?? 0));
        return { ...own, version, vms: [...seen.values()].sort((a, b) => a.vm < b.vm ? -1 : 1) };
    }

    async function sendPage(response: HttpResponse): Promise<void> {
        const { control } = options;
        const timeoutMs = callTimeoutMs;
        const [status, budgets, fleet, audit] = await Promise.all([
            gatherStatus(),
            control.query("budgets.list", {}, { timeoutMs }),
            control.query("fleet.list", {}, { timeoutMs }),
            control.query("audit.since", { wallMs: Math.max(0, host.clock.wallMs() - pageAuditMs), limit: pageAuditRecords }, {
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

function toAnswer(outcome: { readonly kind: string; readonly detail?: string; }): AdminAnswer {
    if (outcome.kind === "rejected") return createError(409, outcome.detail ?? "refused");
    if (outcome.kind === "unreachable") {
        return createError(503, "No quorum of control answered in time. A resend under the same operation id is safe.");
    }
    return { status: 200, body: outcome };
}

function createError(status: number, detail: string): AdminAnswer {
    return { status, body: { error: { status, detail } } };
}

function describe(issues: readonly { readonly path: readonly PropertyKey[]; readonly message: string; }[]): string {
    return issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ");
}

// A browser sends the token as the password of basic authentication.
function getToken(request: HttpRequest): string | undefined {
    const [scheme, value] = (request.headers["authorization"] ?? "").split(" ", 2);
    if (scheme?.toLowerCase() === "bearer") return value;
    if (scheme?.toLowerCase() !== "basic") return undefined;
    const pair = Buffer.from(value ?? "", "base64").toString("utf8");
    return pair.slice(pair.indexOf(":") + 1);
}

async function refuseUnauthenticated(request: HttpRequest, response: HttpResponse): Promise<void> {
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
