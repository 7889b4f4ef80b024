/** A backend server of the fault soak, in the platform's format. It records each run and answers some requests as faulty servers do. */
import * as http from "node:http";
import type { Socket } from "node:net";
import type { Ledger } from "./soakLedger.js";
import { proxiedPortOffset, resetSocket, startProxy } from "./soakProxy.js";
import type { Proxy } from "./soakProxy.js";
import { routeShapes } from "./soakTypes.js";
import type { Fleet, FleetLibrary, RouteKind, RouteShape, Run } from "./soakTypes.js";

/** How a server answers a request. */
type AnswerKind =
    | "whole"
    | "failed"
    | "refused"
    | "refusedWithPause"
    | "refusedTwice"
    | "reset"
    | "ended"
    | "cutHead"
    | "cutBody"
    | "unsealed"
    | "unsealed503"
    | "unsealed429"
    | "unsealed408"
    | "otherId"
    | "noId"
    | "copied"
    | "surplus"
    | "closing";

/** Shares of the kinds of answers. The rest is whole. */
const answerShares: Readonly<Partial<Record<AnswerKind, number>>> = {
    failed: 0.03,
    refused: 0.06,
    refusedWithPause: 0.01,
    refusedTwice: 0.03,
    reset: 0.02,
    ended: 0.02,
    cutHead: 0.01,
    cutBody: 0.01,
    unsealed: 0.01,
    unsealed503: 0.01,
    unsealed429: 0.01,
    unsealed408: 0.01,
    otherId: 0.01,
    noId: 0.01,
    copied: 0.02,
    surplus: 0.01,
    closing: 0.04,
};

/** A request that a server has read. */
interface Exchange {
    readonly softwareVersion: string;
    readonly shape: RouteShape;
    readonly firstEvent: number;
    readonly response: http.ServerResponse;
    readonly socket: Socket;
    readonly run: Run | undefined;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
}

const answerers: Readonly<Record<AnswerKind, (exchange: Exchange) => void>> = {
    whole: writeWhole,
    failed: ({ response, headers }) => void response.writeHead(500, { ...headers, "Content-Length": "4" }).end("fail"),
    refused: ({ response, headers }) => writeRefusal(response, headers),
    refusedWithPause: ({ response, headers }) => writeRefusal(response, { ...headers, "Retry-After": "0.3" }),
    refusedTwice: ({ response, headers }) => writeRefusal(response, headers),
    reset: ({ socket }) => resetSocket(socket),
    ended: ({ socket }) => void socket.end(),
    cutHead: ({ socket }) => void socket.end("HTTP/1.1 200 OK\r\nX-Att"),
    cutBody: ({ socket, headers, body }) => writeRaw(socket, 200, headers, body.slice(0, 3), body.length, true),
    unsealed: ({ socket, headers, body }) => writeRaw(socket, 200, withoutSeal(headers), body),
    unsealed503: ({ socket, headers }) => writeRaw(socket, 503, withoutSeal(headers), "busy"),
    unsealed429: ({ socket, headers }) => writeRaw(socket, 429, withoutSeal(headers), "busy"),
    unsealed408: ({ socket, headers }) => writeRaw(socket, 408, withoutSeal(headers), "late"),
    otherId: ({ socket, headers, body }) => writeRaw(socket, 200, { ...headers, "X-Attempt-Id": "other" }, body),
    noId: ({ socket, headers, body }) => writeRaw(socket, 200, { "X-Worker-Seal": headers["X-Worker-Seal"] ?? "" }, body),
    copied(exchange) {
        writeWhole(exchange);
        const { socket, headers, body } = exchange;
        setTimeout(() => writeRaw(socket, 200, headers, body), copyDelayMs);
    },
    surplus(exchange) {
        writeWhole(exchange);
        setTimeout(() => exchange.socket.writable && exchange.socket.write("surplus bytes\r\n"), copyDelayMs);
    },
    closing: exchange => writeWhole({ ...exchange, headers: { ...exchange.headers, "Connection": "close" } }),
};

/** A server and the proxy through which the fleet reaches it. */
export interface SoakServer {
    readonly id: string;
    readonly softwareVersion: string;
    readonly proxy: Proxy;
    /** Ends all work and starts anew under an id, which may be the same, with a version of its software. It may announce itself later. */
    restart(id: string, softwareVersion: string, announceAfterMs?: number): void;
    setState(state: "ready" | "draining"): void;
    stop(): Promise<void>;
}

