/**
 * Registry of control's plug-ins. They register command handlers, query handlers, snapshot sections, and kinds of
 * configuration objects with their validation. The kernel does not depend on any particular plug-in.
 */
import type { z } from "zod";
import { assert } from "./debug.js";
import type { CommandInputs, CommandKind, CommandResults, Problem, QueryInputs, QueryKind, QueryResults } from "./messages.js";
import type { OperationId } from "./types.js";

/** Context of a command besides its input. All of it is read from the log, so that every replica applies the same values. */
export interface ApplyContext {
    readonly index: number;
    readonly term: number;
    /** Control time, which never decreases along the log. */
    readonly nowMs: number;
    /** Wall clock time of the leader when it proposed the command. Only for display. */
    readonly wallMs: number;
    readonly operationId: OperationId;
}

/** Applies one kind of command. Must be deterministic. */
export type CommandHandler<K extends CommandKind> = (input: CommandInputs[K], context: ApplyContext) => CommandResults[K];

/** Answers one kind of query from the current state. */
export type QueryHandler<K extends QueryKind> = (input: QueryInputs[K], nowMs: number) => QueryResults[K];

/** One named section of a snapshot. */
export interface SnapshotSection {
    readonly name: string;
    save(): unknown;
    load(data: unknown): void;
}

/** A kind of configuration object, with its schema and validation. */
export interface ObjectKind<T = unknown> {
    readonly kind: string;
    readonly schema: z.ZodType<T>;
    /** Returns the problems of an object in the context of its set and the current state. */
    check(object: T, set: ObjectSet): readonly Problem[];
    /** Returns the problems of removing an existing object. */
    checkRemoval?(object: T): readonly Problem[];
}

/** A configuration set that is being validated. */
export interface ObjectSet {
    has(kind: string, name: string): boolean;
    get(kind: string, name: string): unknown;
    list(kind: string): readonly unknown[];
}

/** Command handlers by kind. */
export type CommandTable = { readonly [K in CommandKind]?: CommandHandler<K>; };

/** Query handlers by kind. */
export type QueryTable = { readonly [K in QueryKind]?: QueryHandler<K>; };

/** A plug-in of control. */
export interface ControlPlugin {
    readonly name: string;
    readonly commands?: CommandTable;
    readonly queries?: QueryTable;
    readonly sections?: readonly SnapshotSection[];
    readonly objectKinds?: readonly ObjectKind[];
}

/** The registered handlers, snapshot sections and object kinds. */
export interface Registry {
    register(plugin: ControlPlugin): void;
    apply(kind: CommandKind, input: unknown, context: ApplyContext): unknown;
    query(kind: QueryKind, input: unknown, nowMs: number): unknown;
    getObjectKind(kind: string): ObjectKind | undefined;
    saveSections(): Readonly<Record<string, unknown>>;
    loadSections(sections: Readonly<Record<string, unknown>>): void;
}

type AnyHandler = (input: unknown, context: unknown) => unknown;

/** Creates an empty registry. */
export function createRegistry(): Registry {
    const commands = new Map<string, AnyHandler>();
    const queries = new Map<string, AnyHandler>();
    const kinds = new Map<string, ObjectKind>();
    const sections = new Map<string, SnapshotSection>();
    return {
        register(plugin) {
            for (const [kind, handler] of Object.entries(plugin.commands ?? {})) addOnce(commands, kind, handler as AnyHandler);
            for (const [kind, handler] of Object.entries(plugin.queries ?? {})) addOnce(queries, kind, handler as AnyHandler);
            for (const kind of plugin.objectKinds ?? []) addOnce(kinds, kind.kind, kind);
            for (const section of plugin.sections ?? []) addOnce(sections, section.name, section);
        },
        apply: (kind, input, context) => getHandler(commands, kind)(input, context),
        query: (kind, input, nowMs) => getHandler(queries, kind)(input, nowMs),
        getObjectKind: kind => kinds.get(kind),
        saveSections() {
            return Object.fromEntries([...sections.values()].map(section => [section.name, section.save()]));
        },
        loadSections(saved) {
            for (const section of sections.values()) section.load(saved[section.name]);
        },
    };
}

function addOnce<T>(table: Map<string, T>, key: string, value: T): void {
    assert(!table.has(key), `${key} is registered twice`);
    table.set(key, value);
}

function getHandler(table: ReadonlyMap<string, AnyHandler>, kind: string): AnyHandler {
    const handler = table.get(kind);
    assert(handler !== undefined, `no plug-in handles ${kind}`);
    return handler;
}
