/** Claims of client accounts on idempotency keys: one run, one bill. */
import type { Claim, ClaimOpening, CommandInputs, KeyedUsage } from "../../kernel/messages.js";
import type { ControlPlugin } from "../../kernel/registry.js";

/** The plug-in and what budgets need of it. */
export interface Claims {
    readonly plugin: ControlPlugin;
    /** Bills finished attempts of a recovered lease, and returns the tokens that no other attempt was billed for. */
    billRecovered(uses: readonly KeyedUsage[], nowMs: number): number;
}

/** Control time for which a claim is kept after its last change, by whether its request may be repeated. */
export const claimRetentionMs = { idempotent: 900_000, nonIdempotent: 24 * 3_600_000 } as const;

interface KeptClaim extends Claim {
    /** Request that was billed. A later attempt of the same claim is not billed again. */
    readonly billedRequestId?: string;
    readonly touchedAtMs: number;
}

type ClaimTable = Map<string, KeptClaim>;

/** Creates the claims plug-in. */
export function createClaims(): Claims {
    // One table for each retention. The claim that was touched longest ago comes first.
    const tables: Record<keyof typeof claimRetentionMs, ClaimTable> = { idempotent: new Map(), nonIdempotent: new Map() };

    const plugin: ControlPlugin = {
        name: "claims",
        commands: {
            "claims.open": (input, { nowMs }) => open(input, nowMs),
            "claims.finish": (input, { nowMs }) => finish(input, nowMs),
            "claims.release": ({ clientAccount, key, requestId }) => {
                const claim = find(clientAccount, key);
                if (claim?.requestId !== requestId || claim.state !== "open") return { isReleased: false };
                // A claim that was billed before keeps its bill, so that the next attempt is not billed again.
                if (claim.billedRequestId === undefined) remove(claim);
                return { isReleased: true };
            },
        },
        queries: { "claims.find": ({ clientAccount, key }) => ({ claim: find(clientAccount, key) }) },
        sections: [{
            name: "claims",
            save: () => [...tables.idempotent.values(), ...tables.nonIdempotent.values()],
            load(data) {
                tables.idempotent.clear();
                tables.nonIdempotent.clear();
                for (const claim of data as readonly KeptClaim[]) getTable(claim).set(getClaimKey(claim.clientAccount, claim.key), claim);
            },
        }],
    };

    return {
        plugin,
        billRecovered(uses, nowMs) {
            return uses.reduce((sum, use) => sum + (finish(use, nowMs).isBilled ? use.billedTokens : 0), 0);
        },
    };

    function getTable(claim: { readonly isIdempotent: boolean; }): ClaimTable {
        return claim.isIdempotent ? tables.idempotent : tables.nonIdempotent;
    }

    function find(clientAccount: string, key: string): KeptClaim | undefined {
        const claimKey = getClaimKey(clientAccount, key);
        return tables.nonIdempotent.get(claimKey) ?? tables.idempotent.get(claimKey);
    }

    function remove(claim: Claim): void {
        getTable(claim).delete(getClaimKey(claim.clientAccount, claim.key));
    }

    function put(claim: KeptClaim, nowMs: number): KeptClaim {
        const touched = { ...claim, touchedAtMs: nowMs };
        const table = getTable(claim);
        table.delete(getClaimKey(claim.clientAccount, claim.key));
        table.set(getClaimKey(claim.clientAccount, claim.key), touched);
        dropExpired(nowMs);
        return touched;
    }

    function dropExpired(nowMs: number): void {
        for (const kind of ["idempotent", "nonIdempotent"] as const) {
            for (const [claimKey, claim] of tables[kind]) {
                if (claim.touchedAtMs >= nowMs - claimRetentionMs[kind]) break;
                tables[kind].delete(claimKey);
            }
        }
    }

    function open(input: CommandInputs["claims.open"], nowMs: number): ClaimOpening {
        const held = find(input.clientAccount, input.key);
        if (held === undefined) return { kind: "opened", claim: put(createClaim(input, nowMs), nowMs) };
        if (held.bodyDigest !== input.bodyDigest || held.isIdempotent !== input.isIdempotent) return { kind: "conflict" };
        if (held.requestId === input.requestId) return { kind: "opened", claim: held };
        const isReplaceable = held.isIdempotent && input.replacesRequestId === held.requestId;
        if (!isReplaceable) return { kind: "held", claim: held };
        const next = { ...createClaim(input, nowMs), attempt: held.attempt + 1, billedRequestId: held.billedRequestId };
        return { kind: "opened", claim: put({ ...next, billedTokens: held.billedTokens }, nowMs) };
    }

    // The first attempt that finishes is billed. Any other of the same claim is not.
    function finish(input: KeyedUsage, nowMs: number): { readonly isBilled: boolean; readonly billedTokens: number; } {
        const held = find(input.clientAccount, input.key) ?? createUnclaimed(input, nowMs);
        if (held.billedRequestId !== undefined) {
            const isBilled = held.billedRequestId === input.requestId;
            // The answer of a rerun is the one to attach to from now on.
            if (held.requestId === input.requestId && held.state === "open") put({ ...held, state: "finished" }, nowMs);
            return { isBilled, billedTokens: held.billedTokens };
        }
        put({
            ...held,
            state: "finished",
            requestId: input.requestId,
            billedRequestId: input.requestId,
            billedTokens: input.billedTokens,
        }, nowMs);
        return { isBilled: true, billedTokens: input.billedTokens };
    }
}

function createClaim(input: CommandInputs["claims.open"], nowMs: number): KeptClaim {
    const { clientAccount, key, bodyDigest, requestId, incarnation, address, isIdempotent } = input;
    return {
        clientAccount,
        key,
        bodyDigest,
        requestId,
        incarnation,
        address,
        isIdempotent,
        state: "open",
        billedTokens: 0,
        openedAtMs: nowMs,
        attempt: 0,
        touchedAtMs: nowMs,
    };
}

// An attempt that ran while control could not be reached has no claim yet when it finishes.
function createUnclaimed(input: KeyedUsage, nowMs: number): KeptClaim {
    const { clientAccount, key, requestId } = input;
    return createClaim({ clientAccount, key, requestId, bodyDigest: "", incarnation: "", address: "", isIdempotent: true }, nowMs);
}

function getClaimKey(clientAccount: string, key: string): string {
    return `${clientAccount}\n${key}`;
}
