/** The ledger of the fault soak finds what it is there for, and nothing else. */
import { test } from "tap";
import { createLedger } from "./soakLedger.js";
import type { Ledger } from "./soakLedger.js";
import type { RouteKind, Told } from "./soakTypes.js";

function send(ledger: Ledger, attemptId: string, kind: RouteKind, sentAtMs = 0, streamId = attemptId): void {
    ledger.send({ attemptId, streamId, kind, entry: "edge-1", sentAtMs });
}

function tell(ledger: Ledger, attemptId: string, kind: RouteKind, answer: Partial<Told>): void {
    const sent = { attemptId, streamId: attemptId, kind, entry: "edge-1", sentAtMs: 0 };
    ledger.tell({ ...sent, endedAtMs: 10, status: 200, isSealed: true, isComplete: true, body: `done ${attemptId}`, ...answer });
}

function run(ledger: Ledger, attemptId: string, server: string, startedAtMs = 0, endedAtMs = startedAtMs + 10, streamId = attemptId): void {
    ledger.begin({ attemptId, streamId, server, startedAtMs, answer: "whole" }).endedAtMs = endedAtMs;
}

function listRules(ledger: Ledger): readonly string[] {
    return ledger.check().map(violation => violation.rule);
}

test("a request that must not be repeated and ran although it was refused is found", async t => {
    for (const status of [408, 421, 429, 503]) {
        const ledger = createLedger();
        send(ledger, "a", "order");
        run(ledger, "a", "s1");
        tell(ledger, "a", "order", { status, isSealed: false, body: "" });
        t.same(listRules(ledger), ["refusedRan"]);
    }
});

test("a request that ran and got 502, and a refused one that may be repeated, are no findings", async t => {
    const ledger = createLedger();
    for (const [id, kind, status] of [["a", "order", 502], ["b", "lookup", 503]] as const) {
        send(ledger, id, kind);
        run(ledger, id, "s1");
        tell(ledger, id, kind, { status, isSealed: false, body: "" });
    }
    t.same(listRules(ledger), []);
});

test("two runs of a request that must not be repeated are found, two of one that may be are not", async t => {
    const ledger = createLedger();
    for (const [id, kind] of [["a", "draft"], ["b", "lookup"]] as const) {
        send(ledger, id, kind);
        run(ledger, id, "s1");
        run(ledger, id, "s2", 20);
    }
    t.same(ledger.check().map(({ rule, attemptId }) => [rule, attemptId]), [["ranTwice", "a"]]);
});

test("a run of an abandoned attempt that lasts for 400 ms beside the next one is found, whichever began first", async t => {
    for (const [abandonedAtMs, nextAtMs] of [[0, 50], [50, 0]] as const) {
        for (const [lastsMs, expected] of [[401, ["twoServersAtOnce"]], [400, []]] as const) {
            const ledger = createLedger();
            send(ledger, "a", "wording", 0);
            send(ledger, "b", "wording", 40, "a");
            run(ledger, "a", "s1", abandonedAtMs, 50 + lastsMs);
            run(ledger, "b", "s2", nextAtMs, 2_000, "a");
            t.same(listRules(ledger), expected);
        }
    }
});

test("a disturbed link excuses two servers at once, a disturbance of another server does not", async t => {
    for (const [name, expected] of [["s1", []], ["s3", ["twoServersAtOnce"]]] as const) {
        const ledger = createLedger();
        send(ledger, "a", "wording", 0);
        send(ledger, "b", "wording", 40, "a");
        ledger.disturb(name, 0, 100);
        run(ledger, "a", "s1", 0, 1_000);
        run(ledger, "b", "s2", 50, 2_000, "a");
        t.same(listRules(ledger), expected);
    }
});

test("a wrong body, a success without a seal and events out of order or of two versions are found", async t => {
    const ledger = createLedger();
    const events = (numbers: readonly number[], version: string) => numbers.map(id => `id: ${id}\ndata: ${version}\n\n`).join("");
    tell(ledger, "a", "order", { body: "done b" });
    tell(ledger, "b", "order", { isSealed: false });
    tell(ledger, "c", "draft", { body: events([1, 2, 4, 5, 6, 7, 8], "v1") });
    tell(ledger, "d", "draft", { body: events([1, 2, 3, 4], "v1") + events([5, 6, 7, 8], "v2") });
    tell(ledger, "e", "draft", { body: events([1, 2, 3, 4, 5, 6, 7, 8], "v1") });
    tell(ledger, "f", "draft", { body: events([1, 2], "v1"), isComplete: false });
    t.same(listRules(ledger), ["wrongAnswer", "wrongAnswer", "brokenOrder", "brokenOrder"]);
});
