/**
 * Knows how much work a process can still take. It measures the share of the time in which the event loop is busy, and how late timers fire.
 * The share tells of a process that is full, which timers do not: each turn of its event loop is short, and there is no pause between them.
 */
import type { Host, Logger } from "./host.js";

/** Capacity of one process. */
export interface Capacity {
    /** Share of the last window in which the event loop was busy, from 0 to 1. */
    getUtilization(): number;
    /** True while the process has more to do than it can do in time. What can go elsewhere should. */
    isSaturated(): boolean;
    /** Returns the lag of the previous tick or, if it is larger, that of an overdue next one. */
    getLagMs(): number;
    start(signal: AbortSignal): void;
}

/** Time that the event loop of a process was busy until some moment. */
export interface BusySample {
    readonly atMs: number;
    /** Busy time since an arbitrary start. */
    readonly busyMs: number;
}

/** Whether a process is saturated, and since when. */
export interface SaturationState {
    readonly isSaturated: boolean;
    readonly sinceMs: number;
    /** Windows in a row, up to the last one, whose utilization was above the limit. */
    readonly fullWindows: number;
}

const tickMs = 125;
/** Ticks of one window, whose utilization is measured over 250 ms or, if ticks are late, longer. */
const ticksPerWindow = 2;
const warningThresholdMs = 250;
const saturatedAbove = 0.9;
const relievedBelow = 0.7;
/** A burst of half a second, such as the first requests after a pause, is not saturation. */
const windowsToSaturate = 3;
/** Time for which a state lasts at least. The platform asks once a second whether a process is ready. */
const minStateMs = 1_000;

/** State of a process that has just started. */
export const initialSaturation: SaturationState = { isSaturated: false, sinceMs: -Infinity, fullWindows: 0 };

/** Returns the share of the time between two samples in which the event loop was busy. */
export function computeUtilization(previous: BusySample, next: BusySample): number {
    const elapsedMs = next.atMs - previous.atMs;
    return elapsedMs <= 0 ? 0 : Math.min(1, Math.max(0, (next.busyMs - previous.busyMs) / elapsedMs));
}

/** Returns the state after a window that has ended now. */
export function updateSaturation(state: SaturationState, utilization: number, nowMs: number): SaturationState {
    const fullWindows = utilization > saturatedAbove ? state.fullWindows + 1 : 0;
    const isOver = state.isSaturated ? utilization < relievedBelow : fullWindows >= windowsToSaturate;
    if (!isOver || nowMs - state.sinceMs < minStateMs) return { ...state, fullWindows };
    return { isSaturated: !state.isSaturated, sinceMs: nowMs, fullWindows };
}

/** Creates the part that measures the capacity of a process. It logs late timers, and the begin and end of saturation. */
export function createCapacity(host: Pick<Host, "clock" | "timers" | "processor">, log: Logger): Capacity {
    let dueAtMs = Infinity;
    let lastLagMs = 0;
    let ticks = 0;
    let utilization = 0;
    let saturation = initialSaturation;
    let lastSample: BusySample = { atMs: 0, busyMs: 0 };
    return {
        getUtilization: () => utilization,
        isSaturated: () => saturation.isSaturated,
        getLagMs: () => Math.max(lastLagMs, host.clock.nowMs() - dueAtMs),
        start(signal) {
            lastSample = takeSample();
            schedule(signal);
        },
    };

    function takeSample(): BusySample {
        return { atMs: host.clock.nowMs(), busyMs: host.processor.getBusyMs() };
    }

    function schedule(signal: AbortSignal): void {
        dueAtMs = host.clock.nowMs() + tickMs;
        const cancel = host.timers.after(tickMs, () => {
            signal.removeEventListener("abort", cancel);
            lastLagMs = Math.max(0, host.clock.nowMs() - dueAtMs);
            if (lastLagMs > warningThresholdMs) log.warn("Timers are firing late.", { lagMs: Math.round(lastLagMs) });
            ticks++;
            if (ticks % ticksPerWindow === 0) endWindow();
            if (!signal.aborted) schedule(signal);
        });
        signal.addEventListener("abort", cancel);
    }

    function endWindow(): void {
        const sample = takeSample();
        utilization = computeUtilization(lastSample, sample);
        const windowMs = sample.atMs - lastSample.atMs;
        lastSample = sample;
        const previous = saturation;
        saturation = updateSaturation(previous, utilization, sample.atMs);
        if (saturation.isSaturated === previous.isSaturated) return;
        const fields = { utilization: Number(utilization.toFixed(2)), windowMs: Math.round(windowMs), lagMs: Math.round(lastLagMs) };
        if (saturation.isSaturated) log.warn("The process is saturated.", fields);
        else log.info("The process is no longer saturated.", { ...fields, saturatedMs: Math.round(sample.atMs - previous.sinceMs) });
    }
}
