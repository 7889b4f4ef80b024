/** Configuration sets from the operator API: the highest version wins, and a rejected set changes nothing. */
import { test } from "tap";
import { decodeHeartbeat } from "../platform/heartbeats.js";
import { controlPort, createConfiguration, createDirectFleet } from "./directFleet.js";

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

test("malformed heartbeats are not decoded", t => {
    const valid = { service: "s", address: "10.0.0.1:80", zone: "a", version: "v1", slots: 4, state: "ready", seq: 1, born: 5 };
    t.ok(decodeHeartbeat("a", JSON.stringify(valid)));
    for (
        const bad of [{ ...valid, seq: "1" }, { ...valid, state: "odd" }, { ...valid, address: "nowhere" }, { ...valid, slots: undefined }]
    ) {
        t.equal(decodeHeartbeat("a", JSON.stringify(bad)), undefined);
    }
    t.equal(decodeHeartbeat("a", "{"), undefined);
    t.end();
});

test("a path that cannot be decoded is rejected", async t => {
    const fleet = await createDirectFleet(34);
    const request = { method: "POST", path: "/workers/%zz/heartbeat", body: Buffer.from("{}") };
    const address = `${fleet.controls[0]!.vm.ip}:${controlPort}`;
    t.equal((await fleet.simulation.runUntil(fleet.callerVm.host.network.request(address, request))).status, 400);
});
