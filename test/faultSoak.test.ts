/**
 * Real processes under faults: what each server ran agrees with what each caller was told. Seeds and time can be set:
 * `LOVAGE_SOAK_SEEDS=9:12 LOVAGE_SOAK_MS=30000 LOVAGE_SOAK_LOGS=folder node dist/test/faultSoak.test.js`.
 */
import { test } from "tap";
import { runSoak } from "./soakRun.js";

const [firstSeed = 1, lastSeed = firstSeed] = (process.env["LOVAGE_SOAK_SEEDS"] ?? "1:3").split(":").map(Number);
const durationMs = Number(process.env["LOVAGE_SOAK_MS"] ?? 12_000);
const entryCount = Number(process.env["LOVAGE_SOAK_ENTRIES"] ?? 4);
const callerCount = Number(process.env["LOVAGE_SOAK_CALLERS"] ?? 40);
const logFolder = process.env["LOVAGE_SOAK_LOGS"];

for (let seed = firstSeed; seed <= lastSeed; seed++) {
    test(`what was refused did not run, and what may run once ran once, under faults of processes, links and servers (seed ${seed})`, async t => {
        const { violations, counts, maxStallMs } = await runSoak({ seed, durationMs, entryCount, callerCount, logFolder });
        t.comment(JSON.stringify({ counts, maxStallMs }));
        t.ok(counts.told > callerCount, "callers were told something");
        t.same(violations, []);
    });
}
