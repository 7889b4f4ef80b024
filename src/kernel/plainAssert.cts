/**
 * Stands in for Node.js's module `assert` in the bundled programs (see `bundle` in package.json). For an assertion without a message, Node.js
 * reads the source file and parses it from the line of the call, to quote the expression. A bundle has lines of 300,000 characters, for which
 * this holds the process for seconds, and libraries assert properties of bytes that others send. Here such an assertion gets a fixed message,
 * and no value is printed either. The stack of the error tells the place.
 */
const nodeAssert: typeof import("node:assert") = process.getBuiltinModule("node:assert");

type Comparison = (actual: unknown, expected: unknown, message?: string | Error) => void;

function assert(value: unknown, message: string | Error = "an assertion failed"): asserts value {
    // The condition decides first, so that an assertion that holds costs nothing.
    if (!value) nodeAssert.ok(value, message);
}

/** Comparisons whose message Node.js would compose from both values. */
const comparisonNames = [
    "equal",
    "notEqual",
    "strictEqual",
    "notStrictEqual",
    "deepEqual",
    "notDeepEqual",
    "deepStrictEqual",
    "notDeepStrictEqual",
] as const;

function createComparison(name: typeof comparisonNames[number]): Comparison {
    const compare: Comparison = nodeAssert[name];
    return (actual, expected, message = `an assertion failed: ${name}`) => compare(actual, expected, message);
}

const comparisons = Object.fromEntries(comparisonNames.map(name => [name, createComparison(name)]));

export = Object.assign(assert, nodeAssert, comparisons, { ok: assert, strict: assert });
