/** Guards for invariants. A failed guard is a defect of the program, never of its input. */

/** Thrown when an invariant of the program does not hold. */
export class InvariantError extends Error {
    override readonly name = "InvariantError";
}

/** Throws an `InvariantError` unless the condition holds. */
export function assert(condition: boolean, message: string): asserts condition {
    if (!condition) {
        throw new InvariantError(message);
    }
}

/** Returns the value, or throws when it is missing. */
export function checkDefined<T>(value: T | undefined, message: string): T {
    assert(value !== undefined, message);
    return value;
}

/** Marks a branch that the compiler proves unreachable. */
export function assertNever(value: never): never {
    throw new InvariantError(`unexpected value ${JSON.stringify(value)}`);
}
