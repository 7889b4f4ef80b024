/** Requests that crash the backend servers that run them, on direct dispatch. */
import { test } from "tap";
import { createDirectFleet, sendCompleteAnswer } from "./directFleet.js";
import type { DirectFleet, ServerBehavior } from "./directFleet.js";

const contactMs = 3_000;
const serverDownMs = 2_500;

test("a request that crashes each backend server is contained in the whole fleet, whichever entries it comes to", async t => {
    const fleet = await createDirectFleet(61, { entries: 3, servers: 4 });
    const crashes = crashOn(fleet, "/safe/bad");
    const lateGood: (number | undefined)[] = [];
    for (let count = 0; count < 40; count++) {
        void fleet.call(count % 3, { path: "/safe/bad", id: `bad-${count}` });
        const { status } = await fleet.simulation.runUntil(fleet.call(count % 3, { path: "/safe/good", id: `good-${count}` }));
        if (crashes.length > 0 && fleet.simulation.nowMs() > crashes[0]! + contactMs) lateGood.push(status);
        await fleet.simulation.advance(300);
    }
    t.ok(crashes.length >= 2, "the request crashes servers");
    const late = crashes.filter(atMs => crashes.length > 2 && atMs > crashes[2]! + contactMs);
    t.ok(late.length <= 3, `${late.length} sent later than the contact time after the third crash, ${crashes.length} in all`);
    t.same(lateGood.filter(status => status !== 200), [], "sound requests are served once the request is contained");
});

/** Makes each server crash when it runs a request of the path. Returns the times of the crashes. */
function crashOn(fleet: DirectFleet, path: string): number[] {
    const crashes: number[] = [];
    const behavior: ServerBehavior = async (request, response, server) => {
        if (request.path !== path) return sendCompleteAnswer(request, response, server);
        crashes.push(fleet.simulation.nowMs());
        await fleet.crashServer(server, serverDownMs);
    };
    for (const server of fleet.servers) server.behavior = behavior;
    return crashes;
}
