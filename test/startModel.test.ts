/** Latency model of the time until a backend server starts to answer. */
import { test } from "tap";
import { createLatencyModel } from "../src/entry/direct/latencyModel.js";

function trainModel(getLatencyMs: (tokens: number) => number) {
    const model = createLatencyModel();
    for (let index = 0; index < 40; index++) {
        const tokens = 500 + (index * 977) % 9_000;
        model.observe(tokens, getLatencyMs(tokens), index * 100);
    }
    return model;
}

test("the prefill rate and the base latency are estimated", t => {
    const model = trainModel(tokens => 60 + tokens / 40);
    t.ok(Math.abs(model.getTokensPerMs(4_000) - 40) < 4, "rate");
    t.ok(Math.abs(model.predictMs(4_000, 4_000) - 160) < 12, "total latency");
    t.end();
});

test("old observations decay", t => {
    const model = trainModel(() => 900);
    t.ok(model.predictMs(1_000, 4_000) > 600);
    t.ok(model.predictMs(1_000, 60_000) < 100);
    t.end();
});

test("a few observations of equal size keep the prior slope", t => {
    const model = createLatencyModel();
    for (let index = 0; index < 5; index++) model.observe(600, 30, index);
    const latencyMs = model.predictMs(20_000, 10);
    t.ok(latencyMs > 150 && latencyMs < 700);
    t.end();
});
