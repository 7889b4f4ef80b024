/** The fleet's retry budget, enforced by entries without coordination. */
import { test } from "tap";
import { createRetryWindow } from "../src/entry/direct/retryWindow.js";

const rules = { windowMs: 10_000, ratio: 0.2, slack: 56 };

test("retries of all entries stay within the budget across restarts", t => {
    for (const entryCount of [1, 5, 12, 40]) {
        let retries = 0;
        // Each entry restarts once in the window.
        for (let incarnation = 0; incarnation < 2 * entryCount; incarnation++) {
            const window = createRetryWindow(rules);
            window.updateEntryCount(entryCount);
            for (let request = 0; request < 10; request++) {
                window.recordRequest("models", request * 100);
                if (window.tryAcquire("models", request * 100)) retries++;
            }
        }
        t.ok(retries <= rules.ratio * 2 * entryCount * 10 + rules.slack, `${entryCount} entries: ${retries}`);
        t.ok(retries > 0);
    }
    t.end();
});

test("a smaller entry count does not increase an entry's share", t => {
    const window = createRetryWindow({ ...rules, slack: 48 });
    window.updateEntryCount(24);
    window.updateEntryCount(1);
    t.ok(window.tryAcquire("models", 0));
    t.notOk(window.tryAcquire("models", 0));
    t.ok(window.tryAcquire("models", 11_000), "the window has passed");
    t.end();
});
