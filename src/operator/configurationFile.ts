/** Configuration sets as files: reading, and the differences between two of them. */
import { readFile } from "node:fs/promises";
import { z } from "zod";
import { getDigest } from "../kernel/digest.js";
import { getErrorText } from "../kernel/tasks.js";

/** Thrown when a file holds no set. */
export class SetFileError extends Error {
    override readonly name = "SetFileError";
}

const setSchema = z.strictObject({ objects: z.array(z.unknown()) });

/** One difference between two sets. */
export interface SetDifference {
    readonly change: "added" | "removed" | "changed";
    readonly object: string;
}

/** Reads a set from a JSON file of the form `{"objects": [...]}`. */
export async function readSetFile(file: string): Promise<readonly unknown[]> {
    try {
        return setSchema.parse(JSON.parse(await readFile(file, "utf8"))).objects;
    }
    catch (error) {
        const detail = error instanceof z.ZodError ? "it must hold one object with the field \"objects\", a list" : getErrorText(error);
        throw new SetFileError(`${file} is no set: ${detail}.`);
    }
}

/** Differences from one set to another, by kind and name. */
export function compareSets(before: readonly unknown[], after: readonly unknown[]): readonly SetDifference[] {
    const old = indexByName(before);
    const fresh = indexByName(after);
    const added = [...fresh.keys()].filter(object => !old.has(object)).map(object => ({ change: "added" as const, object }));
    const removed = [...old.keys()].filter(object => !fresh.has(object)).map(object => ({ change: "removed" as const, object }));
    const changed = [...fresh].filter(([object, digest]) => old.has(object) && old.get(object) !== digest)
        .map(([object]) => ({ change: "changed" as const, object }));
    return [...added, ...removed, ...changed];
}

function indexByName(objects: readonly unknown[]): ReadonlyMap<string, string> {
    return new Map(objects.map((object, position) => {
        const { kind, name } = object as { kind?: unknown; name?: unknown; };
        return [`${String(kind)}/${String(name ?? position)}`, getDigest(object)];
    }));
}
