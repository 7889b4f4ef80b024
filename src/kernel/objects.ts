/** Schemas of the objects of a configuration set. Every schema is strict: an unknown field is an error. */
import { z } from "zod";
import { getDigest } from "./digest.js";

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/, "must be letters, digits, dots, dashes or underscores");
const sha256 = z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 digest in lower-case hexadecimal");

/** A client account. It holds the digests of its keys, never the keys themselves. */
export const clientAccountSchema = z.strictObject({
    kind: z.literal("clientAccount"),
    name,
    /** Empty if all keys of the account were revoked. */
    keyDigests: z.array(sha256).max(1_000).readonly(),
    budget: name,
    policy: name,
    /** Priority of the account's requests. 0 is the highest. Overrides the priority of a route. */
    priority: z.number().int().min(0).max(1_000).optional(),
}).readonly();
/** A client account. */
export type ClientAccountObject = z.infer<typeof clientAccountSchema>;

/** A prepaid budget. Its balance is part of control's state, not of the configuration. */
export const budgetSchema = z.strictObject({
    kind: z.literal("budget"),
    name,
    clientAccounts: z.array(name).readonly(),
    policy: name,
    /** Total of prepaid tokens, if set by the configuration instead of top-ups. Replaces the previous total. */
    prepaidTokens: z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER).optional(),
}).readonly();
/** A prepaid budget. */
export type BudgetObject = z.infer<typeof budgetSchema>;

/** Limits and preferences of client accounts and budgets. */
export const policySchema = z.strictObject({
    kind: z.literal("policy"),
    name,
    /** The costlier kind of error. Overspend is zero either way. The choice determines lease durations and how long requests wait. */
    weighsMore: z.enum(["overspend", "falseRefusals"]),
    maxConcurrentRequests: z.number().int().min(1).max(100_000),
    requestsPerSecond: z.number().positive().max(1_000_000),
    burstRequests: z.number().int().min(1).max(1_000_000),
    /** Weight in fair queueing, relative to other client accounts. */
    weight: z.number().positive().max(1_000).default(1),
    /** Handling of tokens whose usage was lost with an agent: held until an operator releases them, or settled as spent. */
    lostWork: z.enum(["hold", "writeOff"]),
}).readonly();
/** Limits and preferences of client accounts and budgets. */
export type PolicyObject = z.infer<typeof policySchema>;

/** Routes requests for a model or a service to a pool. */
export const routeSchema = z.strictObject({
    kind: z.literal("route"),
    name,
    /** The route matches requests for this model. */
    model: name.optional(),
    /** The route matches requests under `/services/NAME/`. */
    service: name.optional(),
    pool: name,
    serviceClass: z.enum(["interactive", "batch"]),
    timeoutMs: z.number().int().min(100).max(3_600_000),
    maxCompletionTokens: z.number().int().min(1).max(1_000_000).default(1_024),
    /** Requests that must not run more than once. */
    nonIdempotent: z.array(z.strictObject({ method: z.string(), pathPrefix: z.string() }).readonly()).readonly().default([]),
}).readonly();
/** Routes requests for a model or a service to a pool. */
export type RouteObject = z.infer<typeof routeSchema>;

/** A pool of interchangeable backend servers. They announce themselves and are not listed in the configuration. */
export const backendServerPoolSchema = z.strictObject({
    kind: z.literal("backendServerPool"),
    name,
    backendServerKind: z.enum(["modelEngine", "plainService"]),
    /** Artifacts of the weight store that each backend server of the pool must load. */
    artifacts: z.array(name).readonly().default([]),
    maxLoadsPerMinute: z.number().positive().max(10_000).default(60),
    /** Maximum number of connections to one backend server from all callers together, if entries dispatch to it directly. */
    maxConnections: z.number().int().positive().optional(),
    engine: z.strictObject({
        maxRunning: z.number().int().positive(),
        cacheTokens: z.number().int().positive(),
        /** Maximum number of tokens in one event of a stream. */
        tokensPerEvent: z.number().int().positive(),
    }).readonly().optional(),
    /** Present if backend servers of the pool take only a limited rate while they are cold. Kept by entries that dispatch to them directly. */
    coldStart: z.strictObject({
        /** Time after a start during which a server is cold. Their heartbeats, which name the remaining time, decide. */
        durationMs: z.number().nonnegative().optional(),
        /** Requests that a cold server can take from all entries together. */
        requestsPerSecond: z.number().positive(),
    }).readonly().optional(),
}).readonly();
/** A pool of backend servers. */
export type BackendServerPoolObject = z.infer<typeof backendServerPoolSchema>;

