/**
 * Which backend servers of a pool a request may be sent to now: those of its stream's software version that are in no evacuated failure
 * domain, have not been tried, are within their rates, and have not said that they want no more.
 */
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { ServerLimits } from "./serverLimits.js";
import type { ServerNotices } from "./serverNotices.js";

/** A request that looks for a server. */
export interface ServerQuery {
    /** Software version at which the stream began that the request goes on with. Absent if any version will do. */
    readonly softwareVersion?: string;
    /** Servers that have another version than their records say. */
    readonly otherServers?: ReadonlySet<string>;
    readonly triedServers: ReadonlySet<string>;
}

/** Servers that may be used, or why there are none. */
export type ServerChoice =
    | { readonly kind: "open"; readonly servers: readonly BackendServerRecord[]; }
    /** No server is left to try. */
    | { readonly kind: "none"; }
    /** No server of the stream's software version is in service. */
    | { readonly kind: "versionGone"; }
    /** All servers that could be used are in failure domains that are being evacuated. */
    | { readonly kind: "evacuated"; }
    /** All servers want no request now, from this entry. Some entry may send one after the time. */
    | { readonly kind: "limited"; readonly fleetWaitMs: number; };

/** What restricts the choice. */
export interface ServerRestrictions {
    readonly limits: Pick<ServerLimits, "getWaitMs" | "getFleetWaitMs">;
    readonly notices: Pick<ServerNotices, "getWaitMs" | "isLeaving">;
    readonly isEvacuated: (failureDomain: string) => boolean;
}

/** True if a pool has servers, and all are in failure domains that are being evacuated. */
export function isPoolEvacuated(pool: readonly BackendServerRecord[], isEvacuated: ServerRestrictions["isEvacuated"]): boolean {
    return pool.length > 0 && pool.every(server => isEvacuated(server.failureDomain));
}

/** Chooses the servers of a pool that a request may be sent to. */
export function chooseServers(
    pool: readonly BackendServerRecord[],
    query: ServerQuery,
    { limits, notices, isEvacuated }: ServerRestrictions,
    nowMs: number,
): ServerChoice {
    const { softwareVersion, otherServers, triedServers } = query;
    const hasVersion = (server: BackendServerRecord) =>
        server.softwareVersion === softwareVersion && otherServers?.has(server.backendServer) !== true;
    const fitting = pool.filter(server => softwareVersion === undefined || hasVersion(server));
    if (fitting.length === 0 && softwareVersion !== undefined) return { kind: "versionGone" };
    if (isPoolEvacuated(fitting, isEvacuated)) return { kind: "evacuated" };
    const untried = fitting.filter(server => !isEvacuated(server.failureDomain) && !triedServers.has(server.backendServer));
    const open = untried.filter(server => limits.getWaitMs(server.backendServer, nowMs) === 0 && notices.getWaitMs(server, nowMs) === 0);
    if (open.length === 0) return createWait(untried);
    const staying = open.filter(server => !notices.isLeaving(server));
    return { kind: "open", servers: staying.length > 0 ? staying : open };

    // A caller that returns may reach another entry, which may be allowed to send earlier than this one. A pause is meant for this entry
    // only, but a server that asked one entry for it has no room for the others either.
    function createWait(servers: readonly BackendServerRecord[]): ServerChoice {
        const pausesMs = servers.map(server => notices.getWaitMs(server, nowMs));
        const unpaused = servers.filter((_, index) => pausesMs[index] === 0).map(server => server.backendServer);
        const fleetWaitMs = unpaused.length > 0 ? limits.getFleetWaitMs(unpaused, nowMs) : Math.min(...pausesMs);
        return fleetWaitMs < Infinity ? { kind: "limited", fleetWaitMs } : { kind: "none" };
    }
}
