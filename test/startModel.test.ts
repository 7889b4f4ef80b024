/** What is learnt of the time until backend servers begin to answer. */
import { test } from "tap";
import { createLatencyModel } from "../src/entry/direct/startModel.js";

function learn(toTookMs: (tokens: number) => number) {
    const model = createLatencyModel();
    for (let index = 0; index < 40; index++) {
        const tokens = 500 + (index * 977) % 9_000;
        model.observe(tokens, toTookMs(tokens), index * 100);
    }
    return model;
}

test("the rate and the base are learnt", t => {
    const model = learn(tokens => 60 + tokens / 40);
    t.ok(Math.abs(model.getTokensPerMs(4_000) - 40) < 4, "rate");
    t.ok(Math.abs(model.predictMs(4_000, 4_000) - 160) < 12, "whole time");
    t.end();
});

test("what was learnt is forgotten", t => {
    const model = learn(() => 900);
    t.ok(model.predictMs(1_000, 4_000) > 600);
    t.ok(model.predictMs(1_000, 60_000) < 100);
    t.end();
});

test("a few equal sizes give no wild slope", t => {
    const model = createLatencyModel();
    for (let index = 0; index < 5; index++) model.observe(600, 30, index);
    const tookMs = model.predictMs(20_000, 10);
    t.ok(tookMs > 150 && tookMs < 700);
    t.end();
});
