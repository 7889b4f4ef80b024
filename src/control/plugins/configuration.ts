/** The configuration: complete sets of objects, each validated as a whole and published under one version. */
import { getDigest } from "../../kernel/digest.js";
import type { EvacuationList } from "../../kernel/evacuationMessages.js";
import type { ChangeOutcome, CommandInputs, ConfigurationDelta, ConfigurationView, Problem } from "../../kernel/messages.js";
import { createObjectIndex, getObjectKey, getSetDigest } from "../../kernel/objects.js";
import type { ConfigurationObject, ObjectIndex } from "../../kernel/objects.js";
import type { ApplyContext, ControlPlugin, ObjectKind, ObjectSet, Registry } from "../../kernel/registry.js";
import type { AuditWriter } from "./audit.js";
import type { PublishedQuarantine } from "./quarantine.js";

/** The plug-in, and the state that the other plug-ins read. */
export interface Configuration {
    readonly plugin: ControlPlugin;
    getView(): ConfigurationView;
    /** Changes since a version. Undefined if the version is too old or unknown. */
    getDelta(sinceVersion: number): ConfigurationDelta | undefined;
    getObjectIndex(): ObjectIndex;
    getVersion(): number;
    /** True if the operator's version and set of the replacement are those in force, so that applying it changes nothing. */
    isReplacementInForce(input: Replacement): boolean;
}

/** Dependencies of the configuration plug-in. */
export interface ConfigurationOptions {
    readonly registry: Pick<Registry, "getObjectKind">;
    readonly audit: AuditWriter;
    readonly getQuarantine: () => PublishedQuarantine;
    readonly getEvacuations: () => EvacuationList;
    /** Called for each set that is put into force, while its log entry is applied. */
    readonly onActivated?: (objects: ObjectIndex) => void;
}

interface AppliedChange {
    readonly digest: string;
    readonly outcome: ChangeOutcome;
}

/** A change is sent again within minutes. The list is part of every snapshot. */
const maxAppliedChanges = 2_000;

