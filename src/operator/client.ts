/** Client of the administration API. */
import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import { request } from "undici";
import type { ControlStatus } from "../kernel/contracts.js";
import type { EvacuationPhase } from "../kernel/evacuationMessages.js";
import type { CommandInputs, CommandKind, CommandResults, QueryInputs, QueryKind, QueryResults } from "../kernel/messages.js";

/** Thrown when the administration API rejects a request or is unreachable. The message is shown to the operator. */
export class AdministrationError extends Error {
    override readonly name = "AdministrationError";

    constructor(message: string, readonly isUnreachable: boolean) {
        super(message);
    }
}

/** Input of a command without the actor, which the server takes from the `lovage-actor` header. */
export type OperatorInput<K extends CommandKind> = Omit<CommandInputs[K], "actor">;

/** Operations of the administration API. */
export interface AdministrationClient {
    submit<K extends CommandKind>(kind: K, input: OperatorInput<K>, operationId?: string): Promise<CommandResults[K]>;
    query<K extends QueryKind>(kind: K, input: QueryInputs[K]): Promise<QueryResults[K]>;
    getStatus(): Promise<ControlStatus>;
    /** Returns whether the order changed anything or was in force already. */
    evacuate(failureDomain: string, phase: EvacuationPhase): Promise<"changed" | "repeated">;
    replaceVoter(input: { oldVoterId: string; voterId: string; address: string; failureDomain: string; }): Promise<void>;
}

const responseTimeoutMs = 70_000;

/** Creates a client. The URL may be that of any control VM. */
export function createAdministrationClient(url: string, token: string, actor = userInfo().username): AdministrationClient {
    return {
        async submit(kind, input, operationId = randomUUID()) {
            const reply = await callApi("POST", "/admin/v1/submit", { kind, input, operationId });
            return (reply as { result: never; }).result;
        },
        async query(kind, input) {
            const reply = await callApi("POST", "/admin/v1/query", { kind, input });
            return (reply as { result: never; }).result;
        },
        async getStatus() {
            return await callApi("GET", "/admin/v1/status") as ControlStatus;
        },
        async evacuate(failureDomain, phase) {
            const reply = await callApi("POST", "/admin/v1/evacuate", { failureDomain, phase });
            return (reply as { outcome: "changed" | "repeated"; }).outcome;
        },
        async replaceVoter(input) {
            await callApi("POST", "/admin/v1/replace-voter", input);
        },
    };

    async function callApi(method: "GET" | "POST", path: string, body?: unknown): Promise<unknown> {
        const reply = await sendRequest(method, path, body);
        if (reply.status === 401) throw new AdministrationError("The operator token is wrong.", false);
        const parsed = JSON.parse(reply.text === "" ? "{}" : reply.text) as { error?: { detail?: string; }; };
        if (reply.status !== 200) throw new AdministrationError(parsed.error?.detail ?? `status ${reply.status}`, reply.status === 503);
        return parsed;
    }

    async function sendRequest(
        method: "GET" | "POST",
        path: string,
        body: unknown,
    ): Promise<{ readonly status: number; readonly text: string; }> {
        try {
            const reply = await request(new URL(path, url), {
                method,
                headers: { "authorization": `Bearer ${token}`, "lovage-actor": actor, "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
                headersTimeout: responseTimeoutMs,
            });
            return { status: reply.statusCode, text: await reply.body.text() };
        }
        catch (error) {
            throw new AdministrationError(`${url} cannot be reached: ${error instanceof Error ? error.message : String(error)}`, true);
        }
    }
}