/** Options of a server. */
export interface SoakServerOptions {
    readonly fleet: Fleet;
    readonly library: FleetLibrary;
    readonly ledger: Ledger;
    readonly random: () => number;
    readonly index: number;
    readonly id: string;
    readonly service: RouteShape["pool"];
}

const heartbeatMs = 1_200;
const eventGapMs = 40;
const copyDelayMs = 60;
/** Copies of refusals are written within this time after the next request. Shorter than the work on it. */
const maxCopyDelayMs = 20;
/** Share of the requests for another server whose refusal is written twice. */
const misdirectedTwiceShare = 0.5;
const slots = 64;

/** Starts a server behind a proxy. */
export async function startSoakServer(options: SoakServerOptions): Promise<SoakServer> {
    const { fleet, library, ledger, random, index, service } = options;
    const host = fleet.workerIps[index]!;
    const port = fleet.ports.worker;
    const sockets = new Set<Socket>();
    /** The last run on each connection. A connection carries one request at a time. */
    const runs = new WeakMap<Socket, Run>();
    /** Copies of refusals that are written where the next answer is due. */
    const copies = new WeakMap<Socket, string>();
    let { id } = options;
    let softwareVersion = "v1";
    let bornMs = Date.now();
    let sequence = 0;
    let state: "ready" | "draining" = "ready";
    let isStopped = false;
    let announcesFromMs = 0;
    const server = http.createServer((request, response) => {
        request.resume();
        request.on("end", () => take(request, response));
        response.on("error", () => undefined);
    });
    server.keepAliveTimeout = 3_000;
    server.on("connection", (socket: Socket) => {
        sockets.add(socket);
        // A server drops a request as soon as its connection ends.
        socket.once("end", () => endRun(runs.get(socket)));
        socket.once("close", () => {
            sockets.delete(socket);
            endRun(runs.get(socket));
        });
        socket.on("error", () => undefined);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port + proxiedPortOffset, host, resolve);
    });
    const proxy = await startProxy({ host, port, targetPort: port + proxiedPortOffset });
    const timer = setInterval(() => void announce(), heartbeatMs);
    await announce();
    return {
        get id() {
            return id;
        },
        get softwareVersion() {
            return softwareVersion;
        },
        proxy,
        restart(newId, newVersion, announceAfterMs = 0) {
            for (const socket of sockets) resetSocket(socket);
            id = newId;
            softwareVersion = newVersion;
            bornMs = Date.now();
            sequence = 0;
            state = "ready";
            announcesFromMs = bornMs + announceAfterMs;
            setTimeout(() => void announce(), announceAfterMs);
        },
        setState(newState) {
            state = newState;
            void announce();
        },
        async stop() {
            isStopped = true;
            clearInterval(timer);
            proxy.close();
            for (const socket of sockets) socket.destroy();
            await new Promise(resolve => server.close(resolve));
        },
    };

    function take(request: http.IncomingMessage, response: http.ServerResponse): void {
        const attemptId = request.headers["x-attempt-id"];
        const kind = request.url?.split("/")[1] as RouteKind;
        if (typeof attemptId !== "string") return void response.writeHead(400, { "X-Not-Executed": "1", "Content-Length": "0" }).end();
        const headers = { "X-Attempt-Id": attemptId, "X-Worker-Load": `${sockets.size},0,${slots}` };
        writeCopy(request.socket);
        if (request.headers["x-expect-worker"] !== id) {
            if (random() < misdirectedTwiceShare) copies.set(request.socket, createMisdirectedText(attemptId));
            return void response.writeHead(421, { ...headers, "Content-Length": "0" }).end();
        }
        const answer = chooseAnswer(random());
        if (answer === "refusedTwice") copies.set(request.socket, createRefusalText(attemptId));
        const isRefused = answer === "refused" || answer === "refusedWithPause" || answer === "refusedTwice";
        const run = isRefused ? undefined : beginRun(request, attemptId, answer);
        const exchange: Exchange = {
            softwareVersion,
            shape: routeShapes[kind],
            firstEvent: Number(request.headers["last-event-id"] ?? 0) + 1,
            response,
            socket: request.socket,
            run,
            headers: isRefused ? headers : { ...headers, "X-Worker-Seal": `seal.${id}.${attemptId}` },
            body: `done ${attemptId}`,
        };
        const workMs = isRefused ? 0 : exchange.shape.workMs * (0.5 + random());
        setTimeout(() => {
            if (request.socket.destroyed) return;
            answerers[answer](exchange);
            if (!isEventAnswer(exchange, answer)) endRun(run);
        }, workMs);
    }

    function writeCopy(socket: Socket): void {
        const text = copies.get(socket);
        if (text === undefined) return;
        copies.delete(socket);
        setTimeout(() => socket.writable && socket.write(text), random() * maxCopyDelayMs);
    }

    function beginRun({ headers, socket }: http.IncomingMessage, attemptId: string, answer: AnswerKind): Run {
        const resumed = headers["resumes"];
        const streamId = typeof resumed === "string" ? resumed : attemptId;
        const run = ledger.begin({ attemptId, streamId, server: id, startedAtMs: Date.now(), answer });
        runs.set(socket, run);
        return run;
    }

    async function announce(): Promise<void> {
        if (Date.now() < announcesFromMs) return;
        const body = JSON.stringify({
            service,
            address: `${host}:${port}`,
            zone: fleet.zones[index % fleet.zones.length],
            version: softwareVersion,
            slots,
            state,
            cold_left_ms: 0,
            seq: ++sequence,
            born: bornMs,
        });
        const path = `/workers/${id}/heartbeat`;
        const headers = { "content-type": "application/json" };
        for (const controlIp of fleet.controlIps) {
            if (isStopped) return;
            const call = { host: controlIp, port: fleet.ports.control, method: "POST", path, headers, body, timeoutMs: 1_000 };
            if ((await library.send(call)).status === 200) return;
        }
    }
}

