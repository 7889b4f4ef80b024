/** Claims of client accounts on idempotency keys. They prevent a keyed request from being billed twice. */
import type { Claim, ClaimOpening, CommandInputs, KeyedUsage } from "../../kernel/messages.js";
import type { ControlPlugin } from "../../kernel/registry.js";

/** The plug-in, and the operation that the budget plug-in uses. */
export interface Claims {
    readonly plugin: ControlPlugin;
    /** Bills the finished attempts of a recovered lease. Returns the tokens billed, without claims already billed to another attempt. */
    billRecovered(uses: readonly KeyedUsage[], nowMs: number): number;
}

/** How long a claim is kept after its last change, in control time, for idempotent and non-idempotent requests. */
export const claimRetentionMs = { idempotent: 900_000, nonIdempotent: 24 * 3_600_000 } as const;

interface StoredClaim extends Claim {
    /** Id of the request that was billed. Later attempts under the same claim are not billed. */
    readonly billedRequestId?: string;
    readonly touchedAtMs: number;
}

type ClaimTable = Map<string, StoredClaim>;

/** Creates the claims plug-in. */
export function createClaims(): Claims {
    // One table for each retention period, ordered by last change with the oldest first.
    const tables: Record<keyof typeof claimRetentionMs, ClaimTable> = { idempotent: new Map(), nonIdempotent: new Map() };

    const plugin: ControlPlugin = {
        name: "claims",
        commands: {
            "claims.open": (input, { nowMs }) => openClaim(input, nowMs),
            "claims.finish": (input, { nowMs }) => finishClaim(input, nowMs),
            "claims.release": ({ clientAccount, key, requestId }) => {
                const claim = findClaim(clientAccount, key);
                if (claim?.requestId !== requestId || claim.state !== "open") return { isReleased: false };
                // A claim that was already billed is kept, so that the next attempt is not billed again.
                if (claim.billedRequestId === undefined) deleteClaim(claim);
                return { isReleased: true };
            },
        },
        queries: { "claims.find": ({ clientAccount, key }) => ({ claim: findClaim(clientAccount, key) }) },
        sections: [{
            name: "claims",
            save: () => [...tables.idempotent.values(), ...tables.nonIdempotent.values()],
            load(data) {
                tables.idempotent.clear();
                tables.nonIdempotent.clear();
                for (const claim of data as readonly StoredClaim[]) getTable(claim).set(getClaimKey(claim.clientAccount, claim.key), claim);
            },
        }],
    };

    return {
        plugin,
        billRecovered(uses, nowMs) {
            return uses.reduce((sum, use) => sum + (finishClaim(use, nowMs).isBilled ? use.billedTokens : 0), 0);
        },
    };

    function getTable(claim: { readonly isIdempotent: boolean; }): ClaimTable {
        return claim.isIdempotent ? tables.idempotent : tables.nonIdempotent;
    }

    function findClaim(clientAccount: string, key: string): StoredClaim | undefined {
        const claimKey = getClaimKey(clientAccount, key);
        return tables.nonIdempotent.get(claimKey) ?? tables.idempotent.get(claimKey);
    }

    function deleteClaim(claim: Claim): void {
        getTable(claim).delete(getClaimKey(claim.clientAccount, claim.key));
    }

    function storeClaim(claim: StoredClaim, nowMs: number): StoredClaim {
        const stored = { ...claim, touchedAtMs: nowMs };
        const table = getTable(claim);
        table.delete(getClaimKey(claim.clientAccount, claim.key));
        table.set(getClaimKey(claim.clientAccount, claim.key), stored);
        deleteExpiredClaims(nowMs);
        return stored;
    }

    function deleteExpiredClaims(nowMs: number): void {
        for (const retention of ["idempotent", "nonIdempotent"] as const) {
            for (const [claimKey, claim] of tables[retention]) {
                if (claim.touchedAtMs >= nowMs - claimRetentionMs[retention]) break;
                tables[retention].delete(claimKey);
            }
        }
    }

    function openClaim(input: CommandInputs["claims.open"], nowMs: number): ClaimOpening {
        const existing = findClaim(input.clientAccount, input.key);
        if (existing === undefined) return { kind: "opened", claim: storeClaim(createClaim(input, nowMs), nowMs) };
        if (existing.bodyDigest !== input.bodyDigest || existing.isIdempotent !== input.isIdempotent) return { kind: "conflict" };
        if (existing.requestId === input.requestId) return { kind: "opened", claim: existing };
        const isReplaceable = existing.isIdempotent && input.replacesRequestId === existing.requestId;
        if (!isReplaceable) return { kind: "held", claim: existing };
        const replacement = { ...createClaim(input, nowMs), attempt: existing.attempt + 1, billedRequestId: existing.billedRequestId };
        return { kind: "opened", claim: storeClaim({ ...replacement, billedTokens: existing.billedTokens }, nowMs) };
    }

    // Bills only the first attempt of a claim that finishes.
    function finishClaim(input: KeyedUsage, nowMs: number): { readonly isBilled: boolean; readonly billedTokens: number; } {
        const existing = findClaim(input.clientAccount, input.key) ?? createMissingClaim(input, nowMs);
        if (existing.billedRequestId !== undefined) {
            const isBilled = existing.billedRequestId === input.requestId;
            // After a rerun, repeated requests attach to the response of the rerun.
            if (existing.requestId === input.requestId && existing.state === "open") storeClaim({ ...existing, state: "finished" }, nowMs);
            return { isBilled, billedTokens: existing.billedTokens };
        }
        storeClaim({
            ...existing,
            state: "finished",
            requestId: input.requestId,
            billedRequestId: input.requestId,
            billedTokens: input.billedTokens,
        }, nowMs);
        return { isBilled: true, billedTokens: input.billedTokens };
    }
}

function createClaim(input: CommandInputs["claims.open"], nowMs: number): StoredClaim {
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

// Creates the claim of an attempt that ran while control was unreachable, and so finishes without an open claim.
function createMissingClaim(input: KeyedUsage, nowMs: number): StoredClaim {
    const { clientAccount, key, requestId } = input;
    return createClaim({ clientAccount, key, requestId, bodyDigest: "", incarnation: "", address: "", isIdempotent: true }, nowMs);
}

function getClaimKey(clientAccount: string, key: string): string {
    return `${clientAccount}\n${key}`;
}
