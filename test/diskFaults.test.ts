/** Operations of a store's disk that fail: after any of them, the store goes on and opens again with all acknowledged entries. */
import { test } from "tap";
import { openStore } from "../src/control/log/store.js";
import type { LogStore } from "../src/control/log/store.js";
import { formatStore } from "../src/control/log/storeFiles.js";
import type { LogEntry } from "../src/control/log/types.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import type { FakeVm } from "../src/standins/fakeHost.js";

const folder = "/data";
const membership = { voters: [], learners: [] };
/** Few entries of this size fill a segment. */
const entryBytes = 200 * 1024;

type Step = (store: LogStore, acknowledged: Map<number, number>) => Promise<void>;

function createEntry(index: number, term: number): LogEntry {
    const input = "".padEnd(entryBytes, ".");
    return { kind: "command", index, term, controlTimeMs: 0, wallMs: 0, operationId: String(index), command: "value", input };
}

function append(term: number, count: number): Step {
    return async (store, acknowledged) => {
        const first = store.lastIndex + 1;
        const entries = Array.from({ length: count }, (_, position) => createEntry(first + position, term));
        await store.append(entries);
        for (const entry of entries) acknowledged.set(entry.index, term);
    };
}

function truncate(index: number): Step {
    return async (store, acknowledged) => {
        for (const known of [...acknowledged.keys()]) if (known >= index) acknowledged.delete(known);
        await store.truncateFrom(index);
    };
}

const saveSnapshot: Step = async store => {
    const index = store.durableIndex - 1;
    await store.saveSnapshot({ index, term: store.getTerm(index)!, controlTimeMs: 0, membership, state: "state" }, 0);
};

const saveVote: Step = store => store.saveHardState({ term: store.hardState.term + 1 });

const steps: readonly Step[] = [
    append(1, 2),
    append(1, 2),
    append(1, 1),
    truncate(3),
    append(2, 4),
    saveVote,
    saveSnapshot,
    append(2, 2),
    truncate(8),
    append(3, 3),
    saveSnapshot,
    append(3, 1),
];

async function createVm(seed: number): Promise<FakeVm> {
    const vm = createSimulation(seed).createVm("10.0.0.1");
    await formatStore(vm.host.disk, folder, { groupId: "group", voterId: "v1", founders: membership });
    return vm;
}

/** Runs the steps, each again until it succeeds, as a voter does whose leader or candidate repeats its requests. */
async function runSteps(store: LogStore, acknowledged: Map<number, number>, count: number): Promise<number> {
    let failures = 0;
    for (const step of steps.slice(0, count)) {
        for (let attempts = 0;; attempts++) {
            try {
                await step(store, acknowledged);
                break;
            }
            catch (error) {
                failures++;
                if (attempts > 20) throw error;
            }
        }
    }
    return failures;
}

async function countOperations(): Promise<number> {
    const vm = await createVm(1);
    const before = vm.disk.getOperationCount();
    await runSteps(await openStore(vm.host, folder, "group", "v1"), new Map(), steps.length);
    return vm.disk.getOperationCount() - before;
}

for (const failureCount of [1, 2, 5]) {
    test(`a store loses no acknowledged entry when ${failureCount} operations of its disk fail, whichever come first`, async t => {
        const operationCount = await countOperations();
        t.ok(operationCount > 40, `${operationCount} operations`);
        for (let skipped = 0; skipped < operationCount; skipped++) {
            for (const stepCount of [4, 5, 8, 9, steps.length]) {
                const vm = await createVm(skipped + 1);
                const acknowledged = new Map<number, number>();
                const store = await openStore(vm.host, folder, "group", "v1");
                vm.disk.failOperations(skipped, failureCount);
                await runSteps(store, acknowledged, stepCount);
                vm.disk.failOperations(Infinity, 0);
                vm.crash();
                const reopened = await openStore(vm.restart(), folder, "group", "v1");
                const context = `${skipped} operations succeeded, ${stepCount} steps`;
                const lost = [...acknowledged].filter(([index, term]) =>
                    index > (reopened.snapshot?.index ?? 0) && reopened.getTerm(index) !== term
                );
                if (lost.length > 0) t.fail(`${context}: lost ${JSON.stringify(lost)}`);
            }
        }
    });
}
