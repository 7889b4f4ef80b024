/** The objects of a configuration set. Every schema is strict: an unknown field is a problem. */
import { z } from "zod";
import { getDigest } from "./digest.js";

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/, "must be letters, digits, dots, dashes or underscores");
const sha256 = z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 digest in lower-case hexadecimal");

/** A client account, with the digests of its keys. Never the keys. */
export const clientAccountSchema = z.strictObject({
    kind: z.literal("clientAccount"),
    name,
    /** Empty for an account whose keys were all taken away. */
    keyDigests: z.array(sha256).max(1_000).readonly(),
    budget: name,
    policy: name,
    /** Rank among all requests, where 0 goes first. Takes the place of a route's rank. */
    priority: z.number().int().min(0).max(1_000).optional(),
}).readonly();
/** A client account. */
export type ClientAccountObject = z.infer<typeof clientAccountSchema>;

/** A prepaid budget. Its balance is state, not configuration. */
export const budgetSchema = z.strictObject({
    kind: z.literal("budget"),
    name,
    clientAccounts: z.array(name).readonly(),
    policy: name,
    /** Total that was paid for, where the configuration and not top-ups say so. Replaces the total before it. */
    prepaidTokens: z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER).optional(),
}).readonly();
/** A prepaid budget. */
export type BudgetObject = z.infer<typeof budgetSchema>;

/** Limits and preferences of client accounts and budgets. */
export const policySchema = z.strictObject({
    kind: z.literal("policy"),
    name,
    /** Which error costs more. Overspend is zero under each; the choice sets lease length and waiting. */
    weighsMore: z.enum(["overspend", "falseRefusals"]),
    maxConcurrentRequests: z.number().int().min(1).max(100_000),
    requestsPerSecond: z.number().positive().max(1_000_000),
    burstRequests: z.number().int().min(1).max(1_000_000),
    /** Share in fair queueing, relative to other client accounts. */
    weight: z.number().positive().max(1_000).default(1),
    /** What becomes of tokens whose use was lost with an agent: held for an operator, or settled as spent. */
    lostWork: z.enum(["hold", "writeOff"]),
}).readonly();
/** Limits and preferences. */
export type PolicyObject = z.infer<typeof policySchema>;

/** A way from a model name or a service path to a pool. */
export const routeSchema = z.strictObject({
    kind: z.literal("route"),
    name,
    /** Requests for this model take the route. */
    model: name.optional(),
    /** Requests below `/services/NAME/` take the route. */
    service: name.optional(),
    pool: name,
    serviceClass: z.enum(["interactive", "batch"]),
    timeoutMs: z.number().int().min(100).max(3_600_000),
    maxCompletionTokens: z.number().int().min(1).max(1_000_000).default(1_024),
    /** Requests that must run at most once. */
    nonIdempotent: z.array(z.strictObject({ method: z.string(), pathPrefix: z.string() }).readonly()).readonly().default([]),
}).readonly();
/** A route. */
export type RouteObject = z.infer<typeof routeSchema>;

/** Backend servers that stand in for one another. They announce themselves; the set does not list them. */
export const backendServerPoolSchema = z.strictObject({
    kind: z.literal("backendServerPool"),
    name,
    backendServerKind: z.enum(["modelEngine", "plainService"]),
    /** Artifacts of the weight store that each backend server of the pool is to load. */
    artifacts: z.array(name).readonly().default([]),
    maxLoadsPerMinute: z.number().positive().max(10_000).default(60),
    /** Connections that a backend server takes from all callers together, where entries dispatch to it themselves. */
    maxConnections: z.number().int().positive().optional(),
    engine: z.strictObject({
        maxRunning: z.number().int().positive(),
        cacheTokens: z.number().int().positive(),
        /** Tokens that one event of a stream holds at most. */
        tokensPerEvent: z.number().int().positive(),
    }).readonly().optional(),
}).readonly();
/** A pool of backend servers. */
export type BackendServerPoolObject = z.infer<typeof backendServerPoolSchema>;

