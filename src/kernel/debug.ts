/** Assertions of invariants. A failed assertion is a bug in the program and never caused by invalid input. */

/** Thrown if an invariant is violated. */
export class InvariantError extends Error {
    override readonly name = "InvariantError";
}

/** Throws an `InvariantError` unless the condition holds. */
export function assert(condition: boolean, message: string): asserts condition {
    if (!condition) {
        throw new InvariantError(message);
    }
}

/** Returns the value, or throws an `InvariantError` if it is undefined. */
export function checkDefined<T>(value: T | undefined, message: string): T {
    assert(value !== undefined, message);
    return value;
}

/** Marks a branch as unreachable. The compiler checks that no value can reach it. */
export function assertNever(value: never): never {
    throw new InvariantError(`unexpected value ${JSON.stringify(value)}`);
}
