/**
 * A backend server leaves by its deregistration alone, control acknowledges it, and all processes of the fleet are killed at the same moment
 * and come back. A heartbeat that the server sent before it left arrives seconds late. The server must get no requests more than drain_ms
 * after the acknowledgement.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { bounds, CannotRun, hasTrouble, runCase, sleep } from "../lib-2/fleet.mjs";
import { createDesiredState, createServer, send } from "../lib-2/servers.mjs";

const service = "shopdesk";
const downMs = 700;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ fleet, record }) => {
    const cores = fleet.addCore(3);
    const edges = fleet.addEdge(2);
    for (const machine of [...cores, ...edges]) fleet.start(machine);
    const servers = ["i-1", "i-2", "i-3"].map((id, i) => createServer({ fleet, record, id, service, zone: fleet.zones[i] }));
    const [leaver] = servers;
    await fleet.configure(createDesiredState({ version: 1, service }));
    await Promise.all(servers.map(server => server.start()));
    await fleet.waitUntilReady(edges);
    await sleep(2_000);
    await sendBurst("before");
    if (!leaver.arrivals.some(arrival => arrival.ran)) throw new CannotRun("the server got no requests before it left");

    // On its way to control. The server gets no answer to it within a second and goes on.
    const lateHeartbeat = leaver.createHeartbeat();
    record.write(`${leaver.id} sends a heartbeat (state ready, seq ${lateHeartbeat.seq}) that is held up on its way`);
    await sleep(1_000);
    leaver.stopBeats();
    leaver.isLeaving = true;
    const node = await leaver.announce({ born: leaver.born, seq: lateHeartbeat.seq + 1 }, "deregister");
    if (node === undefined) throw new CannotRun("the deregistration was not acknowledged");
    const leftAt = Date.now();
    record.write(`${node.name} acknowledges the deregistration of ${leaver.id}`);
    await sleep(300);
    if (hasTrouble) {
        for (const machine of [...cores, ...edges]) fleet.kill(machine);
        await sleep(downMs);
        for (const machine of [...cores, ...edges]) fleet.start(machine);
    }
    await sleep(6_000 - (Date.now() - leftAt));
    await fleet.waitUntilReady(edges);
    const answer = await leaver.sendHeartbeat(cores[1], lateHeartbeat);
    record.write(`the late heartbeat of ${leaver.id} arrives at ${cores[1].name}: ${answer.status}`);
    await sleep(8_500 - (Date.now() - leftAt));
    await sendBurst("after");
    await sleep(500);
    for (const server of servers) server.end();

    const late = leaver.arrivals.filter(arrival => arrival.ran && arrival.at > leftAt + bounds.drain_ms);
    for (const { requestId, at } of late) record.write(`${requestId} reached ${leaver.id} ${at - leftAt} ms after the acknowledgement`);
    return late.length === 0 ? [] : [`DRAIN: ${late.length} requests reached ${leaver.id} later than ${bounds.drain_ms} ms after it was gone`];

    async function sendBurst(when) {
        const answers = await Promise.all(edges.flatMap(edge => Array.from({ length: 8 }, () => send({ edge }))));
        for (const { requestId, edge, status, sentAt, endedAt } of answers) {
            const server = servers.find(({ arrivals }) => arrivals.some(arrival => arrival.requestId === requestId))?.id;
            record.write(`${when}: ${requestId} to ${edge.name}: ${status} after ${endedAt - sentAt} ms, ran at ${server ?? "none"}`);
        }
    }
});
