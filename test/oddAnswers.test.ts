/** Answers that are no HTTP, read by a program as the deploy file bundles it: one of them must not hold the event loop. */
import type nodeAssert from "node:assert";
import { execFile } from "node:child_process";
import { promises as fs } from "node:fs";
import { createRequire } from "node:module";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { promisify } from "node:util";
import { test } from "tap";
import type * as backendConnections from "../src/kernel/backendConnections.js";
import type { BackendConnections } from "../src/kernel/host.js";
import { nodeClock } from "../src/kernel/hostNode.js";
import { maxMessageBytes } from "../src/kernel/readLimits.js";
import { readAll } from "../src/kernel/tasks.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";

const run = promisify(execFile);
const requireModule = createRequire(import.meta.url);
/** Processor time that one answer may take. The shortest time limit of a request is a few hundred milliseconds. */
const maxHoldMs = 100;
const answerTimeoutMs = 200;

const lengthAndBody = "Content-Length: 2\r\n\r\nok";
const oddStatuses = [
    "000",
    "001",
    "009",
    "010",
    "042",
    "099",
    "100",
    "101",
    "102",
    "199",
    "204",
    "205",
    "304",
    "600",
    "999",
    "0200",
    "1000",
    "-1",
    "",
];
const oddHeads = [
    ["a status without a reason", `HTTP/1.1 200\r\n${lengthAndBody}`],
    ["an upgrade that nobody asked for", `HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n${lengthAndBody}`],
    ["an upgrade in a final answer", `HTTP/1.1 200 OK\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n${lengthAndBody}`],
    ["an upgrade with an odd status", `HTTP/1.1 000 OK\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n${lengthAndBody}`],
    ["an informational answer with a body in chunks", "HTTP/1.1 102 Wait\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"],
    ["an odd status in chunks", "HTTP/1.1 050 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"],
    ["an odd status without a length", "HTTP/1.1 050 OK\r\nConnection: close\r\n\r\nok"],
    ["two lengths", `HTTP/1.1 200 OK\r\nContent-Length: 3\r\n${lengthAndBody}`],
    ["a length and chunks", `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n${lengthAndBody}`],
    ["a length that is no number", "HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nok"],
    ["a negative length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok"],
    ["a chunk whose size is no number", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nok\r\n0\r\n\r\n"],
    ["a chunk longer than its size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n"],
    ["a header without a name", `HTTP/1.1 200 OK\r\n: value\r\n${lengthAndBody}`],
    ["a header without a colon", `HTTP/1.1 200 OK\r\nvalue\r\n${lengthAndBody}`],
    ["a folded header", `HTTP/1.1 200 OK\r\nA: b\r\n c\r\n${lengthAndBody}`],
    ["a zero byte in a header", `HTTP/1.1 200 OK\r\nA: b\0c\r\n${lengthAndBody}`],
    ["a trailer without a colon", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nvalue\r\n\r\n"],
    ["another version", `HTTP/2.0 200 OK\r\n${lengthAndBody}`],
    ["a request", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"],
    ["more bytes after the answer", `HTTP/1.1 200 OK\r\n${lengthAndBody}more`],
    ["two answers", `HTTP/1.1 200 OK\r\n${lengthAndBody}HTTP/1.1 200 OK\r\n${lengthAndBody}`],
    ["two answers, the second with an odd status", `HTTP/1.1 200 OK\r\n${lengthAndBody}HTTP/1.1 000 OK\r\n${lengthAndBody}`],
    ["more header lines than the limit allows, read at once", `HTTP/1.1 200 OK\r\n${"A: b\r\n".repeat(10_000)}\r\n`],
    [
        "more trailer lines than the limit allows, read at once",
        `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n${"A: b\r\n".repeat(10_000)}\r\n`,
    ],
    ["noise", "\x16\x03\x01\x02\x00\x01\x00"],
] as const;
const oddAnswers: ReadonlyMap<string, string> = new Map<string, string>([
    ...oddStatuses.map(status => [`status ${status}`, `HTTP/1.1 ${status} OK\r\n${lengthAndBody}`] as const),
    ...oddHeads,
]);

/** Bundles entry points with the flags of the deploy file's build, into a new folder. */
async function bundle(entryPoints?: readonly string[]): Promise<string> {
    const { scripts } = JSON.parse(await fs.readFile("package.json", "utf8")) as { readonly scripts: { readonly bundle: string; }; };
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), "lovage-bundle-"));
    const words = scripts.bundle.split(" ").slice(1);
    const flags = words.filter(word => word.startsWith("--") && !word.startsWith("--outdir="));
    const inputs = entryPoints ?? words.filter(word => !word.startsWith("--"));
    await run("node_modules/.bin/esbuild", [...inputs, ...flags, `--outdir=${folder}`]);
    return folder;
}