/** Creates the configuration plug-in. */
export function createConfiguration(options: ConfigurationOptions): Configuration {
    let version = 0;
    let lastChangeId = "";
    let operatorVersion = 0;
    let operatorDocument: string | undefined;
    let operatorDigest = "";
    let objects: readonly ConfigurationObject[] = [];
    let objectIndex = createObjectIndex([]);
    let digest = getSetDigest([]);
    let appliedChanges = new Map<string, AppliedChange>();
    // Keys changed by each of the latest versions. Not part of snapshots: after a restore, full sets are published
    // until new changes accumulate.
    let recentChanges: readonly RecentChange[] = [];

    return {
        getView,
        getDelta,
        getObjectIndex: () => objectIndex,
        getVersion: () => version,
        isReplacementInForce: input => isInForce(input.operatorVersion, getDigest(input.objects)),
        plugin: {
            name: "configuration",
            commands: {
                "configuration.apply": (input, context) => applyChange(input, context),
                "configuration.replace": (input, context) => applyReplacement(input, context),
            },
            queries: {
                "configuration.validate": input => checkObjects(input.objects, options.registry, objects),
                "configuration.document": () => ({ operatorVersion, document: operatorDocument }),
                "configuration.get": getView,
            },
            sections: [{
                name: "configuration",
                save: () => ({
                    version,
                    lastChangeId,
                    objects,
                    changes: [...appliedChanges],
                    operatorVersion,
                    operatorDocument,
                    operatorDigest,
                }),
                load(data) {
                    const saved = data as {
                        version: number;
                        lastChangeId: string;
                        objects: ConfigurationObject[];
                        changes: [string, AppliedChange][];
                        operatorVersion?: number;
                        operatorDocument?: string;
                        operatorDigest?: string;
                    };
                    version = saved.version;
                    lastChangeId = saved.lastChangeId;
                    appliedChanges = new Map(saved.changes);
                    operatorVersion = saved.operatorVersion ?? 0;
                    operatorDocument = saved.operatorDocument;
                    operatorDigest = saved.operatorDigest ?? "";
                    setObjects(saved.objects);
                    recentChanges = [];
                },
            }],
        },
    };

    function setObjects(newObjects: readonly ConfigurationObject[]): void {
        objects = newObjects;
        objectIndex = createObjectIndex(newObjects);
        digest = getSetDigest(newObjects);
    }

    function applyChange(
        input: { readonly baseVersion: number; readonly changeId: string; readonly objects: readonly unknown[]; readonly actor: string; },
        context: ApplyContext,
    ): ChangeOutcome {
        const contentDigest = getDigest([input.baseVersion, input.objects]);
        const outcome = checkAndActivateChange(input, contentDigest, context);
        options.audit(context, {
            actor: input.actor,
            action: "apply",
            outcome: outcome.outcome,
            detail:
                `change ${input.changeId} on version ${input.baseVersion}: ${input.objects.length} objects, ${outcome.problems.length} problems`,
            content: input.objects,
        });
        return outcome;
    }

    function checkAndActivateChange(
        input: { readonly baseVersion: number; readonly changeId: string; readonly objects: readonly unknown[]; },
        contentDigest: string,
        context: ApplyContext,
    ): ChangeOutcome {
        const previous = appliedChanges.get(input.changeId);
        if (previous !== undefined && previous.digest === contentDigest) return toRepeatedOutcome(previous.outcome);
        if (previous !== undefined) {
            const problem = { object: input.changeId, field: "changeId", detail: "was used before for another set" };
            return { outcome: "conflict", version, problems: [problem], winningChangeId: lastChangeId };
        }
        if (input.baseVersion !== version) {
            const problem = {
                object: input.changeId,
                field: "baseVersion",
                detail: `version ${version} of change ${lastChangeId} is in force`,
            };
            return { outcome: "conflict", version, problems: [problem], winningChangeId: lastChangeId };
        }
        const checked = checkObjects(input.objects, options.registry, objects);
        if (checked.problems.length > 0) return { outcome: "invalid", version, problems: checked.problems };
        activate(checked.objects, input.changeId, context);
        const outcome: ChangeOutcome = { outcome: "accepted", version, problems: [] };
        recordAppliedChange(input.changeId, { digest: contentDigest, outcome });
        return outcome;
    }

    function activate(newObjects: readonly ConfigurationObject[], changeId: string, context: ApplyContext): void {
        const keys = listChangedKeys(objects, newObjects);
        recentChanges = [...recentChanges, { baseVersion: version, version: context.index, keys }].slice(-maxRecentChanges);
        version = context.index;
        lastChangeId = changeId;
        setObjects(newObjects);
        options.onActivated?.(objectIndex);
    }

    function applyReplacement(input: Replacement, context: ApplyContext): ChangeOutcome {
        const contentDigest = getDigest(input.objects);
        const outcome = checkAndActivateReplacement(input, contentDigest, context);
        options.audit(context, {
            actor: input.actor,
            action: "replace",
            outcome: outcome.outcome,
            detail: `operator's version ${input.operatorVersion}: ${input.objects.length} objects, ${outcome.problems.length} problems`,
            content: contentDigest,
        });
        return outcome;
    }

    // The highest operator version wins in any order of arrival, so a set with a lower one counts as already applied.
    function checkAndActivateReplacement(input: Replacement, contentDigest: string, context: ApplyContext): ChangeOutcome {
        if (isInForce(input.operatorVersion, contentDigest)) return { outcome: "repeated", version, problems: [] };
        const checked = checkObjects(input.objects, options.registry, objects);
        if (checked.problems.length > 0) return { outcome: "invalid", version, problems: checked.problems };
        if (operatorDocument !== undefined && input.operatorVersion < operatorVersion) {
            return { outcome: "repeated", version, problems: [] };
        }
        if (operatorDocument !== undefined && input.operatorVersion === operatorVersion) {
            const problem = { object: "set", field: "version", detail: `${operatorVersion} holds another set` };
            return { outcome: "conflict", version, problems: [problem] };
        }
        operatorVersion = input.operatorVersion;
        operatorDocument = input.document;
        operatorDigest = contentDigest;
        activate(checked.objects, `operator-${operatorVersion}`, context);
        return { outcome: "accepted", version, problems: [] };
    }

    function isInForce(newOperatorVersion: number, contentDigest: string): boolean {
        return operatorDocument !== undefined && newOperatorVersion === operatorVersion && contentDigest === operatorDigest;
    }

    function getView(): ConfigurationView {
        return { version, digest, objects, ...getPublished() };
    }

    function getDelta(sinceVersion: number): ConfigurationDelta | undefined {
        if (sinceVersion === version) return createDelta(sinceVersion, new Set());
        const firstIndex = recentChanges.findIndex(change => change.baseVersion === sinceVersion);
        if (firstIndex < 0) return undefined;
        return createDelta(sinceVersion, new Set(recentChanges.slice(firstIndex).flatMap(change => change.keys)));
    }

    function createDelta(baseVersion: number, keys: ReadonlySet<string>): ConfigurationDelta {
        const changed = objects.filter(object => keys.has(getObjectKey(object)));
        const presentKeys = new Set(changed.map(getObjectKey));
        const removed = [...keys].filter(key => !presentKeys.has(key));
        return { baseVersion, version, digest, changed, removed, ...getPublished() };
    }

    // Published in full with each set and each delta.
    function getPublished(): PublishedQuarantine & { readonly evacuations: EvacuationList; } {
        return { ...options.getQuarantine(), evacuations: options.getEvacuations() };
    }

    function recordAppliedChange(changeId: string, change: AppliedChange): void {
        appliedChanges.set(changeId, change);
        const oldest = appliedChanges.keys().next().value;
        if (appliedChanges.size > maxAppliedChanges && oldest !== undefined) appliedChanges.delete(oldest);
    }
}

