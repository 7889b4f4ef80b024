/**
 * Learns how long one backend server takes to begin an answer, from the prompt tokens that it has yet to read: a line fitted by
 * least squares, in which older observations count less and less.
 */

/** A model of one backend server. */
export interface StartModel {
    observe(tokens: number, tookMs: number, nowMs: number): void;
    /** Time until an answer begins when so many tokens are read first. */
    predictMs(tokens: number, nowMs: number): number;
    /** Prompt tokens that the server reads in a millisecond. */
    getTokensPerMs(nowMs: number): number;
}

/** Sums over the observations, each weighted by its age. */
interface Sums {
    weight: number;
    tokens: number;
    tookMs: number;
    tokensSquared: number;
    tokensTookMs: number;
}

interface Line {
    readonly baseMs: number;
    readonly msPerToken: number;
}

const halfLifeMs = 6_000;
/** What a server is expected to do before it has been seen at work. */
const priorLine: Line = { baseMs: 15, msPerToken: 1 / 60 };
/** Sizes at which the expectation counts as observed, each with the weight of this many observations. */
const priorTokens = [500, 8_000] as const;
const priorWeight = 2;
const msPerTokenBounds = { least: 1 / 400, most: 1 / 4 } as const;

/** Creates a model that knows only what is expected of any server. */
export function createStartModel(): StartModel {
    const observed: Sums = { weight: 0, tokens: 0, tookMs: 0, tokensSquared: 0, tokensTookMs: 0 };
    let atMs = 0;
    return {
        observe(tokens, tookMs, nowMs) {
            age(nowMs);
            add(observed, tokens, tookMs, 1);
        },
        predictMs(tokens, nowMs) {
            const line = getLine(nowMs);
            return line.baseMs + line.msPerToken * tokens;
        },
        getTokensPerMs: nowMs => 1 / getLine(nowMs).msPerToken,
    };

    function getLine(nowMs: number): Line {
        age(nowMs);
        return fitLine(observed);
    }

    function age(nowMs: number): void {
        scale(observed, 2 ** ((atMs - nowMs) / halfLifeMs));
        atMs = nowMs;
    }
}

function fitLine(observed: Sums): Line {
    const sums = { ...observed };
    for (const tokens of priorTokens) add(sums, tokens, priorLine.baseMs + priorLine.msPerToken * tokens, priorWeight);
    const spread = sums.weight * sums.tokensSquared - sums.tokens ** 2;
    const slope = (sums.weight * sums.tokensTookMs - sums.tokens * sums.tookMs) / spread;
    const msPerToken = Math.min(msPerTokenBounds.most, Math.max(msPerTokenBounds.least, slope));
    return { msPerToken, baseMs: Math.max(0, (sums.tookMs - msPerToken * sums.tokens) / sums.weight) };
}

function add(sums: Sums, tokens: number, tookMs: number, weight: number): void {
    sums.weight += weight;
    sums.tokens += weight * tokens;
    sums.tookMs += weight * tookMs;
    sums.tokensSquared += weight * tokens ** 2;
    sums.tokensTookMs += weight * tokens * tookMs;
}

function scale(sums: Sums, factor: number): void {
    sums.weight *= factor;
    sums.tokens *= factor;
    sums.tookMs *= factor;
    sums.tokensSquared *= factor;
    sums.tokensTookMs *= factor;
}
