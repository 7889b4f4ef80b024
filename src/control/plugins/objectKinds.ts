/** The object kinds of a set, each with the checks of its references. */
import type { Problem } from "../../kernel/messages.js";
import { backendServerPoolSchema, budgetSchema, clientAccountSchema, policySchema, routeSchema } from "../../kernel/objects.js";
import type { BackendServerPoolObject, BudgetObject, ClientAccountObject, PolicyObject, RouteObject } from "../../kernel/objects.js";
import type { ControlPlugin, ObjectKind, ObjectSet } from "../../kernel/registry.js";

/** Creates the plug-in that brings the object kinds. `hasOpenLeases` tells of a budget that is in use. */
export function createObjectKinds(hasOpenLeases: (budget: string) => boolean): ControlPlugin {
    const clientAccount: ObjectKind<ClientAccountObject> = {
        kind: "clientAccount",
        schema: clientAccountSchema,
        check: (account, set) => [
            ...checkReference(account, "budget", "budget", account.budget, set),
            ...checkReference(account, "policy", "policy", account.policy, set),
            ...checkListed(account, set),
            ...checkKeysAreOwn(account, set),
        ],
    };
    const budget: ObjectKind<BudgetObject> = {
        kind: "budget",
        schema: budgetSchema,
        check: (object, set) => [
            ...checkReference(object, "policy", "policy", object.policy, set),
            ...object.clientAccounts.flatMap(name => checkReference(object, "clientAccounts", "clientAccount", name, set)),
            ...object.clientAccounts.flatMap(name => checkDrawsHere(object, name, set)),
        ],
        checkRemoval: object =>
            hasOpenLeases(object.name) ? [createProblem(object, "name", "has open leases and cannot be taken away")] : [],
    };
    const policy: ObjectKind<PolicyObject> = { kind: "policy", schema: policySchema, check: () => [] };
    const pool: ObjectKind<BackendServerPoolObject> = { kind: "backendServerPool", schema: backendServerPoolSchema, check: () => [] };
    const route: ObjectKind<RouteObject> = {
        kind: "route",
        schema: routeSchema,
        check: (object, set) => [
            ...checkReference(object, "pool", "backendServerPool", object.pool, set),
            ...checkMatch(object, set),
        ],
    };
    return { name: "objectKinds", objectKinds: [clientAccount, budget, policy, pool, route] };
}

interface Named {
    readonly kind: string;
    readonly name: string;
}

function createProblem(object: Named, field: string, detail: string): Problem {
    return { object: `${object.kind}/${object.name}`, field, detail };
}

function checkReference(object: Named, field: string, kind: string, name: string, set: ObjectSet): readonly Problem[] {
    return set.has(kind, name) ? [] : [createProblem(object, field, `refers to ${kind}/${name}, which is not in the set`)];
}

// An account and its budget name each other, so that neither can be pointed elsewhere by half a change.
function checkListed(account: ClientAccountObject, set: ObjectSet): readonly Problem[] {
    const budget = set.get("budget", account.budget) as BudgetObject | undefined;
    if (budget === undefined || budget.clientAccounts.includes(account.name)) return [];
    return [createProblem(account, "budget", `budget/${budget.name} does not list this client account`)];
}

function checkDrawsHere(budget: BudgetObject, name: string, set: ObjectSet): readonly Problem[] {
    const account = set.get("clientAccount", name) as ClientAccountObject | undefined;
    if (account === undefined || account.budget === budget.name) return [];
    return [createProblem(budget, "clientAccounts", `clientAccount/${name} draws on budget/${account.budget}`)];
}

function checkKeysAreOwn(account: ClientAccountObject, set: ObjectSet): readonly Problem[] {
    const owners = getKeyOwners(set);
    const others = account.keyDigests.map(digest => owners.get(digest)).filter(owner => owner !== account.name);
    return others.map(other => createProblem(account, "keyDigests", `shares a key with clientAccount/${other}`));
}

const keyOwners = new WeakMap<ObjectSet, ReadonlyMap<string, string>>();

// The last account that lists a key owns it, so that every other one is a problem.
function getKeyOwners(set: ObjectSet): ReadonlyMap<string, string> {
    const known = keyOwners.get(set);
    if (known !== undefined) return known;
    const accounts = set.list("clientAccount") as readonly ClientAccountObject[];
    const owners = new Map(accounts.flatMap(account => account.keyDigests.map(digest => [digest, account.name] as const)));
    keyOwners.set(set, owners);
    return owners;
}

function checkMatch(route: RouteObject, set: ObjectSet): readonly Problem[] {
    if ((route.model === undefined) === (route.service === undefined)) {
        return [createProblem(route, "model", "needs either a model or a service")];
    }
    const twins = (set.list("route") as readonly RouteObject[]).filter(other =>
        other.name !== route.name && other.model === route.model && other.service === route.service
    );
    return twins.map(other => createProblem(route, "model", `matches the same requests as route/${other.name}`));
}
