/** The ids of the requests that were refused on one connection. The connection must be closed when there is no room for more. */

/** Ids of refused requests. */
export interface RefusedIds {
    add(requestId: string): void;
    has(requestId: string): boolean;
    clear(): void;
    readonly isFull: boolean;
}

const maxIds = 100;
/** Callers choose their ids, which may be as long as a head allows. */
const maxLength = 16 * 1024;

/** Creates an empty set of ids. */
export function createRefusedIds(): RefusedIds {
    const ids = new Set<string>();
    let length = 0;
    return {
        add(requestId) {
            if (ids.has(requestId)) return;
            ids.add(requestId);
            length += requestId.length;
        },
        has: requestId => ids.has(requestId),
        clear() {
            ids.clear();
            length = 0;
        },
        get isFull() {
            return ids.size >= maxIds || length >= maxLength;
        },
    };
}
