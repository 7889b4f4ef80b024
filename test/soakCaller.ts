/** A caller of the fault soak. It keeps connections until they are closed, leaves early at times, and tells the ledger what it was told. */
import * as http from "node:http";
import type { Ledger } from "./soakLedger.js";
import { proxiedPortOffset } from "./soakProxy.js";
import { mayRepeat, routeShapes } from "./soakTypes.js";
import type { Fleet, RouteKind, RouteShape, SentAttempt, Told } from "./soakTypes.js";

/** Options of a caller. */
export interface SoakCallerOptions {
    readonly fleet: Fleet;
    readonly ledger: Ledger;
    readonly random: () => number;
    readonly name: string;
    readonly entryCount: number;
    readonly untilMs: number;
}

/** An attempt of a caller. */
interface Attempt {
    readonly attemptId: string;
    readonly streamId: string;
    readonly kind: RouteKind;
    readonly entry: number;
    readonly deadlineMs: number;
    /** Last event that the caller has, of an attempt that continues a stream. */
    readonly resumedAfterEvent?: number;
    /** Time after which the caller leaves. Undefined if it stays. */
    readonly leaveAfterMs?: number;
}

const key = "county-key";
const meanPauseMs = 120;
const leaveShare = 0.1;
/** Callers of streams leave within a longer time, so that some leave while a broken stream is about to continue elsewhere. */
const leaveWithinMs = { answer: 400, stream: 1_200 } as const;
/** Longest time that a caller waits beyond what it has told the fleet. */
const extraWaitMs = 1_500;
const maxAttempts = 3;

/** Sends requests until the time is over. */
export async function runCaller(options: SoakCallerOptions): Promise<void> {
    const { random, name, entryCount, untilMs } = options;
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    let entry = Math.floor(random() * entryCount);
    let number = 0;
    while (Date.now() < untilMs) {
        await serveOne();
        await wait(meanPauseMs * 2 * random());
        if (random() < 0.05) entry = Math.floor(random() * entryCount);
    }
    agent.destroy();

    async function serveOne(): Promise<void> {
        const kind = chooseKind(random());
        const shape = routeShapes[kind];
        const deadlineAtMs = Date.now() + shape.deadlineMs;
        const requestId = `${name}-${++number}`;
        let streamId: string | undefined;
        let lastEvent = 0;
        for (let count = 1; count <= maxAttempts; count++) {
            const deadlineMs = deadlineAtMs - Date.now();
            if (deadlineMs < 100) return;
            const attemptId = `${requestId}-${count}`;
            const told = await sendAttempt(options, agent, {
                attemptId,
                streamId: streamId ?? attemptId,
                kind,
                entry,
                deadlineMs,
                resumedAfterEvent: streamId === undefined ? undefined : lastEvent,
                leaveAfterMs: random() < leaveShare ? random() * leaveWithinMs[shape.events > 0 ? "stream" : "answer"] : undefined,
            });
            if (!shouldRetry(kind, told)) return;
            lastEvent = Math.max(lastEvent, getLastEvent(told.body));
            if (lastEvent > 0 && shape.isResumable) streamId ??= attemptId;
            entry = (entry + 1 + Math.floor(random() * (entryCount - 1))) % entryCount;
            if (told.status !== undefined) await wait(50);
        }
    }
}

function shouldRetry(kind: RouteKind, { status, isComplete }: Told): boolean {
    if (status !== undefined && status < 300 && isComplete) return false;
    return mayRepeat(kind) || status === 503 || status === 429;
}

function getLastEvent(body: string): number {
    return Number([...body.matchAll(/^id: (\d+)\ndata: \S+\n\n/gm)].at(-1)?.[1] ?? 0);
}

async function sendAttempt({ fleet, ledger }: SoakCallerOptions, agent: http.Agent, attempt: Attempt): Promise<Told> {
    const { attemptId, streamId, kind, entry } = attempt;
    const sent: SentAttempt = { attemptId, streamId, kind, entry: `edge-${entry + 1}`, sentAtMs: Date.now() };
    ledger.send(sent);
    const answer = await exchange(fleet, agent, attempt);
    const told: Told = { ...sent, endedAtMs: Date.now(), ...answer };
    ledger.tell(told);
    return told;
}

type Answer = Pick<Told, "status" | "isSealed" | "isComplete" | "body">;

function exchange(fleet: Fleet, agent: http.Agent, attempt: Attempt): Promise<Answer> {
    const { kind, entry, deadlineMs } = attempt;
    return new Promise(resolve => {
        let answer: Answer = { status: undefined, isSealed: false, isComplete: false, body: "" };
        const request = http.request({
            host: fleet.entryIps[entry],
            port: fleet.ports.front + proxiedPortOffset,
            method: routeShapes[kind].type === "idempotent" ? "GET" : "POST",
            path: `/${kind}/a`,
            headers: createHeaders(attempt),
            agent,
        }, response => {
            answer = { ...answer, status: response.statusCode, isSealed: response.headers["x-worker-seal"] !== undefined };
            response.setEncoding("utf8");
            response.on("data", (text: string) => {
                answer = { ...answer, body: answer.body + text };
            });
            response.on("error", () => undefined);
            response.on("close", () => settle(response.complete));
        });
        const leave = () => request.destroy(new Error("the caller has left"));
        const timer = setTimeout(leave, attempt.leaveAfterMs ?? deadlineMs + extraWaitMs);
        request.on("error", () => settle(false));
        request.end(routeShapes[kind].type === "idempotent" ? undefined : "body");

        function settle(isComplete: boolean): void {
            clearTimeout(timer);
            resolve({ ...answer, isComplete });
        }
    });
}

function createHeaders({ attemptId, streamId, kind, deadlineMs, resumedAfterEvent }: Attempt): Readonly<Record<string, string>> {
    return {
        "host": "desk.example",
        "x-attempt-id": attemptId,
        "x-deadline-ms": String(Math.round(deadlineMs)),
        "authorization": `Bearer ${key}`,
        ...routeShapes[kind].events > 0 ? { "x-model": "m", "x-token-counts": "100,240", "x-prompt-prefix": "a1:60,b2:40" } : {},
        ...resumedAfterEvent === undefined ? {} : { "last-event-id": String(resumedAfterEvent), "resumes": streamId },
    };
}

function chooseKind(number: number): RouteKind {
    let sum = 0;
    for (const [kind, { weight }] of Object.entries(routeShapes) as readonly (readonly [RouteKind, RouteShape])[]) {
        sum += weight;
        if (number < sum) return kind;
    }
    return "order";
}

function wait(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