function endRun(run: Run | undefined): void {
    if (run !== undefined) run.endedAtMs ??= Date.now();
}

function chooseAnswer(number: number): AnswerKind {
    let sum = 0;
    for (const [kind, share] of Object.entries(answerShares)) {
        sum += share;
        if (number < sum) return kind as AnswerKind;
    }
    return "whole";
}

function isEventAnswer({ shape }: Exchange, answer: AnswerKind): boolean {
    return shape.events > 0 && (answer === "whole" || answer === "copied" || answer === "surplus" || answer === "closing");
}

function writeRefusal(response: http.ServerResponse, headers: Exchange["headers"]): void {
    response.writeHead(503, { ...headers, "X-Not-Executed": "1", "Content-Length": "0" }).end();
}

function createRefusalText(attemptId: string): string {
    return `HTTP/1.1 503 Busy\r\nX-Attempt-Id: ${attemptId}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
}

function createMisdirectedText(attemptId: string): string {
    return `HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: ${attemptId}\r\nContent-Length: 0\r\n\r\n`;
}

function withoutSeal({ "X-Worker-Seal": _, ...headers }: Exchange["headers"]): Exchange["headers"] {
    return headers;
}

/** Writes an answer past Node.js, which sees no answer to the request. So the connection is closed after it. */
function writeRaw(
    socket: Socket,
    status: number,
    headers: Exchange["headers"],
    body: string,
    length = body.length,
    isCut = false,
): void {
    if (!socket.writable) return;
    const lines = Object.entries({ ...headers, "Content-Length": String(length) }).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`HTTP/1.1 ${status} S\r\n${lines.join("")}\r\n${body}`);
    if (isCut) resetSocket(socket);
    else setTimeout(() => socket.end(), copyDelayMs);
}

function writeWhole(exchange: Exchange): void {
    if (exchange.shape.events > 0) return writeEvents(exchange);
    const { response, headers, body } = exchange;
    response.writeHead(200, { ...headers, "Content-Length": String(body.length) }).end(body);
}

function writeEvents({ response, headers, shape, firstEvent, softwareVersion, run, socket }: Exchange): void {
    response.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
    let event = firstEvent;
    const timer = setInterval(() => {
        if (socket.destroyed || response.destroyed) return clearInterval(timer);
        if (event <= shape.events) response.write(`id: ${event}\ndata: ${softwareVersion}\n\n`);
        event++;
        if (event <= shape.events) return;
        clearInterval(timer);
        response.end();
        endRun(run);
    }, eventGapMs);
}