type Replacement = CommandInputs["configuration.replace"];

interface RecentChange {
    readonly baseVersion: number;
    readonly version: number;
    readonly keys: readonly string[];
}

const maxRecentChanges = 200;

// Returns the keys of objects that were added, changed or removed between two sets.
function listChangedKeys(before: readonly ConfigurationObject[], after: readonly ConfigurationObject[]): readonly string[] {
    const serializedByKey = new Map(before.map(object => [getObjectKey(object), JSON.stringify(object)]));
    const changed = after.filter(object => serializedByKey.get(getObjectKey(object)) !== JSON.stringify(object)).map(getObjectKey);
    const remainingKeys = new Set(after.map(getObjectKey));
    return [...changed, ...[...serializedByKey.keys()].filter(key => !remainingKeys.has(key))];
}

function toRepeatedOutcome(previous: ChangeOutcome): ChangeOutcome {
    return { ...previous, outcome: "repeated" };
}

/** Result of validating a set. */
export interface SetCheckResult {
    readonly objects: readonly ConfigurationObject[];
    readonly problems: readonly Problem[];
}

/** Validates a set as a whole and reports all problems together. */
export function checkObjects(
    rawObjects: readonly unknown[],
    registry: Pick<Registry, "getObjectKind">,
    previousObjects: readonly ConfigurationObject[],
): SetCheckResult {
    const problems: Problem[] = [];
    const parsed: { readonly object: ConfigurationObject; readonly kind: ObjectKind; }[] = [];
    const seenKeys = new Set<string>();
    for (const [position, item] of rawObjects.entries()) {
        const checked = checkSchema(item, position, registry);
        problems.push(...checked.problems);
        if (checked.object === undefined || checked.kind === undefined) continue;
        const key = getObjectKey(checked.object);
        if (seenKeys.has(key)) problems.push({ object: key, field: "name", detail: "stands twice in the set" });
        seenKeys.add(key);
        parsed.push({ object: checked.object, kind: checked.kind });
    }
    const set = createObjectSet(parsed.map(item => item.object));
    for (const { object, kind } of parsed) problems.push(...kind.check(object, set));
    for (const object of previousObjects) {
        if (seenKeys.has(getObjectKey(object))) continue;
        problems.push(...registry.getObjectKind(object.kind)?.checkRemoval?.(object) ?? []);
    }
    return { objects: parsed.map(item => item.object), problems };
}

interface SchemaCheck {
    readonly object?: ConfigurationObject;
    readonly kind?: ObjectKind;
    readonly problems: readonly Problem[];
}

function checkSchema(item: unknown, position: number, registry: Pick<Registry, "getObjectKind">): SchemaCheck {
    const fields = (typeof item === "object" ? item : undefined) as { readonly kind?: unknown; readonly name?: unknown; } | undefined;
    const kindName = String(fields?.kind);
    const label = typeof fields?.name === "string" ? `${kindName}/${fields.name}` : `object ${position}`;
    const kind = registry.getObjectKind(kindName);
    if (kind === undefined) {
        return { problems: [{ object: label, field: "kind", detail: `${JSON.stringify(fields?.kind)} is no known kind` }] };
    }
    const result = kind.schema.safeParse(item);
    if (result.success) return { object: result.data as ConfigurationObject, kind, problems: [] };
    return { problems: result.error.issues.map(issue => ({ object: label, field: issue.path.join("."), detail: issue.message })) };
}

function createObjectSet(objects: readonly ConfigurationObject[]): ObjectSet {
    const byKey = new Map(objects.map(object => [getObjectKey(object), object]));
    const byKind = new Map<string, readonly unknown[]>();
    return {
        has: (kind, name) => byKey.has(`${kind}/${name}`),
        get: (kind, name) => byKey.get(`${kind}/${name}`),
        list(kind) {
            const cached = byKind.get(kind);
            if (cached !== undefined) return cached;
            const listed = objects.filter(object => object.kind === kind);
            byKind.set(kind, listed);
            return listed;
        },
    };
}
