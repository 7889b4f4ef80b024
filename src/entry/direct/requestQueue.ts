/**
 * Order in which an entry works on the requests that have arrived. Node.js accepts one connection per turn of the event loop, so work
 * on requests that is done as they arrive leaves other callers in the listen queue, where nothing can refuse them. Here the entry
 * accepts first, works on one request per turn, and refuses at once what it could not begin in time.
 */
import type { Host } from "../../kernel/host.js";
import { sleep } from "../../kernel/tasks.js";

/** Requests that wait for their turn. */
export interface RequestQueue {
    /** Records that a connection was accepted, so that more may be waiting in the listen queue. */
    recordConnection(): void;
    /** Resolves to true when it is the request's turn, or to false at once if its turn would come too late. */
    takeTurn(): Promise<boolean>;
    /** Expected wait of a request that arrives now. */
    getExpectedWaitMs(): number;
}

/** A request is refused when its wait is expected to be longer. Callers then find another entry within their objective. */
const maxWaitMs = 150;
/** Maximum number of turns in a row that only accept connections. */
const maxAcceptTurns = 8;
/** Pause in which the event loop reads and accepts what has arrived. */
const pauseMs = 1;
/** Weight of a new observation in the mean time between two admitted requests. */
const turnGain = 0.2;
const initialTurnMs = 1;

/** Creates an empty queue. */
export function createRequestQueue(host: Pick<Host, "clock" | "timers">): RequestQueue {
    const waiting: ((isAdmitted: boolean) => void)[] = [];
    let isRunning = false;
    let hasAccepted = false;
    let meanTurnMs = initialTurnMs;

    return {
        recordConnection() {
            hasAccepted = true;
        },
        takeTurn() {
            // Without new connections nobody can be left in the listen queue.
            if (!hasAccepted && !isRunning) return Promise.resolve(true);
            if (getExpectedWaitMs() > maxWaitMs) return Promise.resolve(false);
            return new Promise(resolve => {
                waiting.push(resolve);
                if (!isRunning) void run();
            });
        },
        getExpectedWaitMs,
    };

    function getExpectedWaitMs(): number {
        return waiting.length * meanTurnMs;
    }

    async function run(): Promise<void> {
        isRunning = true;
        let acceptTurns = 0;
        let lastAdmittedAtMs = host.clock.nowMs();
        while (waiting.length > 0) {
            const mustAccept = hasAccepted && acceptTurns < maxAcceptTurns;
            hasAccepted = false;
            acceptTurns = mustAccept ? acceptTurns + 1 : 0;
            if (!mustAccept) waiting.shift()!(true);
            await sleep(host.timers, pauseMs);
            if (mustAccept) continue;
            const nowMs = host.clock.nowMs();
            meanTurnMs += turnGain * (Math.min(nowMs - lastAdmittedAtMs, maxWaitMs) - meanTurnMs);
            lastAdmittedAtMs = nowMs;
        }
        isRunning = false;
    }
}