/** Whether a request may be repeated. A resumable stream may be repeated like an idempotent request. */
export const repeatSchema = z.enum(["idempotent", "nonIdempotent", "stream", "resumableStream"]);
/** Whether a request may be repeated. */
export type RepeatBehavior = z.infer<typeof repeatSchema>;

/** Routes requests for a host and a path prefix to pools whose backend servers have no agents. */
export const httpRouteSchema = z.strictObject({
    kind: z.literal("httpRoute"),
    name: z.string().min(1).max(200),
    host: z.string().min(1),
    pathPrefix: z.string().startsWith("/").endsWith("/"),
    targets: z.array(z.strictObject({ pool: name, weight: z.number().nonnegative() }).readonly()).min(1).readonly(),
    repeat: repeatSchema,
    timeoutMs: z.number().positive(),
    /** Target time until the complete answer or the first event of a stream. */
    latencyObjectiveMs: z.number().nonnegative(),
    /** Target for the longest gap between two events of a stream. */
    gapObjectiveMs: z.number().nonnegative().optional(),
    /** 0 is the highest priority. */
    priority: z.number().int().min(0),
    /** Maximum number of backend servers on which one request is tried. */
    maxAttempts: z.number().int().min(1),
    isPublic: z.boolean(),
}).readonly();
/** Routes requests for a host and a path prefix to pools whose backend servers have no agents. */
export type HttpRouteObject = z.infer<typeof httpRouteSchema>;

/** Size limits and timeouts for incoming requests. */
export const ingressLimitsSchema = z.strictObject({
    kind: z.literal("ingressLimits"),
    name,
    maxHeaderBytes: z.number().int().positive(),
    maxBodyBytes: z.number().int().positive(),
    headerTimeoutMs: z.number().positive(),
    idleTimeoutMs: z.number().positive(),
}).readonly();
/** Size limits and timeouts for incoming requests. */
export type IngressLimitsObject = z.infer<typeof ingressLimitsSchema>;

/** An object of a configuration set. */
export type ConfigurationObject =
    | ClientAccountObject
    | BudgetObject
    | PolicyObject
    | RouteObject
    | BackendServerPoolObject
    | HttpRouteObject
    | IngressLimitsObject;

/** Types of configuration objects by kind. */
export interface ObjectsByKind {
    readonly clientAccount: ClientAccountObject;
    readonly budget: BudgetObject;
    readonly policy: PolicyObject;
    readonly route: RouteObject;
    readonly backendServerPool: BackendServerPoolObject;
    readonly httpRoute: HttpRouteObject;
    readonly ingressLimits: IngressLimitsObject;
}

/** Kind of a configuration object. */
export type ObjectKindName = keyof ObjectsByKind;

/** A valid configuration set with lookups by kind and name. */
export interface ObjectIndex {
    get<K extends ObjectKindName>(kind: K, objectName: string): ObjectsByKind[K] | undefined;
    list<K extends ObjectKindName>(kind: K): readonly ObjectsByKind[K][];
    listAll(): readonly ConfigurationObject[];
}

/** Returns the key of an object, made of its kind and name. It is unique within a set. */
export function getObjectKey(object: ConfigurationObject): string {
    return `${object.kind}/${object.name}`;
}

/** Returns the digest of a set. It does not depend on the order of the objects. */
export function getSetDigest(objects: readonly ConfigurationObject[]): string {
    return getDigest(Object.fromEntries(objects.map(object => [getObjectKey(object), object])));
}

/** Creates an index of a valid configuration set. */
export function createObjectIndex(objects: readonly ConfigurationObject[]): ObjectIndex {
    const byKey = new Map(objects.map(object => [getObjectKey(object), object]));
    return {
        get: (kind, objectName) => byKey.get(`${kind}/${objectName}`) as never,
        listAll: () => objects,
        list: kind => objects.filter(object => object.kind === kind) as never,
    };
}
