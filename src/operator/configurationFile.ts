/** Reads configuration files and compares two configurations. */
import { readFile } from "node:fs/promises";
import { z } from "zod";
import { getDigest } from "../kernel/digest.js";
import { getErrorText } from "../kernel/tasks.js";

/** Thrown when a file cannot be read as a configuration. */
export class ConfigurationFileError extends Error {
    override readonly name = "ConfigurationFileError";
}

const configurationFileSchema = z.strictObject({ objects: z.array(z.unknown()) });

/** An object that differs between two configurations. */
export interface ConfigurationDifference {
    readonly change: "added" | "removed" | "changed";
    /** Key of the object, as `kind/name`. */
    readonly object: string;
}

/** Reads the objects of a configuration from a JSON file of the form `{"objects": [...]}`. */
export async function readConfigurationFile(file: string): Promise<readonly unknown[]> {
    try {
        return configurationFileSchema.parse(JSON.parse(await readFile(file, "utf8"))).objects;
    }
    catch (error) {
        const detail = error instanceof z.ZodError ? "it must hold one object with the field \"objects\", an array" : getErrorText(error);
        throw new ConfigurationFileError(`${file} is not a valid configuration file: ${detail}.`);
    }
}

/** Lists the objects that were added, removed or changed. Objects are matched by kind and name. */
export function diffObjects(before: readonly unknown[], after: readonly unknown[]): readonly ConfigurationDifference[] {
    const old = getDigestsByKey(before);
    const fresh = getDigestsByKey(after);
    const added = [...fresh.keys()].filter(object => !old.has(object)).map(object => ({ change: "added" as const, object }));
    const removed = [...old.keys()].filter(object => !fresh.has(object)).map(object => ({ change: "removed" as const, object }));
    const changed = [...fresh].filter(([object, digest]) => old.has(object) && old.get(object) !== digest)
        .map(([object]) => ({ change: "changed" as const, object }));
    return [...added, ...removed, ...changed];
}

// An object without a name is keyed by its index.
function getDigestsByKey(objects: readonly unknown[]): ReadonlyMap<string, string> {
    return new Map(objects.map((object, position) => {
        const { kind, name } = object as { kind?: unknown; name?: unknown; };
        return [`${String(kind)}/${String(name ?? position)}`, getDigest(object)];
    }));
}
