/** The kinds of configuration objects, each with its schema and the validation of its references. */
import type { Problem } from "../../kernel/messages.js";
import {
    backendServerPoolSchema,
    budgetSchema,
    clientAccountSchema,
    httpRouteSchema,
    ingressLimitsSchema,
    policySchema,
    routeSchema,
} from "../../kernel/objects.js";
import type {
    BackendServerPoolObject,
    BudgetObject,
    ClientAccountObject,
    HttpRouteObject,
    IngressLimitsObject,
    PolicyObject,
    RouteObject,
} from "../../kernel/objects.js";
import type { ControlPlugin, ObjectKind, ObjectSet } from "../../kernel/registry.js";

/** Creates the plug-in that registers the object kinds. `hasOpenLeases` returns true for a budget with open leases. */
export function createObjectKinds(hasOpenLeases: (budget: string) => boolean): ControlPlugin {
    const clientAccount: ObjectKind<ClientAccountObject> = {
        kind: "clientAccount",
        schema: clientAccountSchema,
        check: (account, set) => [
            ...checkReference(account, "budget", "budget", account.budget, set),
            ...checkReference(account, "policy", "policy", account.policy, set),
            ...checkBudgetListsAccount(account, set),
            ...checkKeysAreUnique(account, set),
        ],
    };
    const budget: ObjectKind<BudgetObject> = {
        kind: "budget",
        schema: budgetSchema,
        check: (object, set) => [
            ...checkReference(object, "policy", "policy", object.policy, set),
            ...object.clientAccounts.flatMap(name => checkReference(object, "clientAccounts", "clientAccount", name, set)),
            ...object.clientAccounts.flatMap(name => checkAccountUsesBudget(object, name, set)),
        ],
        // A budget whose total is set by the configuration ends with its object, so open leases do not block the removal.
        // Tokens that they hold can still be spent.
        checkRemoval: object =>
            object.prepaidTokens === undefined && hasOpenLeases(object.name)
                ? [createProblem(object, "name", "has open leases and cannot be taken away")]
                : [],
    };
    const policy: ObjectKind<PolicyObject> = { kind: "policy", schema: policySchema, check: () => [] };
    const pool: ObjectKind<BackendServerPoolObject> = {
        kind: "backendServerPool",
        schema: backendServerPoolSchema,
        check: checkColdRateIsKept,
    };
    const route: ObjectKind<RouteObject> = {
        kind: "route",
        schema: routeSchema,
        check: (object, set) => [
            ...checkReference(object, "pool", "backendServerPool", object.pool, set),
            ...checkModelOrService(object, set),
        ],
    };
    const httpRoute: ObjectKind<HttpRouteObject> = {
        kind: "httpRoute",
        schema: httpRouteSchema,
        check: (object, set) => [
            ...object.targets.flatMap(target => checkReference(object, "targets", "backendServerPool", target.pool, set)),
            ...checkWeights(object),
            ...checkHostAndPrefixAreUnique(object, set),
        ],
    };
    const ingressLimits: ObjectKind<IngressLimitsObject> = { kind: "ingressLimits", schema: ingressLimitsSchema, check: () => [] };
    return { name: "objectKinds", objectKinds: [clientAccount, budget, policy, pool, route, httpRoute, ingressLimits] };
}

interface NamedObject {
    readonly kind: string;
    readonly name: string;
}

function createProblem(object: NamedObject, field: string, detail: string): Problem {
    return { object: `${object.kind}/${object.name}`, field, detail };
}

function checkReference(object: NamedObject, field: string, kind: string, name: string, set: ObjectSet): readonly Problem[] {
    return set.has(kind, name) ? [] : [createProblem(object, field, `refers to ${kind}/${name}, which is not in the set`)];
}

// An account and its budget must reference each other, so that changing only one of the two references is rejected.
function checkBudgetListsAccount(account: ClientAccountObject, set: ObjectSet): readonly Problem[] {
    const budget = set.get("budget", account.budget) as BudgetObject | undefined;
    if (budget === undefined || budget.clientAccounts.includes(account.name)) return [];
    return [createProblem(account, "budget", `budget/${budget.name} does not list this client account`)];
}

function checkAccountUsesBudget(budget: BudgetObject, name: string, set: ObjectSet): readonly Problem[] {
    const account = set.get("clientAccount", name) as ClientAccountObject | undefined;
    if (account === undefined || account.budget === budget.name) return [];
    return [createProblem(budget, "clientAccounts", `clientAccount/${name} draws on budget/${account.budget}`)];
}

function checkKeysAreUnique(account: ClientAccountObject, set: ObjectSet): readonly Problem[] {
    const owners = getKeyOwners(set);
    const otherOwners = account.keyDigests.map(digest => owners.get(digest)).filter(owner => owner !== account.name);
    return otherOwners.map(other => createProblem(account, "keyDigests", `shares a key with clientAccount/${other}`));
}

const keyOwnersBySet = new WeakMap<ObjectSet, ReadonlyMap<string, string>>();

// Maps each key digest to the last account that lists it. Every other account that lists it is reported.
function getKeyOwners(set: ObjectSet): ReadonlyMap<string, string> {
    const cached = keyOwnersBySet.get(set);
    if (cached !== undefined) return cached;
    const accounts = set.list("clientAccount") as readonly ClientAccountObject[];
    const owners = new Map(accounts.flatMap(account => account.keyDigests.map(digest => [digest, account.name] as const)));
    keyOwnersBySet.set(set, owners);
    return owners;
}

function checkWeights(route: HttpRouteObject): readonly Problem[] {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    return total > 0 ? [] : [createProblem(route, "targets", "the weights add up to 0")];
}

// Agents do not limit requests to the cold rate, so it would be exceeded unnoticed on a route to them.
function checkColdRateIsKept(pool: BackendServerPoolObject, set: ObjectSet): readonly Problem[] {
    if (pool.coldStart === undefined) return [];
    const routes = (set.list("route") as readonly RouteObject[]).filter(route => route.pool === pool.name);
    return routes.map(route => createProblem(pool, "coldStart", `is not kept by route/${route.name}, which leads to agents`));
}

const httpRouteNamesBySet = new WeakMap<ObjectSet, ReadonlyMap<string, string>>();

// Of the routes with the same host and path prefix, all but the last are reported.
function checkHostAndPrefixAreUnique(route: HttpRouteObject, set: ObjectSet): readonly Problem[] {
    const getHostAndPrefix = (other: HttpRouteObject) => `${other.host.toLowerCase()} ${other.pathPrefix}`;
    let routeNames = httpRouteNamesBySet.get(set);
    if (routeNames === undefined) {
        routeNames = new Map((set.list("httpRoute") as readonly HttpRouteObject[]).map(other => [getHostAndPrefix(other), other.name]));
        httpRouteNamesBySet.set(set, routeNames);
    }
    const routeName = routeNames.get(getHostAndPrefix(route));
    return routeName === route.name
        ? []
        : [createProblem(route, "pathPrefix", `stands at the same host and prefix as httpRoute/${routeName}`)];
}

function checkModelOrService(route: RouteObject, set: ObjectSet): readonly Problem[] {
    if ((route.model === undefined) === (route.service === undefined)) {
        return [createProblem(route, "model", "needs either a model or a service")];
    }
    const duplicates = (set.list("route") as readonly RouteObject[]).filter(other =>
        other.name !== route.name && other.model === route.model && other.service === route.service
    );
    return duplicates.map(other => createProblem(route, "model", `matches the same requests as route/${other.name}`));
}