/** Makes one request that gets this answer and returns the longest processor time between two turns of the event loop. */
async function measureHold(connections: BackendConnections, answer: string): Promise<number> {
    const server = net.createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.write(answer, "latin1"));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    let maxTurnMs = 0;
    let isDone = false;
    const watch = async () => {
        while (!isDone) {
            const before = process.cpuUsage();
            await new Promise(resolve => setImmediate(resolve));
            const used = process.cpuUsage(before);
            maxTurnMs = Math.max(maxTurnMs, (used.user + used.system) / 1_000);
        }
    };
    const watching = watch();
    const signal = AbortSignal.timeout(answerTimeoutMs);
    try {
        const response = await connections.request(address, { method: "GET", path: "/", headers: {}, signal });
        await readAll(response.body, maxMessageBytes.answer);
    }
    catch {
        // Most of these answers end in an error. Here only the time counts.
    }
    isDone = true;
    await watching;
    connections.close();
    await new Promise(resolve => server.close(resolve));
    return maxTurnMs;
}

test("one odd answer of a backend server does not hold a bundled program", async t => {
    const folder = await bundle(["src/kernel/backendConnections.ts"]);
    const holds: Record<string, number> = {};
    let copies = 0;
    for (const [name, answer] of oddAnswers) {
        // Node.js remembers the text of a failed assertion by file and place, so each answer needs a program of its own.
        const file = path.join(folder, `${copies++}.cjs`);
        await fs.copyFile(path.join(folder, "backendConnections.cjs"), file);
        const { createNodeBackendConnections } = requireModule(file) as typeof backendConnections;
        const connections = createNodeBackendConnections(
            { connectTimeoutMs: 500, maxConnections: 1 },
            { clock: nodeClock, log: createSilentLogger() },
        );
        const holdMs = await measureHold(connections, answer);
        if (holdMs > maxHoldMs) holds[name] = holdMs;
    }
    t.same(holds, {}, "milliseconds of processor time by answer");
    await fs.rm(folder, { recursive: true });
});

test("no bundled program asserts with the module of Node.js, which parses the source to word a failure", async t => {
    const folder = await bundle();
    const programs = await fs.readdir(folder);
    t.same(programs.sort(), ["agent.cjs", "control.cjs", "entry.cjs"]);
    for (const program of programs) {
        const text = await fs.readFile(path.join(folder, program), "utf8");
        t.notMatch(text, /(require|import)\("(node:)?assert(\/strict)?"\)/, program);
    }
    await fs.rm(folder, { recursive: true });
});

test("an assertion of a library that fails says so without the values, and one that holds passes", t => {
    const assert: typeof nodeAssert = requireModule(path.resolve("dist/src/kernel/plainAssert.cjs"));
    t.doesNotThrow(() => assert(true));
    t.doesNotThrow(() => assert.strictEqual(1, 1));
    t.throws(() => assert(false), { code: "ERR_ASSERTION", message: "an assertion failed" });
    t.throws(() => assert.ok(0, "no answer"), { code: "ERR_ASSERTION", message: "no answer" });
    t.throws(() => assert.equal("secret", "other"), { code: "ERR_ASSERTION", message: "an assertion failed: equal" });
    t.throws(() => assert(false, new RangeError("own")), { name: "RangeError" });
    t.type(assert.AssertionError, "function");
    t.end();
});
