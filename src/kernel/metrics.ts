/** Metrics in the Prometheus text format, with quantiles from HDR histograms. */
import type { Histogram } from "hdr-histogram-js";
import { collectDefaultMetrics, Gauge, Registry } from "prom-client";

/** One gauge value, read when the metrics are scraped. */
export interface MetricReading {
    readonly name: string;
    readonly help: string;
    readonly value: number;
    readonly labels?: Readonly<Record<string, string>>;
}

/** Reads the current metrics of one process. */
export type MetricSource = () => readonly MetricReading[];

const quantiles = [50, 95, 99] as const;
const microsecondsPerSecond = 1_000_000;

/** Returns the quantiles, in seconds, of an HDR histogram that holds microseconds. */
export function readHistogram(
    name: string,
    help: string,
    histogram: Histogram,
    labels: Readonly<Record<string, string>>,
): readonly MetricReading[] {
    return quantiles.map(quantile => ({
        name,
        help,
        value: histogram.getValueAtPercentile(quantile) / microsecondsPerSecond,
        labels: { ...labels, quantile: String(quantile / 100) },
    }));
}

/**
 * Creates a function that renders the metrics page. The metrics of the runtime are collected from its first call on: one of them runs a timer
 * every 10 ms, which is most of what an idle process uses.
 */
export function createMetricsPage(source: MetricSource): () => Promise<string> {
    let defaults: Registry | undefined;
    return async () => {
        if (defaults === undefined) {
            defaults = new Registry();
            collectDefaultMetrics({ register: defaults });
        }
        const registry = new Registry();
        const gauges = new Map<string, Gauge>();
        for (const reading of source()) {
            const labelNames = Object.keys(reading.labels ?? {});
            const gauge = gauges.get(reading.name) ??
                new Gauge({ name: reading.name, help: reading.help, labelNames, registers: [registry] });
            gauges.set(reading.name, gauge);
            gauge.set(reading.labels ?? {}, reading.value);
        }
        return await defaults.metrics() + await registry.metrics();
    };
}
