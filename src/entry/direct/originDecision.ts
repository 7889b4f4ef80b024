/** Decides from the answers of control VMs where a stream began. */
import type { OriginReply, StreamOriginRecord } from "../../kernel/contracts.js";

/** The pool and the version of a stream. */
export type StreamOrigin = Pick<StreamOriginRecord, "pool" | "softwareVersion">;

/** What control VMs have answered so far about a stream, and what the entry knows itself. */
export interface OriginEvidence {
    readonly replies: readonly OriginReply[];
    /** Number of control VMs, also of those that have not answered. */
    readonly memberCount: number;
    readonly pool: string;
    /** The only version that the entry has known in the pool for as long as any caller takes a stream up again. */
    readonly onlyVersion: string | undefined;
    /** Returns true if the request could be sent to the pool only, at the start of the window, by the routes that a reply names. */
    readonly beganInPool?: (reply: OriginReply) => boolean;
    /** The same for the time since then. */
    readonly stayedInPool?: (reply: OriginReply) => boolean;
}

/**
 * Returns where a stream began, or undefined if that is not certain yet. Each recorded stream is known to a majority. So a stream that no
 * VM of a majority knows was not recorded, if these VMs have run long enough to have received it, or know of no other pool or version now.
 * A single VM may still have the record of an attempt that failed before the one that began the stream.
 */
export function decideOrigin(evidence: OriginEvidence): StreamOrigin | undefined {
    const { replies, memberCount, pool, onlyVersion, beganInPool = () => true, stayedInPool = () => true } = evidence;
    const isMajority = (count: number) => count * 2 > memberCount;
    const recorded = replies.flatMap(reply => reply.origin ?? []);
    if (recorded.length > 0) return isMajority(replies.length) ? getLatest(recorded) : undefined;
    const witnesses = replies.filter(reply => reply.isWindowKnown);
    const [versionBefore, ...otherVersions] = new Set(witnesses.map(reply => reply.versionBefore));
    if (isMajority(witnesses.length) && witnesses.every(beganInPool) && versionBefore !== undefined && otherVersions.length === 0) {
        return { pool, softwareVersion: versionBefore };
    }
    if (!replies.every(stayedInPool)) return undefined;
    const agreeing = replies.filter(reply => reply.versionsSince?.every(version => version === onlyVersion));
    if (onlyVersion === undefined || agreeing.length < replies.length || !isMajority(agreeing.length)) return undefined;
    return { pool, softwareVersion: onlyVersion };
}

function getLatest(recorded: readonly Omit<StreamOriginRecord, "requestId">[]): StreamOrigin {
    const { pool, softwareVersion } = recorded.reduce((latest, other) => (other.attempt ?? 0) > (latest.attempt ?? 0) ? other : latest);
    return { pool, softwareVersion };
}
