/** Measures CPU time, wall time and heap use of single operations, and fits lines over several sizes. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** A straight line through measured points: y = intercept + slope * x. */
export interface LineFit {
    readonly slope: number;
    readonly intercept: number;
    /** Largest distance of a point from the line, relative to the largest value. */
    readonly worstError: number;
    readonly points: readonly (readonly [number, number])[];
}

const microsecondsPerMs = 1_000;

/** CPU time of an operation, in microseconds. The minimum of several tries, because other processes share the machine. */
export async function measureCpuMicros(operation: () => unknown, tries = 5): Promise<number> {
    let minimum = Infinity;
    for (let count = 0; count < tries; count++) {
        const before = process.cpuUsage();
        await operation();
        const used = process.cpuUsage(before);
        minimum = Math.min(minimum, used.user + used.system);
    }
    return minimum;
}

/** Wall time of an operation, in milliseconds. */
export async function measureMs(operation: () => unknown): Promise<number> {
    const startedAtMs = performance.now();
    await operation();
    return performance.now() - startedAtMs;
}

/** Heap that the created value retains, in bytes. */
export function measureHeapBytes(create: () => unknown): number {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const retained = create();
    collectGarbage();
    const after = process.memoryUsage().heapUsed;
    // This use keeps the value reachable during the collection. Otherwise it could be freed and not counted.
    return retained === undefined ? 0 : after - before;
}

function collectGarbage(): void {
    setFlagsFromString("--expose-gc");
    const gc = runInNewContext("gc") as () => void;
    gc();
    gc();
}

/** Fits a line by least squares. */
export function fitLine(points: readonly (readonly [number, number])[]): LineFit {
    const count = points.length;
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
    const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    const slope = covariance / variance;
    const intercept = meanY - slope * meanX;
    const largestValue = Math.max(...points.map(([, y]) => Math.abs(y)));
    const worstError = Math.max(...points.map(([x, y]) => Math.abs(y - intercept - slope * x))) / largestValue;
    return { slope, intercept, worstError, points };
}

/** Measures a cost at several sizes and fits a line. */
export async function measureSlope(sizes: readonly number[], measure: (size: number) => Promise<number> | number): Promise<LineFit> {
    const points: [number, number][] = [];
    for (const size of sizes) points.push([size, await measure(size)]);
    return fitLine(points);
}

/** Converts microseconds to milliseconds. */
export function microsToMs(micros: number): number {
    return micros / microsecondsPerMs;
}
