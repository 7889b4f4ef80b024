/** Configuration sets from the operator API: the highest version wins, and a rejected set changes nothing. */
import { test } from "tap";
import { decodeHeartbeat } from "../platform/heartbeats.js";
import { createControlDirectory } from "../src/control/directory.js";
import { directoryGossipSchema } from "../src/kernel/contracts.js";
import { NotSentError } from "../src/kernel/host.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";
import { controlPort, createConfiguration, createDirectFleet, createSingleGroup } from "./directFleet.js";

test("the highest version wins in any order of arrival", async t => {
    const fleet = await createDirectFleet(31);
    const { simulation } = fleet;
    t.equal(await simulation.runUntil(fleet.replace(0, createConfiguration(7))), 200);
    t.equal(await simulation.runUntil(fleet.replace(1, createConfiguration(4))), 200);
    t.equal(await simulation.runUntil(fleet.replace(2, createConfiguration(7))), 200);
    const response = await simulation.runUntil(fleet.read(1));
    t.equal((JSON.parse(response.text) as { version: number; }).version, 7);
});

test("a different set with the current version is rejected", async t => {
    const fleet = await createDirectFleet(32);
    const { simulation } = fleet;
    const otherState = createConfiguration(1, { routes: [] });
    t.equal(await simulation.runUntil(fleet.replace(0, otherState)), 409);
    t.strictSame(JSON.parse((await simulation.runUntil(fleet.read(0))).text), createConfiguration(1));
});

test("invalid sets are rejected and change nothing", async t => {
    const fleet = await createDirectFleet(33);
    const { simulation } = fleet;
    const route = { name: "r", host: "h", path_prefix: "/r/", type: "idempotent", timeout_ms: 100, service: "models" };
    const invalid: readonly object[] = [
        createConfiguration(5, { routes: [{ ...route, service: "unknown" }] }),
        createConfiguration(5, { routes: [route, { ...route, name: "twin" }] }),
        createConfiguration(5, { routes: [{ ...route, service: undefined, split: [{ service: "models", weight: 0 }] }] }),
        createConfiguration(5, { routes: [{ ...route, timeout_ms: 0 }] }),
        createConfiguration(5, { tenants: [{ name: "a", api_keys: ["k"] }, { name: "b", api_keys: ["k"] }] }),
        { version: 5, routes: "none" },
    ];
    for (const state of invalid) t.equal(await simulation.runUntil(fleet.replace(0, state)), 400);
    t.strictSame(JSON.parse((await simulation.runUntil(fleet.read(2))).text), createConfiguration(1));
});

const wallMs = 1_800_000_000_000;
const validHeartbeat = { service: "s", address: "10.0.0.1:80", zone: "a", version: "v1", slots: 4, state: "ready", seq: 1, born: 5 };

function isDecoded(id: string, text: string): boolean {
    return decodeHeartbeat(id, text, wallMs).kind === "valid";
}

test("malformed heartbeats are not decoded", t => {
    const valid = validHeartbeat;
    t.ok(isDecoded("a", JSON.stringify(valid)));
    for (
        const bad of [{ ...valid, seq: "1" }, { ...valid, state: "odd" }, { ...valid, address: "nowhere" }, { ...valid, slots: undefined }]
    ) {
        t.notOk(isDecoded("a", JSON.stringify(bad)));
    }
    t.notOk(isDecoded("a", "{"));
    t.end();
});

test("a heartbeat with a value that later steps cannot use is not decoded", t => {
    const tooLong = "x".repeat(300);
    const odd: Readonly<Record<string, readonly unknown[]>> = {
        address: ["10.0.0.1:99999", "10.0.0.1:0", "999.0.0.1:80", "10.0.0.1"],
        slots: [1e17, 1e300, -1],
        seq: [1e308, 1.5, -1],
        born: [wallMs * 2, 1e300],
        service: [tooLong, ""],
        zone: [tooLong],
        version: [tooLong],
    };
    for (const [field, values] of Object.entries(odd)) {
        for (const value of values) {
            t.notOk(isDecoded("a", JSON.stringify({ ...validHeartbeat, [field]: value })), `${field} ${String(value)}`);
        }
    }
    t.notOk(isDecoded(tooLong, JSON.stringify(validHeartbeat)));
    t.notOk(isDecoded("", JSON.stringify(validHeartbeat)));
    const nested = `${"[".repeat(200_000)}${"]".repeat(200_000)}`;
    t.ok(isDecoded("a", JSON.stringify(validHeartbeat).replace("{", `{"nested":${nested},`)));
    t.end();
});

test("one record that cannot be used does not spoil the others of a message between control VMs", t => {
    const host = createSimulation(35).createVm("10.0.0.1").host;
    const directory = createControlDirectory(host, "i", createSingleGroup());
    const check = decodeHeartbeat("a", JSON.stringify(validHeartbeat), wallMs);
    if (check.kind !== "valid") throw new Error(check.problem);
    const records = [{ ...check.record, backendServer: "b", maxRunning: 1e17 }, null, check.record];
    const message = directoryGossipSchema.parse({ servers: records, watchers: [] });
    directory.spread(message);
    t.equal(directory.get("a")?.address, "10.0.0.1:80");
    t.equal(directory.get("b"), undefined);
    t.end();
});

test("a backend server whose address is none is not reached, and ends no process", async t => {
    const { network } = createNodeHost({ fleetSecret: "", createLogger: createSilentLogger });
    const connections = network.createBackendConnections({ connectTimeoutMs: 100, maxConnections: 2 });
    for (const address of ["10.0.0.1:99999", "999.0.0.1:80", "nowhere"]) {
        await t.rejects(connections.request(address, { method: "GET", path: "/", headers: {} }), NotSentError);
        t.equal(await connections.canConnect(address), false);
    }
    connections.close();
});

test("a path that cannot be decoded is rejected", async t => {
    const fleet = await createDirectFleet(34);
    const request = { method: "POST", path: "/workers/%zz/heartbeat", body: Buffer.from("{}") };
    const address = `${fleet.controls[0]!.vm.ip}:${controlPort}`;
    t.equal((await fleet.simulation.runUntil(fleet.callerVm.host.network.request(address, request))).status, 400);
});
