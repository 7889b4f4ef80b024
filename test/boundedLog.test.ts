/** Rate limit and backpressure limit of the log writer. */
import { test } from "tap";
import { createBoundedWriter } from "../src/kernel/log.js";

test("lines beyond the limit per second are dropped and counted", t => {
    const lines: string[] = [];
    const stream = { write: (text: string) => lines.push(text) > 0, writableLength: 0 };
    let nowMs = 0;
    const write = createBoundedWriter(stream, () => nowMs, 3);
    for (let count = 0; count < 10; count++) write(`line ${count}`);
    t.equal(lines.length, 3);
    nowMs = 1_000;
    write("later");
    t.match(lines.at(-1), /"count":7/);
    t.equal(lines.at(-2), "later\n");
    t.end();
});

test("lines are dropped while too much output is pending", t => {
    const lines: string[] = [];
    const stream = { write: (text: string) => lines.push(text) > 0, writableLength: 10_000_000 };
    const write = createBoundedWriter(stream, () => 0);
    write("line");
    t.equal(lines.length, 0);
    t.end();
});
