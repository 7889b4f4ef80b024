/**
 * The kernel's registry. Plug-ins register what they bring: command handlers, queries and snapshot
 * sections on control, object kinds with their checks. The kernel knows no plug-in by name.
 */
import type { z } from "zod";
import { assert } from "./debug.js";
import type { CommandInputs, CommandKind, CommandResults, Problem, QueryInputs, QueryKind, QueryResults } from "./messages.js";
import type { OperationId } from "./types.js";

/** What an apply handler knows besides its input. All of it comes from the log, so that replicas agree. */
export interface ApplyContext {
    readonly index: number;
    readonly term: number;
    /** Control time: monotone over the log. */
    readonly nowMs: number;
    /** Wall clock of the leader at the time of proposal, for people to read. */
    readonly wallMs: number;
    readonly operationId: OperationId;
}

/** Applies one kind of command. It must be deterministic. */
export type CommandHandler<K extends CommandKind> = (input: CommandInputs[K], context: ApplyContext) => CommandResults[K];

/** Answers one kind of query from the present state. */
export type QueryHandler<K extends QueryKind> = (input: QueryInputs[K], nowMs: number) => QueryResults[K];

/** One part of a snapshot. */
export interface SnapshotSection {
    readonly name: string;
    save(): unknown;
    load(data: unknown): void;
}

/** A kind of object in a configuration set. */
export interface ObjectKind<T = unknown> {
    readonly kind: string;
    readonly schema: z.ZodType<T>;
    /** Problems of one object within the whole set and the running state. */
    check(object: T, set: ObjectSet): readonly Problem[];
    /** Problems of taking away an object that was there before. */
    checkRemoval?(object: T): readonly Problem[];
}

/** A set of objects that is being checked. */
export interface ObjectSet {
    has(kind: string, name: string): boolean;
    get(kind: string, name: string): unknown;
    list(kind: string): readonly unknown[];
}

/** Handlers by command kind. Absent where no plug-in brings one. */
export type CommandTable = { readonly [K in CommandKind]?: CommandHandler<K>; };

/** Handlers by query kind. Absent where no plug-in brings one. */
export type QueryTable = { readonly [K in QueryKind]?: QueryHandler<K>; };

/** What one plug-in of control brings. */
export interface ControlPlugin {
    readonly name: string;
    readonly commands?: CommandTable;
    readonly queries?: QueryTable;
    readonly sections?: readonly SnapshotSection[];
    readonly objectKinds?: readonly ObjectKind[];
}

/** All that the plug-ins have registered. */
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