/** What the repetition of a request does. A stream that can be resumed may be repeated like an idempotent request. */
export const repeatSchema = z.enum(["idempotent", "nonIdempotent", "stream", "resumableStream"]);
/** What the repetition of a request does. */
export type RepeatBehavior = z.infer<typeof repeatSchema>;

/** A way from a host and a path prefix to pools whose backend servers have no agent. */
export const httpRouteSchema = z.strictObject({
    kind: z.literal("httpRoute"),
    name: z.string().min(1).max(200),
    host: z.string().min(1),
    pathPrefix: z.string().startsWith("/").endsWith("/"),
    targets: z.array(z.strictObject({ pool: name, weight: z.number().nonnegative() }).readonly()).min(1).readonly(),
    repeat: repeatSchema,
    timeoutMs: z.number().positive(),
    /** Time to the whole answer, or to a stream's first event, that callers hope for. */
    latencyObjectiveMs: z.number().nonnegative(),
    /** Longest pause between two events of a stream that callers hope for. */
    gapObjectiveMs: z.number().nonnegative().optional(),
    /** Rank, where 0 goes first. */
    priority: z.number().int().min(0),
    /** Backend servers that one request may run on. */
    maxAttempts: z.number().int().min(1),
    isPublic: z.boolean(),
}).readonly();
/** A way from a host and a path prefix to pools. */
export type HttpRouteObject = z.infer<typeof httpRouteSchema>;

/** Bounds on what callers may send. */
export const ingressLimitsSchema = z.strictObject({
    kind: z.literal("ingressLimits"),
    name,
    maxHeaderBytes: z.number().int().positive(),
    maxBodyBytes: z.number().int().positive(),
    headerTimeoutMs: z.number().positive(),
    idleTimeoutMs: z.number().positive(),
}).readonly();
/** Bounds on what callers may send. */
export type IngressLimitsObject = z.infer<typeof ingressLimitsSchema>;

/** Any object of a set. */
export type ConfigurationObject =
    | ClientAccountObject
    | BudgetObject
    | PolicyObject
    | RouteObject
    | BackendServerPoolObject
    | HttpRouteObject
    | IngressLimitsObject;

/** Objects by kind. */
export interface ObjectsByKind {
    readonly clientAccount: ClientAccountObject;
    readonly budget: BudgetObject;
    readonly policy: PolicyObject;
    readonly route: RouteObject;
    readonly backendServerPool: BackendServerPoolObject;
    readonly httpRoute: HttpRouteObject;
    readonly ingressLimits: IngressLimitsObject;
}

/** Kind of an object. */
export type ObjectKindName = keyof ObjectsByKind;

/** A checked set with look-ups by kind and name. */
export interface ObjectIndex {
    get<K extends ObjectKindName>(kind: K, objectName: string): ObjectsByKind[K] | undefined;
    list<K extends ObjectKindName>(kind: K): readonly ObjectsByKind[K][];
    listAll(): readonly ConfigurationObject[];
}

/** Kind and name of an object, which are unique together. */
export function getObjectKey(object: ConfigurationObject): string {
    return `${object.kind}/${object.name}`;
}

/** Digest of a whole set, whatever the order of its objects. */
export function getSetDigest(objects: readonly ConfigurationObject[]): string {
    return getDigest(Object.fromEntries(objects.map(object => [getObjectKey(object), object])));
}

/** Creates look-ups over a checked set. */
export function createObjectIndex(objects: readonly ConfigurationObject[]): ObjectIndex {
    const byKey = new Map(objects.map(object => [getObjectKey(object), object]));
    return {
        get: (kind, objectName) => byKey.get(`${kind}/${objectName}`) as never,
        listAll: () => objects,
        list: kind => objects.filter(object => object.kind === kind) as never,
    };
}
