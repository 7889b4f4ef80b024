/** Helpers for asynchronous tasks: sleeping, timeouts, notifications, periodic tasks, and reading of byte streams. */
import { setMaxListeners } from "node:events";
import VError from "verror";
import { createByteCollector } from "./byteCollector.js";
import type { HeldMessage } from "./heldBytes.js";
import type { Cancel, Clock, Host, IncomingResponse, TakePart, Timers } from "./host.js";

/** Thrown if an operation does not finish within its timeout. */
export class TimeoutError extends Error {
    override readonly name = "TimeoutError";
}

/** The part of a host that is needed to wait with a timeout. */
export type TimeHost = Pick<Host, "clock" | "timers">;

/** Resolves after the delay, or as soon as the signal is aborted. */
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

/**
 * Runs the callback after the delay, once everything that had arrived by then has been processed. A timer runs before input that waits to
 * be read, so in a process whose event loop was busy a plain timer takes replies that are there for missing ones.
 */
export function afterArrivals(timers: Timers, delayMs: number, callback: () => void): Cancel {
    // The event loop reads input between two timers. A reply can take two reads, one for its head and one for its body.
    let cancel = timers.after(delayMs, () => {
        cancel = timers.after(0, () => {
            cancel = timers.after(0, callback);
        });
    });
    return () => cancel();
}

/**
 * Settles like the promise, or rejects with a `TimeoutError` after the timeout. A result that had arrived before the timeout counts, also
 * if this process was too busy to read it in time. The operation itself is not cancelled.
 */
export function withTimeout<T>(timers: Timers, promise: Promise<T>, timeoutMs: number, operation: string): Promise<T> {
    return new Promise((resolve, reject) => {
        const cancel = afterArrivals(timers, timeoutMs, () => reject(new TimeoutError(`${operation} took longer than ${timeoutMs} ms`)));
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

/**
 * Makes a call and settles like it, or rejects with a `TimeoutError` after the timeout. A call that is given up is told by its signal, so
 * that neither its message nor what waits for its answer is kept.
 */
export async function callWithTimeout<T>(
    timers: Timers,
    call: (signal: AbortSignal) => Promise<T>,
    timeoutMs: number,
    operation: string,
): Promise<T> {
    const givenUp = new AbortController();
    try {
        return await withTimeout(timers, call(givenUp.signal), timeoutMs, operation);
    }
    finally {
        givenUp.abort();
    }
}

/** Creates the controller that stops a component. Any number of tasks may listen on its signal without a listener leak warning. */
export function createStopController(): AbortController {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    return controller;
}

/** Notifies tasks that a condition may have changed. Each `notify` wakes all tasks that are waiting at that time. */
export interface Notifier {
    notify(): void;
    /** Resolves to true when notified, or to false after the timeout. */
    wait(timeoutMs: number): Promise<boolean>;
}

/** Creates a notifier. */
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

/** Waits until the condition holds, and returns false after the timeout. The condition is checked on each notification. */
export async function waitUntil(host: TimeHost, notifier: Notifier, isMet: () => boolean, timeoutMs: number): Promise<boolean> {
    const deadlineMs = getDeadlineMs(host.clock, timeoutMs);
    while (!isMet()) {
        const remainingMs = deadlineMs - host.clock.nowMs();
        if (remainingMs <= 0) return false;
        await notifier.wait(remainingMs);
    }
    return true;
}

/** Runs the task repeatedly, with a pause of `intervalMs` after each run, until the signal is aborted. Errors go to the handler. */
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

/** Splits a byte stream into lines of text. An unterminated last line is dropped. Throws if a line is longer than the limit. */
export async function* readLines(chunks: AsyncIterable<Uint8Array>, maxBytes: number): AsyncGenerator<string> {
    const unterminated = createByteCollector();
    for await (const chunk of chunks) {
        let start = 0;
        // Only what has just arrived is searched, so that the time for a line grows with its length.
        for (let end = chunk.indexOf(lineFeed); end >= 0; end = chunk.indexOf(lineFeed, start)) {
            unterminated.add(chunk.subarray(start, end));
            yield unterminated.take().toString("utf8");
            start = end + 1;
        }
        unterminated.add(chunk.subarray(start));
        if (unterminated.sizeBytes > maxBytes) throw new VError("a line is larger than %d bytes", maxBytes);
    }
}

/**
 * Reads a byte stream to its end. Throws if it is longer than the limit, which closes the connection that it comes from. `held` counts the
 * bytes while they are read.
 */
export async function readAll(
    chunks: AsyncIterable<Uint8Array>,
    maxBytes: number,
    held?: Pick<HeldMessage, "setSize">,
): Promise<Uint8Array> {
    const parts = createByteCollector();
    try {
        for await (const chunk of chunks) {
            parts.add(chunk);
            if (parts.sizeBytes > maxBytes) throw new VError("a body is larger than %d bytes", maxBytes);
            held?.setSize(parts.heldBytes);
        }
        return parts.take();
    }
    finally {
        parts.discard();
    }
}

/** Passes the parts of a response's body to `take`, in the way that takes the fewest promises. Throws as the reading of the body does. */
export async function forEachPart(response: Pick<IncomingResponse, "body" | "forEachPart">, take: TakePart): Promise<void> {
    if (response.forEachPart !== undefined) return response.forEachPart(take);
    for await (const part of response.body) await take(part);
}

/** Reads a byte stream up to the limit and returns that much of it. The rest is not read, which closes the connection that it comes from. */
export async function readStart(chunks: AsyncIterable<Uint8Array>, maxBytes: number): Promise<Uint8Array> {
    const parts = createByteCollector();
    for await (const chunk of chunks) {
        parts.add(chunk);
        if (parts.sizeBytes >= maxBytes) break;
    }
    return parts.take().subarray(0, maxBytes);
}

const lineFeed = 10;

/** Returns the message of an error of unknown type, for logs and verdict details. */
export function getErrorText(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}

function getDeadlineMs(clock: Clock, timeoutMs: number): number {
    return clock.nowMs() + timeoutMs;
}
