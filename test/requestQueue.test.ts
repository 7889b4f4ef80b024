/** The order in which an entry works on requests, under load. */
import { test } from "tap";
import { createRequestQueue } from "../src/entry/direct/requestQueue.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { createSimulation } from "../src/standins/fakeHost.js";

test("an entry with too little processor time refuses at once what it cannot begin in time", async t => {
    const simulation = createSimulation(1);
    const vm = simulation.createVm("10.0.0.1");
    const queue = createRequestQueue(vm.host);
    const waitsMs: number[] = [];
    const refusalsMs: number[] = [];
    const arrive = async (sentAtMs: number) => {
        vm.compute(1);
        queue.recordConnection();
        const isAdmitted = await queue.takeTurn();
        (isAdmitted ? waitsMs : refusalsMs).push(simulation.nowMs() - sentAtMs);
        if (isAdmitted) vm.compute(20);
    };
    for (let count = 0; count < 1_000; count++) {
        const sentAtMs = simulation.nowMs();
        vm.host.timers.after(0, () => void arrive(sentAtMs));
        await simulation.advance(10);
    }
    await simulation.advance(1_000);
    t.ok(Math.max(...waitsMs) <= 300, `longest wait ${Math.max(...waitsMs)} ms`);
    t.ok(Math.max(...refusalsMs) <= 150, `slowest refusal ${Math.max(...refusalsMs)} ms`);
    t.ok(waitsMs.length >= 300, `${waitsMs.length} of 1000 admitted`);
    t.equal(waitsMs.length + refusalsMs.length, 1_000);
});

test("an entry with time to spare refuses nothing", async t => {
    const simulation = createSimulation(2);
    const vm = simulation.createVm("10.0.0.1");
    const queue = createRequestQueue(vm.host);
    let admitted = 0;
    for (let count = 0; count < 200; count++) {
        queue.recordConnection();
        void queue.takeTurn().then(isAdmitted => {
            if (!isAdmitted) return;
            admitted++;
            vm.compute(5);
        });
        await simulation.advance(10);
    }
    await simulation.advance(100);
    t.equal(admitted, 200);
});

test("a burst of connections is accepted before the requests are worked on one by one", async t => {
    const ignore = () => undefined;
    const host = createNodeHost({ fleetSecret: "s", createLogger: () => ({ debug: ignore, info: ignore, warn: ignore, error: ignore }) });
    const queue = createRequestQueue(host);
    let accepted = 0;
    const acceptedAtStart: number[] = [];
    const listener = await host.network.serve({
        address: "127.0.0.1:0",
        maxBodyBytes: 1_000,
        onConnection() {
            accepted++;
            queue.recordConnection();
        },
        async handler(_, response) {
            if (await queue.takeTurn()) {
                acceptedAtStart.push(accepted);
                const untilMs = host.clock.nowMs() + 10;
                while (host.clock.nowMs() < untilMs);
            }
            response.start(200, { "content-length": "0", "connection": "close" });
            response.end();
        },
    });
    const requests = Array.from({ length: 60 }, () => host.network.request(listener.address, { method: "GET", path: "/" }));
    t.same((await Promise.all(requests)).map(reply => reply.status), Array.from({ length: 60 }, () => 200));
    t.ok((acceptedAtStart[4] ?? accepted) >= 25, `accepted at the start of each request: ${acceptedAtStart.join(" ")}`);
    await listener.close();
});
