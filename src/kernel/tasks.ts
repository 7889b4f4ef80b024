/** Small helpers for asynchronous tasks on a host: sleeping, deadlines, signals and line reading. */
import { setMaxListeners } from "node:events";
import type { Clock, Host, Timers } from "./host.js";

/** Thrown when a wait ends because its deadline passed. */
export class TimeoutError extends Error {
    override readonly name = "TimeoutError";
}

/** Part of a host that waits need. */
export type TimeHost = Pick<Host, "clock" | "timers">;

/** Resolves after the delay, or at once when the signal is aborted. */
export function sleep(timers: Timers, delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal?.aborted) return resolve();
        const finish = () => {
            cancel();
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const cancel = timers.after(delayMs, finish);
        signal?.addEventListener("abort", finish);
    });
}

/** Settles as the promise does, or rejects with a `TimeoutError` after the limit. */
export function withTimeout<T>(timers: Timers, promise: Promise<T>, timeoutMs: number, operation: string): Promise<T> {
    return new Promise((resolve, reject) => {
        const cancel = timers.after(timeoutMs, () => reject(new TimeoutError(`${operation} took longer than ${timeoutMs} ms`)));
        promise.then(
            value => {
                cancel();
                resolve(value);
            },
            error => {
                cancel();
                reject(error);
            },
        );
    });
}

/** Creates the controller of a signal that stops a whole part, on which any number of its tasks wait. */
export function createStopController(): AbortController {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    return controller;
}

/** A condition that tasks wait for. Each `notify` wakes every waiter once. */
export interface Notifier {
    notify(): void;
    /** Resolves true when notified, false when the time is up. */
    wait(timeoutMs: number): Promise<boolean>;
}

/** Creates a signal. */
export function createNotifier(timers: Timers): Notifier {
    const waiters = new Set<() => void>();
    return {
        notify() {
            const woken = [...waiters];
            waiters.clear();
            for (const wake of woken) wake();
        },
        wait(timeoutMs) {
            return new Promise(resolve => {
                const wake = () => {
                    cancel();
                    resolve(true);
                };
                const cancel = timers.after(timeoutMs, () => {
                    waiters.delete(wake);
                    resolve(false);
                });
                waiters.add(wake);
            });
        },
    };
}

/** Waits until the condition holds or the time is up. The signal tells when to look again. */
export async function waitUntil(host: TimeHost, notifier: Notifier, isMet: () => boolean, timeoutMs: number): Promise<boolean> {
    const deadlineMs = getDeadlineMs(host.clock, timeoutMs);
    while (!isMet()) {
        const remainingMs = deadlineMs - host.clock.nowMs();
        if (remainingMs <= 0) return false;
        await notifier.wait(remainingMs);
    }
    return true;
}

/** Runs the step over and over with a pause between, until the signal is aborted. Errors go to the handler. */
export async function runPeriodically(
    timers: Timers,
    intervalMs: number,
    signal: AbortSignal,
    task: () => Promise<void>,
    onError: (error: unknown) => void,
): Promise<void> {
    while (!signal.aborted) {
        try {
            await task();
        }
        catch (error) {
            onError(error);
        }
        await sleep(timers, intervalMs, signal);
    }
}

/** Splits a stream of bytes into lines of text. A last line without its end is dropped. */
export async function* readLines(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
    const decoder = new TextDecoder();
    let unterminated = "";
    for await (const chunk of chunks) {
        unterminated += decoder.decode(chunk, { stream: true });
        const lines = unterminated.split("\n");
        unterminated = lines.pop() ?? "";
        yield* lines;
    }
}

/** Reads a whole body of bytes. */
export async function readAll(chunks: AsyncIterable<Uint8Array>): Promise<Uint8Array> {
    const parts: Uint8Array[] = [];
    for await (const chunk of chunks) parts.push(chunk);
    return Buffer.concat(parts);
}

/** Sentence of an unknown error, for logs and details. */
export function getErrorText(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}

function getDeadlineMs(clock: Clock, timeoutMs: number): number {
    return clock.nowMs() + timeoutMs;
}
