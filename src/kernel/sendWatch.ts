/**
 * Tells of a request that failed whether any part of it was sent, by the stage that it had reached and not by its error. A request is written
 * to one connection at most.
 */
import type { Dispatcher } from "undici";
import VError from "verror";

/** Follows one request. */
export interface SendWatch {
    /**
     * True once the request was handed to an established connection. An aborted request counts as handed over: it fails for the reason of its
     * abort, which says nothing about its server.
     */
    readonly mayBeSent: boolean;
    /** Composed with the dispatcher of the request. */
    readonly interceptor: Dispatcher.DispatcherComposeInterceptor;
}

/** Starts to follow a request that ends when the signal is aborted. `onSent` is called when the request is handed to a connection. */
export function watchSending(signal: AbortSignal | undefined, onSent?: () => void): SendWatch {
    let isHandedOver = false;
    return {
        get mayBeSent() {
            return isHandedOver || signal?.aborted === true;
        },
        // These callbacks pass headers on as they are. The newer ones convert them twice.
        interceptor: dispatch => (options, handler) =>
            dispatch(options, {
                /** Called just before the request is written to a connection, and again if undici is about to write it to another one. */
                onConnect(abort) {
                    if (isHandedOver) return abort(new VError("the connection was closed after the request was sent"));
                    isHandedOver = true;
                    onSent?.();
                    handler.onConnect?.(abort);
                },
                onHeaders: (...head) => handler.onHeaders!(...head),
                onData: chunk => handler.onData!(chunk),
                onComplete: trailers => handler.onComplete?.(trailers),
                onError: error => handler.onError?.(error),
            }),
    };
}
