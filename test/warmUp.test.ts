/** Requests that a new entry makes to itself, on real sockets. */
import { test } from "tap";
import { platformProtocol } from "../platform/requests.js";
import { warmUp } from "../src/entry/direct/warmUp.js";
import type { Host, LogFields } from "../src/kernel/host.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";

const identity = { vm: "e1", role: "entry", failureDomain: "a", incarnation: "i1", address: "127.0.0.1:1" } as const;

function createHost(lines: LogFields[]): Host {
    const record = (_message: string, fields: LogFields = {}) => void lines.push(fields);
    return createNodeHost({
        fleetSecret: "",
        createLogger: () => ({ ...createSilentLogger(), info: record, warn: record, error: record }),
    });
}

test("the sample requests of a warm-up are all answered, and leave one line in the log", async t => {
    const lines: LogFields[] = [];
    const { answered, failed } = await warmUp(createHost(lines), { protocol: platformProtocol, identity, isOver: () => false });
    t.equal(failed, 0);
    t.ok(answered >= 80, `${answered} answered`);
    t.equal(lines.length, 1);
});

test("a warm-up ends at once when callers send requests", async t => {
    let checks = 0;
    const { answered } = await warmUp(createHost([]), { protocol: platformProtocol, identity, isOver: () => ++checks > 5 });
    t.equal(answered, 5);
});
