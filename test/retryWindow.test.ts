/** The fleet's retry budget, kept by entries that do not ask each other. */
import { test } from "tap";
import { createRetryWindow } from "../src/entry/direct/retryWindow.js";

const rules = { windowMs: 10_000, ratio: 0.2, slack: 56 };

test("repeats of all entries stay within the budget, with restarts", t => {
    for (const entryCount of [1, 5, 12, 40]) {
        let taken = 0;
        // Each entry restarts once in the window.
        for (let life = 0; life < 2 * entryCount; life++) {
            const window = createRetryWindow(rules);
            window.learnEntryCount(entryCount);
            for (let request = 0; request < 10; request++) {
                window.noteRequest("models", request * 100);
                if (window.tryTake("models", request * 100)) taken++;
            }
        }
        t.ok(taken <= rules.ratio * 2 * entryCount * 10 + rules.slack, `${entryCount} entries: ${taken}`);
        t.ok(taken > 0);
    }
    t.end();
});

test("a smaller count does not widen an entry's part", t => {
    const window = createRetryWindow({ ...rules, slack: 48 });
    window.learnEntryCount(24);
    window.learnEntryCount(1);
    t.ok(window.tryTake("models", 0));
    t.notOk(window.tryTake("models", 0));
    t.ok(window.tryTake("models", 11_000), "the window has passed");
    t.end();
});
