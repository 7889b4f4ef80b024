/**
 * Predicts how long a backend server takes to start an answer from the number of prompt tokens that it has to prefill first. The
 * model is a line fitted by least squares, with exponentially decaying weights of older observations.
 */

/** Latency model of one backend server. */
export interface LatencyModel {
    /** Adds an observation: the answer started `latencyMs` after sending, with `tokens` prompt tokens to prefill. */
    observe(tokens: number, latencyMs: number, nowMs: number): void;
    /** Predicts the time until an answer starts when `tokens` prompt tokens are prefilled first. */
    predictMs(tokens: number, nowMs: number): number;
    /** Estimated prefill rate in prompt tokens per millisecond. */
    getTokensPerMs(nowMs: number): number;
}

/** Sums over the observations, weighted by age. */
interface Sums {
    weight: number;
    tokens: number;
    latencyMs: number;
    tokensSquared: number;
    tokensLatencyMs: number;
}

interface Line {
    readonly baseMs: number;
    readonly msPerToken: number;
}

const halfLifeMs = 6_000;
/** Prior estimate for a server without observations. */
const priorLine: Line = { baseMs: 15, msPerToken: 1 / 60 };
/** Token counts at which the prior is added as pseudo-observations, each with the weight of `priorWeight` real ones. */
const priorTokens = [500, 8_000] as const;
const priorWeight = 2;
const msPerTokenBounds = { min: 1 / 400, max: 1 / 4 } as const;

/** Creates a model that starts from the prior. */
export function createLatencyModel(): LatencyModel {
    const observed: Sums = { weight: 0, tokens: 0, latencyMs: 0, tokensSquared: 0, tokensLatencyMs: 0 };
    let decayedAtMs = 0;
    return {
        observe(tokens, latencyMs, nowMs) {
            decay(nowMs);
            add(observed, tokens, latencyMs, 1);
        },
        predictMs(tokens, nowMs) {
            const line = getLine(nowMs);
            return line.baseMs + line.msPerToken * tokens;
        },
        getTokensPerMs: nowMs => 1 / getLine(nowMs).msPerToken,
    };

    function getLine(nowMs: number): Line {
        decay(nowMs);
        return fitLine(observed);
    }

    function decay(nowMs: number): void {
        scale(observed, 2 ** ((decayedAtMs - nowMs) / halfLifeMs));
        decayedAtMs = nowMs;
    }
}

function fitLine(observed: Sums): Line {
    const sums = { ...observed };
    for (const tokens of priorTokens) add(sums, tokens, priorLine.baseMs + priorLine.msPerToken * tokens, priorWeight);
    const denominator = sums.weight * sums.tokensSquared - sums.tokens ** 2;
    const slope = (sums.weight * sums.tokensLatencyMs - sums.tokens * sums.latencyMs) / denominator;
    const msPerToken = Math.min(msPerTokenBounds.max, Math.max(msPerTokenBounds.min, slope));
    return { msPerToken, baseMs: Math.max(0, (sums.latencyMs - msPerToken * sums.tokens) / sums.weight) };
}

function add(sums: Sums, tokens: number, latencyMs: number, weight: number): void {
    sums.weight += weight;
    sums.tokens += weight * tokens;
    sums.latencyMs += weight * latencyMs;
    sums.tokensSquared += weight * tokens ** 2;
    sums.tokensLatencyMs += weight * tokens * latencyMs;
}

function scale(sums: Sums, factor: number): void {
    sums.weight *= factor;
    sums.tokens *= factor;
    sums.latencyMs *= factor;
    sums.tokensSquared *= factor;
    sums.tokensLatencyMs *= factor;
}
